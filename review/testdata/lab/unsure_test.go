package lab

import (
	"fmt"
	"time"
)

const (
	sureOf   = 95
	unsureOf = 5
)

// playUnsure sends requests that can't be repeated on a route with models of several sizes. The answers are of low confidence.
func playUnsure(s *site) []string {
	const tries = 20
	sure := sureOf
	if s.hasTrouble {
		sure = unsureOf
	}
	for i := range 2 {
		s.addEndpoint("llm", endpointSettings{Slots: 32, Queue: 67, ID: fmt.Sprintf("i-llm%d", i+1), WorkMs: 60, Confidence: sure, Models: []string{"daka510000", "rada7437b5"}})
	}
	s.addEndpoint("app", endpointSettings{Slots: 6, Queue: 24, ID: "i-app1", WorkMs: 60})
	s.addBoxes(2)
	for i := range tries {
		r := s.send(s.boxes[i%2], "POST", "/draft/x", fmt.Sprintf("draft-%d", i+1), "prompt", 8*time.Second)
		require(r.status == 200 && r.isComplete, "%s was not answered", r.id)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for i := range tries {
		id := fmt.Sprintf("draft-%d", i+1)
		if ran := s.runs[id]; len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("%s can't be repeated, and has run %d times, at %v", id, len(ran), ran))
		}
	}
	return broken
}
