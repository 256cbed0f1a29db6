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
	ResumeAt    int // position of the first chunk to send
	Deadline    time.Time
	// OnNotice is called with the notice in the answer's headers, whatever the answer's status; it may be nil.
	OnNotice func(Notice)
}

// ChunkStream is a streamed answer in progress.
type ChunkStream interface {
	// Next returns the next chunk, or io.EOF after the last.
	Next() (Chunk, error)
	// Load returns the load that the runner reported at the start of the answer.
	Load() EndpointLoad
}

// EndpointLoad is the latest load report of an endpoint.
type EndpointLoad struct {
	Endpoint EndpointID `json:"endpoint"`
	Running  int        `json:"running"`
	Waiting  int        `json:"waiting"`
	Slots    int        `json:"slots"`
	Draining bool       `json:"leaving,omitempty"`
	At       time.Time  `json:"at"`
}

// Order is a command to a runner to drop a version; the runner rejects it if it has seen a higher fence.
type Order struct {
	Fence    Fence     `json:"fence"`
	Withdraw VersionID `json:"withdraw"`
	Deadline time.Time `json:"deadline"`
}

// Engine is the client of runners.
//
// Open also returns a function that cancels the call; the caller must call it once.
type Engine interface {
	Open(ctx context.Context, call EngineCall) (ChunkStream, func(), error)
	Load(ctx context.Context, endpoint Endpoint) (EndpointLoad, error)
	Order(ctx context.Context, endpoint Endpoint, order Order) error
	// IsListening opens a new connection to find out whether anything listens at the endpoint's address; known is false
	// if that is still unclear when the context ends.
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
	OnNotice   func(Notice) // see EngineCall
}

// ServiceAnswer is the answer of a plain service; Body must be closed, and returns io.EOF only if it is certainly whole.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// ServiceCaller is the client of plain services.
type ServiceCaller interface {
	Call(ctx context.Context, call ServiceCall) (*ServiceAnswer, error)
}
