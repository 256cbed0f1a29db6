package wire

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// UncountedBytes is what each answer may hold in any case, like the buffers of its connections: a head and some events.
	UncountedBytes = 16 << 10
	// maxReleaseWait bounds the wait for the memory of answers that were ended: one that is being written to its caller is
	// released only then.
	maxReleaseWait = 100 * time.Millisecond
)

// ErrNoRoom is returned for an answer that ends because answers fill the memory that they may take.
var ErrNoRoom = errors.New("the answers that are being read fill their share of the memory, and this one holds the most")

type (
	// AnswerMemory bounds the memory of answers that are held, over all requests; nil has no bound. Once they fill it, the
	// one that holds the most ends, so that one within the bound divided by their number never does. Those that were ended
	// hold as much again at most, until their readers let go.
	AnswerMemory struct {
		limit int

		mu      sync.Mutex
		used    int
		ending  int            // bytes of ended answers that are not released yet
		holds   map[*Hold]bool // those that are counted in used
		changed chan struct{}  // closed when an answer is ended, or an ended one is released
	}

	// Hold is the memory that one answer holds.
	Hold struct {
		memory  *AnswerMemory
		onEnd   func()
		size    int
		isEnded bool
	}
)

// NewAnswerMemory returns a bound in bytes.
func NewAnswerMemory(limit int) *AnswerMemory {
	return &AnswerMemory{limit: limit, holds: map[*Hold]bool{}, changed: make(chan struct{})}
}

// NewHold returns the hold of an answer that holds nothing yet; onEnd is called, from any goroutine, when the answer must end for
// another one that needs memory.
func (m *AnswerMemory) NewHold(onEnd func()) *Hold {
	return &Hold{memory: m, onEnd: onEnd}
}

// Resize records that the answer is about to hold that many bytes; it may wait for those that other answers let go. It returns
// ErrNoRoom if the answer must end.
func (h *Hold) Resize(bytes int) error {
	if h.memory == nil {
		return nil
	}
	if bytes <= UncountedBytes {
		bytes = 0
	}
	others, err := h.memory.resize(h, bytes)
	for _, other := range others {
		other.onEnd()
	}
	if err == nil && bytes > 0 {
		err = h.memory.awaitReleases(h)
	}
	return err
}

// Release records that the answer holds nothing any more, and reports whether it was not ended before.
func (h *Hold) Release() bool {
	if h.memory == nil {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if !h.isEnded {
		h.memory.set(h, 0)
		return true
	}
	h.memory.releaseEnded(h)
	return false
}

// hasEnded reports whether the answer was ended for another one.
func (h *Hold) hasEnded() bool {
	if h.memory == nil {
		return false
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.isEnded
}

// resize sets the size of a hold, and returns the other holds that end for it.
func (m *AnswerMemory) resize(h *Hold, bytes int) (others []*Hold, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.isEnded {
		return nil, ErrNoRoom
	}
	m.set(h, bytes)
	for m.used > m.limit {
		largest := m.largest(h)
		m.end(largest)
		if largest == h {
			return others, ErrNoRoom
		}
		others = append(others, largest)
	}
	return others, nil
}

// end marks a hold as ended; the caller holds the lock.
func (m *AnswerMemory) end(h *Hold) {
	held := h.size
	m.set(h, 0)
	h.size, h.isEnded = held, true
	m.ending += held
	m.wakeWaiting()
}

// releaseEnded records that an ended answer holds nothing any more; the caller holds the lock.
func (m *AnswerMemory) releaseEnded(h *Hold) {
	if h.size == 0 {
		return
	}
	m.ending -= h.size
	h.size = 0
	m.wakeWaiting()
}

// wakeWaiting makes the answers that wait for memory look again; the caller holds the lock.
func (m *AnswerMemory) wakeWaiting() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// awaitReleases waits while ended answers hold more than the bound. It returns ErrNoRoom as soon as the answer that waits is ended
// itself: others wait for what it holds.
func (m *AnswerMemory) awaitReleases(h *Hold) error {
	timeout := time.NewTimer(maxReleaseWait)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		isEnded, mustWait, changed := h.isEnded, m.ending > m.limit, m.changed
		m.mu.Unlock()
		switch {
		case isEnded:
			return ErrNoRoom
		case !mustWait:
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil
		}
	}
}

// set changes the size of a hold; the caller holds the lock.
func (m *AnswerMemory) set(h *Hold, bytes int) {
	m.used += bytes - h.size
	h.size = bytes
	if bytes == 0 {
		delete(m.holds, h)
		return
	}
	m.holds[h] = true
}

// largest returns the hold that holds the most, which is the given one if others hold as much; the caller holds the lock.
func (m *AnswerMemory) largest(h *Hold) *Hold {
	largest := h
	for other := range m.holds {
		if other.size > largest.size {
			largest = other
		}
	}
	return largest
}
