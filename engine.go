package willowwick

import (
	"context"
	"io"
	"net/http"
	"time"
)

// EngineCall is one call to a runner.
type EngineCall struct {
	Endpoint    Endpoint
	Request     RequestID
	Version     VersionID
	Messages    []Message
	MaxTokens   Tokens
	Temperature *float64
	ResumeAt    int // position of the first chunk wanted
	Deadline    time.Time
	// OnNotice takes what the head of the answer says of the endpoint, whatever the answer is; nil if nobody asks.
	OnNotice func(Notice)
}

// ChunkStream is an answer under way.
type ChunkStream interface {
	// Next returns the next chunk, or io.EOF after the last.
	Next() (Chunk, error)
	// Load is what the runner reported at the start of the answer.
	Load() EndpointLoad
}

// EndpointLoad is what an endpoint last said of itself.
type EndpointLoad struct {
	Endpoint EndpointID `json:"endpoint"`
	Running  int        `json:"running"`
	Waiting  int        `json:"waiting"`
	Slots    int        `json:"slots"`
	Draining bool       `json:"leaving,omitempty"`
	At       time.Time  `json:"at"`
}

// Order is a fenced command to a runner.
type Order struct {
	Fence    Fence     `json:"fence"`
	Withdraw VersionID `json:"withdraw"`
	Deadline time.Time `json:"deadline"`
}

// Engine speaks to runners.
//
// Open returns a clean-up function that cancels the call; it must be called once.
type Engine interface {
	Open(ctx context.Context, call EngineCall) (ChunkStream, func(), error)
	Load(ctx context.Context, endpoint Endpoint) (EndpointLoad, error)
	Order(ctx context.Context, endpoint Endpoint, order Order) error
	// IsListening finds out by a new connection whether anything listens at the endpoint's address; known is false if that
	// did not show in time.
	IsListening(ctx context.Context, endpoint Endpoint) (listens, known bool)
}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Endpoint   Endpoint
	Request    RequestID
	Method     string
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	Repeatable bool
	Deadline   time.Time
	OnNotice   func(Notice) // as of EngineCall
}

// ServiceAnswer is the answer of a plain service; Body must be closed.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// ServiceCaller speaks to plain services.
type ServiceCaller interface {
	Call(ctx context.Context, call ServiceCall) (*ServiceAnswer, error)
}
