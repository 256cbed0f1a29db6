package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"iter"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

// Headers between the router and endpoints.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderResumeAt   = "X-Resume-At"
	HeaderDeadline   = "X-Deadline"
	HeaderRunning    = "X-Load-Running"
	HeaderWaiting    = "X-Load-Waiting"
	HeaderSlots      = "X-Load-Slots"
	HeaderLeaving    = "X-Leaving"
	HeaderRetryAfter = "Retry-After"  // in a 503: the backoff that the endpoint asks of the box that it answers
	HeaderRateLimit  = "X-Rate-Limit" // requests per second that the endpoint accepts from all boxes together
)

// noticeHeaders names the response headers that carry the state of an endpoint.
var noticeHeaders = willowwick.NoticeHeaders{Draining: HeaderLeaving, RetryAfter: HeaderRetryAfter, RateLimit: HeaderRateLimit}

// Paths of a runner.
const (
	PathCompletions = "/v1/chat/completions"
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// streamEndMarker is the last event of a stream of the chat completions API.
const streamEndMarker = "[DONE]"

type (
	// EngineClient calls runners over the OpenAI-compatible chat completions API.
	EngineClient struct {
		http *http.Client
		dial DialFunc
	}

	// ChatRequest is the body of a call to a runner.
	ChatRequest struct {
		Model       willowwick.VersionID `json:"model"`
		Messages    []willowwick.Message `json:"messages"`
		MaxTokens   willowwick.Tokens    `json:"max_tokens,omitempty"`
		Temperature *float64             `json:"temperature,omitempty"`
		Stream      bool                 `json:"stream"`
	}

	// ChatChunk is one event of a streamed answer.
	ChatChunk struct {
		ID       willowwick.RequestID `json:"id"`
		Object   string               `json:"object"`
		Created  int64                `json:"created"`
		Model    string               `json:"model"`
		Position *int                 `json:"position,omitempty"`
		Choices  []ChatChoice         `json:"choices"`
		Usage    *ChatUsage           `json:"usage,omitempty"`
	}

	// ChatChoice is the one choice of a chunk.
	ChatChoice struct {
		Index        int                      `json:"index"`
		Delta        ChatDelta                `json:"delta"`
		FinishReason *willowwick.FinishReason `json:"finish_reason"`
	}

	// ChatDelta is the text that a chunk adds.
	ChatDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}

	// ChatUsage is the token count at the end of an answer.
	ChatUsage struct {
		willowwick.Usage
		Total willowwick.Tokens `json:"total_tokens"`
	}

	// engineStream implements willowwick.ChunkStream over the server-sent events of an answer.
	engineStream struct {
		load  willowwick.EndpointLoad
		next  func() (sse.Event, error, bool)
		ended bool // streamEndMarker was received
	}
)

// NewEngineClient returns a client and a function that closes its idle connections.
func NewEngineClient(dial DialFunc) (*EngineClient, func()) {
	transports := newTransportPool(dial)
	return &EngineClient{http: &http.Client{Transport: transports}, dial: dial}, transports.CloseIdleConnections
}

// Open implements willowwick.Engine.
func (e *EngineClient) Open(ctx context.Context, call willowwick.EngineCall) (willowwick.ChunkStream, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := e.send(ctx, call)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	reportNotice(call.OnNotice, response)
	if err := checkStatus(response); err != nil {
		cancel()
		_ = response.Body.Close()
		return nil, nil, err
	}
	next, stop := iter.Pull2(sse.Read(response.Body, nil))
	stream := &engineStream{load: loadFromHeader(call.Endpoint.ID, response.Header), next: next}
	return stream, func() {
		// Close the connection first, so that a pending read returns.
		cancel()
		_ = response.Body.Close()
		stop()
	}, nil
}

func (e *EngineClient) send(ctx context.Context, call willowwick.EngineCall) (*http.Response, error) {
	body, err := json.Marshal(ChatRequest{
		Model: call.Version, Messages: call.Messages, MaxTokens: call.MaxTokens,
		Temperature: call.Temperature, Stream: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Endpoint.Address+PathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "runner")
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	request.Header.Set(HeaderRequestID, string(call.Request))
	request.Header.Set(HeaderDeadline, clock.SystemTime(call.Deadline).UTC().Format(time.RFC3339Nano))
	if call.ResumeAt > 0 {
		request.Header.Set(HeaderResumeAt, strconv.Itoa(call.ResumeAt))
	}
	response, err := e.http.Do(request)
	return response, wrapSendError(err)
}

// reportNotice passes the endpoint state in the response headers to onNotice, which may be nil.
func reportNotice(onNotice func(willowwick.Notice), response *http.Response) {
	if onNotice != nil {
		onNotice(noticeHeaders.Read(response.StatusCode, response.Header, clock.Now()))
	}
}

// wrapSendError wraps an error of a send; the result wraps willowwick.ErrNotSent if the request can't have reached the endpoint.
func wrapSendError(err error) error {
	if err == nil {
		return nil
	}
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return errors.Wrap(willowwick.ErrNotSent, err.Error())
	}
	return errors.Wrap(err, "call")
}

