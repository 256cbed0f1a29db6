package main

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
	s.addEndpoint("app", 16, endpointSettings{ID: "i-app1", WorkMs: 10, SpoilEach: spoilEach})
	s.addEndpoint("app", 16, endpointSettings{ID: "i-app2", WorkMs: 10})
	s.addEndpoint("llm", 32, endpointSettings{ID: "i-llm1", Events: 3, EventMs: 20})
	s.addBoxes(2)
	time.Sleep(time.Second)
	var broken []string
	for i := range tries {
		r := s.send(s.boxes[i%2], "GET", "/fetch/x", fmt.Sprintf("fetch-%d", i+1), "", 4*time.Second)
		if r.status/100 == 2 && r.header.Get("Response-Seal") == "" {
			broken = append(broken, fmt.Sprintf("%s gets a %d without the signature of its endpoint", r.id, r.status))
		}
	}
	return broken
}
