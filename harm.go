package willowwick

import (
	"slices"
	"time"
)

type (
	// EndpointEnd says that an endpoint ended by itself.
	EndpointEnd struct {
		Endpoint    EndpointID  `json:"endpoint"`
		Incarnation Incarnation `json:"incarnation,omitempty"`
		Release     ReleaseID   `json:"release"`
		At          time.Time   `json:"at"`
	}

	// HarmfulRequest is a request under which endpoints ended, with what operators need to find its caller.
	HarmfulRequest struct {
		Request Fingerprint   `json:"fingerprint"`
		Account AccountID     `json:"account,omitempty"`
		Service ServiceID     `json:"service"`
		Host    string        `json:"host"`
		Target  string        `json:"target"`
		Ends    []EndpointEnd `json:"ends"`
		Tried   []ReleaseID   `json:"tried,omitempty"` // releases on which it was tried since, in order
	}
)

// WithEndTimes is the request with the times of its ends as another clock shows them; the ends of the original stay as they are.
func (h HarmfulRequest) WithEndTimes(convert func(time.Time) time.Time) HarmfulRequest {
	h.Ends = slices.Clone(h.Ends)
	for i, end := range h.Ends {
		h.Ends[i].At = convert(end.At)
	}
	return h
}
