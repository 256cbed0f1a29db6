package lab

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what a caller has received for one try.
type result struct {
	id         string
	status     int
	header     http.Header
	body       string
	isComplete bool // the answer ended as its framing says
	err        error
	took       time.Duration
	endedAt    time.Time // when the answer or the connection had ended
}

// send sends one try over a connection of its own, and records the answer.
func (s *site) send(box *process, method, path, id, body string, deadline time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+box.callers+path, strings.NewReader(body))
	must(err)
	request.Host = routedHost
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Credential", accountKey)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if strings.HasPrefix(path, "/draft/") {
		request.Header.Set("Model", "*")
		request.Header.Set("Token-Counts", "800,60")
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:500,%08x:300", crc32.ChecksumIEEE([]byte(id))))
	}
	s.note("caller sends %s %s %s to %s", id, method, path, box.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := result{id: id}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		r.err, r.took, r.endedAt = err, time.Since(began), time.Now()
		s.note("caller gets no answer to %s: %v", id, err)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.isComplete, r.err, r.took = response.StatusCode, response.Header, string(data), err == nil, err, time.Since(began)
	r.endedAt = time.Now()
	s.note("caller gets %d for %s after %d ms, seal %q, %d bytes, %d events, complete %t", r.status, id, r.took.Milliseconds(),
		r.header.Get("Response-Seal"), len(data), strings.Count(r.body, "\n\n"), r.isComplete)
	return r
}
