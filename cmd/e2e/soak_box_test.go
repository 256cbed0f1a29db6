package e2e

import (
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// supervise starts the daemon, and starts it again whenever it ends, as the platform does.
func (b *soakBox) supervise(t *testing.T) {
	defer close(b.ended)
	for number := 1; !b.halt.Load(); number++ {
		command := exec.Command(binary(t, "willowwickd"), "-log-format", "json", "-key", "0123456789abcdef")
		command.Env = append(command.Environ(), "WILLOWWICK_NODE_FILE="+b.file)
		command.Stdout, command.Stderr = b.output, b.output
		if err := command.Start(); err != nil {
			t.Errorf("%s does not start: %v", b.name, err)
			return
		}
		b.setLife(&processLife{number: number, process: command.Process})
		_ = command.Wait()
		b.setLife(nil)
		time.Sleep(restartPause)
	}
}

func (b *soakBox) setLife(life *processLife) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life = life
}

// lifeNumber tells which life of the daemon runs; 0 if none does.
func (b *soakBox) lifeNumber() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life == nil {
		return 0
	}
	return b.life.number
}

// send signals the daemon if it runs.
func (b *soakBox) send(signal syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life != nil {
		_ = b.life.process.Signal(signal) // it may just have ended
	}
}

// inTouch reports whether the box had no trouble, unplanned or planned, from some time before a moment to the given end.
func (b *soakBox) inTouch(from, to time.Time) bool {
	return b.troubles.isQuiet(from, to) && b.stops.isQuiet(from, to)
}

// awaitServing waits until the daemon calls itself ready again, for some seconds at the most.
func (b *soakBox) awaitServing() {
	for limit := time.Now().Add(soakGrace); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
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

// end stops the daemon for good.
func (b *soakBox) end() {
	b.halt.Store(true)
	for {
		b.send(syscall.SIGCONT)
		b.send(syscall.SIGKILL)
		select {
		case <-b.ended:
			return
		case <-time.After(restartPause):
		}
	}
}
