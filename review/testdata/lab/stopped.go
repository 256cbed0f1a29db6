package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playStopped stops a daemon as planned while requests that it has sent on wait for a slot at their endpoints.
func playStopped(s *site) []string {
	const (
		fillers = 4 // long requests, which take all slots
		waiting = 4 // requests that wait for them
		grace   = 8 * time.Second
	)
	for i := range 2 {
		s.addEndpoint("llm", 2, endpointSettings{ID: fmt.Sprintf("i-llm%d", i+1), WorkMs: 12000, Slots: 2, Queue: 4})
	}
	s.addEndpoint("app", 6, endpointSettings{ID: "i-app1", WorkMs: 60})
	s.addBoxes(2)
	time.Sleep(time.Second)
	stopping, other := s.boxes[0], s.boxes[1]
	var callers sync.WaitGroup
	for i := range fillers {
		callers.Go(func() { s.send(other, "POST", "/job/x", fmt.Sprintf("long-%d", i+1), "prompt", 30*time.Second) })
		time.Sleep(100 * time.Millisecond)
	}
	results := make([]result, waiting)
	for i := range results {
		callers.Go(func() {
			results[i] = s.send(stopping, "POST", "/job/x", fmt.Sprintf("waits-%d", i+1), "prompt", 30*time.Second)
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if s.hasTrouble {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for _, r := range results {
		if r.err != nil && len(s.runs[r.id]) == 0 {
			broken = append(broken, fmt.Sprintf("%s was read and sent on, no endpoint has worked on it, and its connection is closed without an answer after %d ms: %v",
				r.id, r.took.Milliseconds(), r.err))
		}
	}
	return broken
}
