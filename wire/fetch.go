package wire

import (
	"context"
	"io"
	"net/http"
	"time"
)

type (
	// FetchLimits holds the limits of one call whose whole body is read.
	FetchLimits struct {
		HeadTimeout  time.Duration // maximum time until the head of the answer is received
		IdleTimeout  time.Duration // maximum pause between two reads of the body that return data
		MaxBodyBytes int64         // maximum size of the body; the rest is not read
	}

	// progressReader resets a timer whenever a read returns data.
	progressReader struct {
		io.Reader
		timer   *time.Timer
		timeout time.Duration // duration to which the timer is reset
	}
)

// Fetch sends a request and reads the whole body of its answer, however long that takes, as long as data keeps
// arriving.
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
