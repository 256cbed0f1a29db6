package fleet

import "sync"

// Workers runs goroutines that must end before their owner is closed.
type Workers struct {
	mu     sync.Mutex
	group  sync.WaitGroup
	closed bool
}

// Go runs a function in a new goroutine, unless the owner is closing.
func (w *Workers) Go(work func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.group.Go(work)
	}
}

// Close rejects further work and waits for the running goroutines.
func (w *Workers) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.group.Wait()
}
