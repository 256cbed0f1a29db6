package willowwick

import (
	"slices"
	"time"
)

type (
	// EndpointCrash says that an endpoint ended by itself.
	EndpointCrash struct {
		Endpoint    EndpointID  `json:"endpoint"`
		Incarnation Incarnation `json:"incarnation,omitempty"`
		Release     ReleaseID   `json:"release"`
		At          time.Time   `json:"at"`
	}

	// PoisonRequest is a request under which endpoints ended, with what operators need to find its caller.
	PoisonRequest struct {
		Request Fingerprint     `json:"fingerprint"`
		Account AccountID       `json:"account,omitempty"`
		Service ServiceID       `json:"service"`
		Host    string          `json:"host"`
		Target  string          `json:"target"`
		Crashes []EndpointCrash `json:"ends"`
		Tried   []ReleaseID     `json:"tried,omitempty"` // releases on which it was tried since, in order
	}
)

// WithCrashTimes is the request with the times of its ends as another clock shows them; the ends of the original stay as they are.
func (h PoisonRequest) WithCrashTimes(convert func(time.Time) time.Time) PoisonRequest {
	h.Crashes = slices.Clone(h.Crashes)
	for i, end := range h.Crashes {
		h.Crashes[i].At = convert(end.At)
	}
	return h
}
