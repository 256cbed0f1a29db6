package willowwick

import (
	"context"
	"time"
)

type (
	// EndpointKind tells runners from instances of plain services.
	EndpointKind string
	// Incarnation tells the lives of an endpoint apart: the Unix millisecond of its start by its own clock; 0 if it tells none.
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

// Endpoint is an entry of the platform's list of endpoints.
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
	Slots         int          `json:"slots,omitempty"`     // requests that it works on at once
	Beat          uint64       `json:"beat,omitempty"`      // heartbeats so far
	ColdUntil     time.Time    `json:"cold_until,omitzero"` // until when it bears few requests; zero if it is not cold
	Incarnation   Incarnation  `json:"incarnation,omitempty"`
}

// Listing is one state of the platform's list; it lags behind the truth.
type Listing struct {
	Revision  string     `json:"revision"`
	Boxes     []Box      `json:"boxes"`
	Endpoints []Endpoint `json:"endpoints"`
}

// LiveList is the platform's list of live and leaving boxes and endpoints.
type LiveList interface {
	// List returns the listing, or changed=false if it still is at the known revision.
	List(ctx context.Context, known string) (listing Listing, changed bool, err error)
}

// RatingRequest asks for the quality of one answer.
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
