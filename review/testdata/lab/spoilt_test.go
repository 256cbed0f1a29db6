package lab

import (
	"fmt"
	"time"
)

// playSpoilt lets one of two endpoints spoil one in twenty of its answers: they lack their signature.
func playSpoilt(s *site) []string {
	const tries = 200
	spoilEach := 0
	if s.hasTrouble {
		spoilEach = 20
	}
	s.addEndpoint("app", endpointSettings{Slots: 16, Queue: 67, ID: "i-app1", WorkMs: 10, SpoilEach: spoilEach})
	s.addEndpoint("app", endpointSettings{Slots: 16, Queue: 67, ID: "i-app2", WorkMs: 10})
	s.addBoxes(2)
	var broken []string
	for i := range tries {
		r := s.send(s.boxes[i%2], "GET", "/fetch/x", fmt.Sprintf("fetch-%d", i+1), "", 4*time.Second)
		require(s.hasTrouble || r.status == 200 && r.isComplete, "%s was not answered, without trouble", r.id)
		if r.status/100 == 2 && r.header.Get("Response-Seal") == "" {
			broken = append(broken, fmt.Sprintf("%s gets a %d without the signature of its endpoint", r.id, r.status))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require(!s.hasTrouble || s.spoilt > 0, "no answer was spoilt")
	return broken
}
