package willowwick

import (
	"slices"
	"time"
)

type (
	// EndpointCrash records that an endpoint crashed.
	EndpointCrash struct {
		Endpoint    EndpointID  `json:"endpoint"`
		Incarnation Incarnation `json:"incarnation,omitempty"`
		Release     ReleaseID   `json:"release"`
		At          time.Time   `json:"at"`
	}

	// PoisonRequest is a request that endpoints were running when they crashed, with what operators need to find its caller.
	PoisonRequest struct {
		Request Fingerprint     `json:"fingerprint"`
		Account AccountID       `json:"account,omitempty"`
		Service ServiceID       `json:"service"`
		Host    string          `json:"host"`
		Target  string          `json:"target"`
		Crashes []EndpointCrash `json:"ends"`
		Tried   []ReleaseID     `json:"tried,omitempty"` // releases on which it was retried since, in order
	}
)

// WithCrashTimes returns a copy of the request with the times of its crashes converted to another clock.
func (p PoisonRequest) WithCrashTimes(convert func(time.Time) time.Time) PoisonRequest {
	p.Crashes = slices.Clone(p.Crashes)
	for i, crash := range p.Crashes {
		p.Crashes[i].At = convert(crash.At)
	}
	return p
}