func checkStatus(response *http.Response) error {
	switch {
	case response.StatusCode == http.StatusOK:
		return nil
	case response.Header.Get(HeaderLeaving) != "":
		return willowwick.ErrDraining
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return willowwick.ErrBusy
	case response.StatusCode == http.StatusNotFound:
		return errors.Wrap(willowwick.ErrVersionNotLoaded, errorText(response.Body))
	default:
		return errors.Errorf("runner: %s: %s", response.Status, errorText(response.Body))
	}
}

// Load returns the load that the runner reported in the response headers.
func (s *engineStream) Load() willowwick.EndpointLoad {
	return s.load
}

// Next returns the next chunk; it returns io.EOF only after streamEndMarker.
func (s *engineStream) Next() (willowwick.Chunk, error) {
	if s.ended {
		return willowwick.Chunk{}, io.EOF
	}
	event, err, ok := s.next()
	if err != nil {
		return willowwick.Chunk{}, errors.Wrap(willowwick.ErrBroken, err.Error())
	}
	if !ok {
		return willowwick.Chunk{}, errors.Wrap(willowwick.ErrBroken, "stream ended without [DONE]")
	}
	if event.Data == streamEndMarker {
		s.ended = true
		return willowwick.Chunk{}, io.EOF
	}
	return decodeChunk(event.Data)
}

func decodeChunk(data string) (willowwick.Chunk, error) {
	var chunk ChatChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return willowwick.Chunk{}, errors.Wrap(willowwick.ErrBroken, err.Error())
	}
	if chunk.Position == nil || len(chunk.Choices) != 1 {
		return willowwick.Chunk{}, errors.Wrap(willowwick.ErrBroken, "chunk must have a position and exactly one choice")
	}
	decoded := willowwick.Chunk{Request: chunk.ID, Position: *chunk.Position, Text: chunk.Choices[0].Delta.Content}
	if reason := chunk.Choices[0].FinishReason; reason != nil {
		decoded.Finish = *reason
	}
	if chunk.Usage != nil {
		usage := chunk.Usage.Usage
		decoded.Usage = &usage
	}
	return decoded, nil
}

func loadFromHeader(endpoint willowwick.EndpointID, header http.Header) willowwick.EndpointLoad {
	number := func(name string) int {
		n, err := strconv.Atoi(header.Get(name))
		if err != nil {
			return 0
		}
		return n
	}
	return willowwick.EndpointLoad{
		Endpoint: endpoint,
		Running:  number(HeaderRunning),
		Waiting:  number(HeaderWaiting),
		Slots:    number(HeaderSlots),
		Draining: header.Get(HeaderLeaving) != "",
		At:       time.Now(),
	}
}

// Load implements willowwick.Engine; plain services report in the same form.
func (e *EngineClient) Load(ctx context.Context, endpoint willowwick.Endpoint) (willowwick.EndpointLoad, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+PathLoad, nil)
	if err != nil {
		return willowwick.EndpointLoad{}, errors.Wrap(err, "load")
	}
	response, err := e.http.Do(request)
	if err != nil {
		return willowwick.EndpointLoad{}, errors.Wrap(err, "load")
	}
	defer func() { _ = response.Body.Close() }()
	var load willowwick.EndpointLoad
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&load); err != nil {
		return load, errors.Wrap(err, "load")
	}
	load.Endpoint = endpoint.ID
	return load, nil
}

// IsListening implements willowwick.Engine.
func (e *EngineClient) IsListening(ctx context.Context, endpoint willowwick.Endpoint) (listens, known bool) {
	conn, err := e.dial(ctx, "tcp", endpoint.Address)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	if err := conn.Close(); err != nil {
		slog.Debug("failed to close connection", "address", endpoint.Address, "error", err)
	}
	return true, true
}

// Order implements willowwick.Engine.
func (e *EngineClient) Order(ctx context.Context, endpoint willowwick.Endpoint, order willowwick.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.Address+PathOrders, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	response, err := e.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return willowwick.ErrFenced
	default:
		return errors.Errorf("order: %s: %s", response.Status, errorText(response.Body))
	}
}
