package wire

import (
	"context"
	"io"
	"net/http"
	"time"
)

type (
	// FetchLimits bound one call whose answer is read whole.
	FetchLimits struct {
		HeadTimeout  time.Duration // setting: within it the head of the answer must come
		IdleTimeout  time.Duration // setting: within it something more of the body must, until it is whole
		MaxBodyBytes int64         // of the body
	}

	// progressReader resets a timer whenever something is read.
	progressReader struct {
		io.Reader
		timer   *time.Timer
		timeout time.Duration // setting: what the timer is reset to
	}
)

// Fetch sends a request and reads its answer whole: a body that goes on coming is read to its end, over however narrow a link.
func Fetch(client *http.Client, request *http.Request, limits FetchLimits) (*http.Response, []byte, error) {
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	timer := time.AfterFunc(limits.HeadTimeout, cancel)
	defer timer.Stop()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	timer.Reset(limits.IdleTimeout)
	body := &progressReader{Reader: io.LimitReader(response.Body, limits.MaxBodyBytes), timer: timer, timeout: limits.IdleTimeout}
	answer, err := io.ReadAll(body)
	return response, answer, err
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.timeout)
	}
	return n, err
}
