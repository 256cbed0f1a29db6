package lab

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playStopped stops a daemon as planned while requests that it has sent on wait for a slot at their endpoints.
func playStopped(s *site) []string {
	const (
		fillers = 12 // long requests, which take all slots
		waiting = 4  // requests that wait for them
		grace   = 8 * time.Second
	)
	for i := range 2 {
		s.addEndpoint("events", endpointSettings{ID: fmt.Sprintf("i-ev%d", i+1), WorkMs: 11000, Slots: 6, Queue: 24})
	}
	s.addEndpoint("app", endpointSettings{Slots: 6, Queue: 24, ID: "i-app1", WorkMs: 60})
	s.addBoxes(2)
	stopping, other := s.boxes[0], s.boxes[1]
	var callers sync.WaitGroup
	for i := range fillers {
		s.goCall(&callers, func() { s.send(other, "POST", "/job/x", fmt.Sprintf("long-%d", i+1), "prompt", 25*time.Second) })
		time.Sleep(100 * time.Millisecond)
	}
	results := make([]result, waiting)
	for i := range results {
		s.goCall(&callers, func() {
			results[i] = s.send(stopping, "POST", "/job/x", fmt.Sprintf("waits-%d", i+1), "prompt", 25*time.Second)
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var stoppedAt time.Time
	if s.hasTrouble {
		stoppedAt = time.Now()
		s.note("daemon %s gets SIGTERM", stopping.name)
		stopping.signal(syscall.SIGTERM)
		select {
		case <-stopping.ended:
			s.note("daemon %s has ended", stopping.name)
		case <-time.After(grace):
			s.note("the grace is over")
			stopping.signal(syscall.SIGKILL)
		}
	}
	callers.Wait()
	var broken []string
	for _, r := range results {
		require(s.hasWaited(r.id), "%s did not have to wait at an endpoint", r.id)
		require(s.hasTrouble || r.status == 200 && r.isComplete, "%s was not answered, without trouble", r.id)
		// The rule holds up to a second after the grace, and excuses what an endpoint has worked on.
		isAround := s.hasTrouble && r.endedAt.Sub(stoppedAt) <= grace+time.Second
		if r.err != nil && isAround && len(s.ran(r.id)) == 0 {
			broken = append(broken, fmt.Sprintf("%s was read and sent on, no endpoint has worked on it, and its connection is closed without an answer %d ms after SIGTERM: %v",
				r.id, r.endedAt.Sub(stoppedAt).Milliseconds(), r.err))
		}
	}
	return broken
}

// hasWaited reports whether a try had to wait for a slot at an endpoint that had got it.
func (s *site) hasWaited(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits[id]
}
