package e2e

import (
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// supervise starts the daemon and restarts it whenever it exits, as the platform does.
func (b *soakBox) supervise(t *testing.T) {
	defer close(b.supervisionEnded)
	for number := 1; !b.isStopping.Load(); number++ {
		command := exec.Command(binary(t, "willowwickd"), "-log-format", "json", "-key", "0123456789abcdef")
		command.Env = append(command.Environ(), "WILLOWWICK_NODE_FILE="+b.settingsFile)
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

func (b *soakBox) setIncarnation(incarnation *daemonIncarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation = incarnation
}

// incarnationNumber returns the number of the running incarnation of the daemon; 0 if none is running.
func (b *soakBox) incarnationNumber() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation == nil {
		return 0
	}
	return b.incarnation.number
}

// signal sends a signal to the daemon if it is running.
func (b *soakBox) signal(signal syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation != nil {
		if signal == syscall.SIGKILL {
			b.kills.begin()()
		}
		_ = b.incarnation.process.Signal(signal) // it may just have exited
	}
}

// isUndisturbed reports whether the box had no outage and no planned stop from settleTime before from until to.
func (b *soakBox) isUndisturbed(from, to time.Time) bool {
	return b.outages.isClear(from, to) && b.plannedStops.isClear(from, to)
}

// awaitReady waits at most shutdownGrace until the daemon reports that it is ready.
func (b *soakBox) awaitReady() {
	for limit := time.Now().Add(shutdownGrace); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + b.readyAddress + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

// stop kills the daemon and ends its supervision.
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
