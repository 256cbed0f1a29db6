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

	// PoisonScope says which requests have a fingerprint in common.
	PoisonScope string

	// PartFingerprints are the fingerprints of the parts that a prompt may share with other prompts.
	PartFingerprints struct {
		OfAccount []Fingerprint // among requests of its client account to its service; empty without an account
		OfAll     []Fingerprint // among all requests to its service
	}

	// PoisonRequest is a request, or what several requests have in common, that endpoints were running when they crashed, with
	// what operators need to find its caller.
	PoisonRequest struct {
		Request Fingerprint     `json:"fingerprint"`
		Scope   PoisonScope     `json:"scope,omitempty"`
		Account AccountID       `json:"account,omitempty"`
		Service ServiceID       `json:"service"`
		Host    string          `json:"host,omitempty"`   // of a whole request
		Target  string          `json:"target,omitempty"` // of a whole request
		Crashes []EndpointCrash `json:"ends"`
		Tried   []ReleaseID     `json:"tried,omitempty"` // releases on which it was retried since, in order

		Parts PartFingerprints `json:"-"` // of a whole request
	}
)

// Scopes of fingerprints, from the narrowest to the widest.
const (
	ScopeContent     PoisonScope = ""             // requests of an account with the same target and body
	ScopeAccountPart PoisonScope = "account part" // requests of an account to a service whose prompts share a part
	ScopePart        PoisonScope = "part"         // requests of all accounts to a service whose prompts share a part
)

// WithCrashTimes returns a copy of the request with the times of its crashes converted to another clock.
func (p PoisonRequest) WithCrashTimes(convert func(time.Time) time.Time) PoisonRequest {
	p.Crashes = slices.Clone(p.Crashes)
	for i, crash := range p.Crashes {
		p.Crashes[i].At = convert(crash.At)
	}
	return p
}
