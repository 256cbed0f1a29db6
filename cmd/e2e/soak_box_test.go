package e2e

import (
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// signal is a signal to a process that the soak started.
type signal = syscall.Signal

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
		b.setLife(&processLife{number: number, signal: func(s signal) error { return command.Process.Signal(s) }})
		_ = command.Wait()
		b.setLife(nil)
		time.Sleep(restartPause)
	}
}

func (b *soakBox) setLife(life *processLife) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = life
}

// lifeNumber tells which life of the daemon runs; 0 if none does.
func (b *soakBox) lifeNumber() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process == nil {
		return 0
	}
	return b.process.number
}

// send signals the daemon if it runs.
func (b *soakBox) send(s signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process != nil {
		_ = b.process.signal(s)
	}
}

// trouble notes an unplanned disturbance of the box that lasts until the returned function is called.
func (b *soakBox) trouble() func() { return b.note(&b.troubles) }

// stop notes a planned one.
func (b *soakBox) stop() func() { return b.note(&b.stops) }

func (b *soakBox) note(spans *[]span) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := len(*spans)
	*spans = append(*spans, span{from: time.Now()})
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		(*spans)[at].to = time.Now()
	}
}

// inTouch reports whether the box was free of all disturbances from some time before a moment to its end.
func (b *soakBox) inTouch(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !overlaps(b.troubles, from.Add(-soakContact), to) && !overlaps(b.stops, from.Add(-soakContact), to)
}

// undisturbed reports whether nothing unplanned happened to the box around a time.
func (b *soakBox) undisturbed(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !overlaps(b.troubles, from.Add(-soakContact), to)
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
