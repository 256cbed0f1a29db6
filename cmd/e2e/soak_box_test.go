package e2e

import (
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// superviseDaemon starts the daemon, and starts it again whenever it ends, as the platform does.
func (b *soakBox) superviseDaemon(t *testing.T) {
	defer close(b.supervisionEnded)
	for number := 1; !b.isStopping.Load(); number++ {
		command := exec.Command(binary(t, "willowwickd"), "-log-format", "json", "-key", "0123456789abcdef")
		command.Env = append(command.Environ(), "WILLOWWICK_NODE_FILE="+b.file)
		command.Stdout, command.Stderr = b.output, b.output
		if err := command.Start(); err != nil {
			t.Errorf("%s does not start: %v", b.name, err)
			return
		}
		b.setIncarnation(&daemonIncarnation{number: number, process: command.Process})
		_ = command.Wait()
		b.setIncarnation(nil)
		time.Sleep(restartPause)
	}
}

func (b *soakBox) setIncarnation(life *daemonIncarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation = life
}

// incarnationNumber tells which life of the daemon runs; 0 if none does.
func (b *soakBox) incarnationNumber() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation == nil {
		return 0
	}
	return b.incarnation.number
}

// signal signals the daemon if it runs.
func (b *soakBox) signal(signal syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation != nil {
		_ = b.incarnation.process.Signal(signal) // it may just have ended
	}
}

// isUndisturbed reports whether the box had no trouble, unplanned or planned, from some time before a moment to the given end.
func (b *soakBox) isUndisturbed(from, to time.Time) bool {
	return b.outages.isClear(from, to) && b.plannedStops.isClear(from, to)
}

// awaitReady waits until the daemon calls itself ready again, for some seconds at the most.
func (b *soakBox) awaitReady() {
	for limit := time.Now().Add(shutdownGrace); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + b.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// stop stops the daemon for good.
func (b *soakBox) stop() {
	b.isStopping.Store(true)
	for {
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGKILL)
		select {
		case <-b.supervisionEnded:
			return
		case <-time.After(restartPause):
		}
	}
}
