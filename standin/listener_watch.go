package standin

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// listenerPoll is how often a listenerWatch looks.
const listenerPoll = time.Millisecond

// listenerWatch knows whether a process listens at an address, and how often it has closed its listener.
type listenerWatch struct {
	address *net.TCPAddr

	mu       sync.Mutex
	listens  bool
	closings int
}

// start looks again and again until the function that it returns is called.
func (w *listenerWatch) start() func() {
	done := make(chan struct{})
	var watching sync.WaitGroup
	w.look()
	watching.Go(func() {
		ticker := time.NewTicker(listenerPoll)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.look()
			case <-done:
				return
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		watching.Wait()
	})
}

func (w *listenerWatch) look() {
	listens := isListening(w.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listens && !listens {
		w.closings++
	}
	w.listens = listens
}

func (w *listenerWatch) state() (listens bool, closings int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listens, w.closings
}

// isListening reports whether a process listens at an address: it can't be bound then, even by one that allows for others.
func isListening(address *net.TCPAddr) bool {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return true
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return true
	}
	target := &unix.SockaddrInet4{Port: address.Port}
	copy(target.Addr[:], address.IP.To4())
	return unix.Bind(fd, target) != nil
}
