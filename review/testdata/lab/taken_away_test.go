package lab

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playTakenAway lets one of four endpoints be taken away: it says that it is draining, and is gone two seconds later. At two of them,
// one in twenty answers carries no length and ends with its connection, also without trouble.
func playTakenAway(s *site) []string {
	const (
		events  = 25
		eventMs = 240
		streams = 108
	)
	for i := range 4 {
		unsizedEach := 0
		if i < 2 {
			unsizedEach = 20
		}
		s.addEndpoint("events", endpointSettings{Slots: 32, Queue: 67, ID: fmt.Sprintf("i-ev%d", i+1), Events: events, EventMs: eventMs, UnsizedEach: unsizedEach})
	}
	s.addEndpoint("app", endpointSettings{Slots: 6, Queue: 24, ID: "i-app1", WorkMs: 60})
	s.addBoxes(2)
	results := make([]result, streams)
	var callers sync.WaitGroup
	for i := range results {
		s.goCall(&callers, func() {
			results[i] = s.send(s.boxes[i%2], "POST", "/stream/x", fmt.Sprintf("stream-%d", i+1), "prompt", 20*time.Second)
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if s.hasTrouble {
		e := s.endpoints["i-ev1"]
		e.drain()
		time.Sleep(2 * time.Second)
		s.note("endpoint %s is gone", e.name)
		e.signal(syscall.SIGKILL)
	}
	callers.Wait()
	atTaken := 0
	for _, r := range results {
		if s.unsizedAt(r.id) == "i-ev1" {
			atTaken++
		}
	}
	require(atTaken > 0, "no stream without a length ran at the endpoint that is taken away")
	var broken []string
	for _, r := range results {
		var whole strings.Builder
		for number := 1; number <= events; number++ {
			whole.WriteString(eventText(r.id, number))
		}
		require(s.hasTrouble || r.body == whole.String() && r.isComplete, "%s was not answered, without trouble", r.id)
		if r.status == 200 && r.isComplete && r.body != whole.String() {
			broken = append(broken, fmt.Sprintf("the stream of %s ends as complete after %d of %d events", r.id, strings.Count(r.body, "\n\n"), events))
		}
	}
	return broken
}

// unsizedAt returns the endpoint that has answered a try without a length; empty if none has.
func (s *site) unsizedAt(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsized[id]
}
