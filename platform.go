package willowwick

import (
	"context"
	"time"
)

type (
	// EndpointKind is the kind of an endpoint: a runner or an instance of a plain service.
	EndpointKind string
	// Incarnation identifies one start of an endpoint: the Unix time of the start in milliseconds by the endpoint's clock,
	// or 0 if it reports none.
	Incarnation int64
)

// Kinds of endpoint.
const (
	KindRunner  EndpointKind = "runner"
	KindService EndpointKind = "service"
)

// Box is an entry of the platform's list of boxes.
type Box struct {
	ID       BoxID  `json:"id"`
	Hall     HallID `json:"hall"`
	Peer     string `json:"peer"`  // host:port for other daemons
	Admin    string `json:"admin"` // host:port for operators and metrics
	Draining bool   `json:"leaving,omitempty"`
}

// Endpoint is an entry of the platform's list of endpoints. Boxes send it to each other by gob, under these field names.
type Endpoint struct {
	ID            EndpointID   `json:"id"`
	Kind          EndpointKind `json:"kind"`
	Hall          HallID       `json:"hall"`
	Address       string       `json:"address"` // host:port
	Versions      []VersionID  `json:"versions,omitempty"`
	Service       ServiceID    `json:"service,omitempty"`
	Leaving       bool         `json:"leaving,omitempty"`
	ChecksFencing bool         `json:"checks_fencing,omitempty"`
	Release       ReleaseID    `json:"release,omitempty"`   // of its software
	Slots         int          `json:"slots,omitempty"`     // concurrent requests that it can run
	Beat          uint64       `json:"beat,omitempty"`      // number of heartbeats so far
	ColdUntil     time.Time    `json:"cold_until,omitzero"` // it takes few requests until then; zero if it is not cold
	Incarnation   Incarnation  `json:"incarnation,omitempty"`
	Spot          bool         `json:"spot,omitempty"`     // the platform may take it away at short notice
	LeavesAt      time.Time    `json:"leaves_at,omitzero"` // when a draining endpoint ends; zero if it doesn't say
}

// Listing is one revision of the platform's list, which lags behind the actual state.
type Listing struct {
	Revision  string     `json:"revision"`
	Boxes     []Box      `json:"boxes"`
	Endpoints []Endpoint `json:"endpoints"`
}

// LiveList is the platform's list of live and draining boxes and endpoints.
type LiveList interface {
	// List returns the current listing, or changed=false if its revision is the known one.
	List(ctx context.Context, known string) (listing Listing, changed bool, err error)
}

// EndpointReports asks endpoints about themselves.
type EndpointReports interface {
	// TimeLeft returns the time until a draining endpoint ends; isKnown is false if it doesn't say.
	TimeLeft(ctx context.Context, endpoint Endpoint) (left time.Duration, isKnown bool, err error)
}

// RatingRequest asks the rater for the quality of one answer.
type RatingRequest struct {
	Request RequestID `json:"request"`
	Account AccountID `json:"account"`
	Class   Class     `json:"class"`
	Version VersionID `json:"version"`
	Prompt  string    `json:"prompt"`
	Answer  string    `json:"answer"`
}

// Rater is the platform's service that rates answers.
type Rater interface {
	Rate(ctx context.Context, rating RatingRequest) (Score, error)
}
