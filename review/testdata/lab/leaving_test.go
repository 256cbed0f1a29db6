package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// leave sends one try; the caller leaves after some time, unless that is 0: it ends its side of the connection, and reads until the
// other side ends, too.
func (s *site) leave(box *process, method, path, id string, after time.Duration) result {
	r := result{id: id}
	began := time.Now()
	conn, err := net.Dial("tcp", box.callers)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = conn.Close() }()
	must(conn.SetDeadline(began.Add(callerPatience)))
	s.note("caller sends %s %s %s to %s", id, method, path, box.name)
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 6\r\n\r\nprompt",
		method, path, routedHost, id, accountKey)
	must(err)
	if after > 0 {
		go func() {
			time.Sleep(after)
			s.note("caller of %s leaves: it ends its side of the connection", id)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		}()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		r.err = err
		s.note("caller gets no answer to %s: %v", id, err)
		return r
	}
	data, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.isComplete, r.err, r.took = response.StatusCode, response.Header, string(data), err == nil, err, time.Since(began)
	s.note("caller gets %d for %s after %d ms, seal %q, %d bytes, %d events, complete %t", r.status, id, r.took.Milliseconds(),
		r.header.Get("Response-Seal"), len(data), strings.Count(r.body, "\n\n"), r.isComplete)
	return r
}

// callerPatience is how long a caller waits for its answer.
const callerPatience = 10 * time.Second

// playLeaving lets callers leave before their deadline.
func playLeaving(s *site) []string {
	const (
		tries          = 10
		leavingOfTries = 3
	)
	s.addEndpoint("events", endpointSettings{Slots: 32, Queue: 67, ID: "i-ev1", Events: 8, EventMs: 200})
	s.addEndpoint("app", endpointSettings{Slots: 16, Queue: 67, ID: "i-app1", WorkMs: 600})
	s.addBoxes(2)
	results := make([]result, 2*tries)
	var callers sync.WaitGroup
	for i := range tries {
		var onceLeaves, streamLeaves time.Duration
		if s.hasTrouble && i < leavingOfTries {
			onceLeaves, streamLeaves = 300*time.Millisecond, 700*time.Millisecond
		}
		s.goCall(&callers, func() {
			results[2*i] = s.leave(s.boxes[i%2], "POST", "/once/x", fmt.Sprintf("once-%d", i+1), onceLeaves)
		})
		s.goCall(&callers, func() {
			results[2*i+1] = s.leave(s.boxes[i%2], "POST", "/stream/x", fmt.Sprintf("stream-%d", i+1), streamLeaves)
		})
		time.Sleep(30 * time.Millisecond)
	}
	callers.Wait()
	var broken []string
	for _, r := range results {
		isStream := strings.HasPrefix(r.id, "stream")
		require(len(s.ran(r.id)) > 0, "%s was not sent on", r.id)
		require(s.hasTrouble || r.status == 200 && r.isComplete, "%s was not answered, without trouble", r.id)
		switch {
		case r.status/100 != 2 || !r.isComplete:
		case r.header.Get("Response-Seal") == "":
			broken = append(broken, fmt.Sprintf("%s gets a success of %d bytes without the signature of an endpoint", r.id, len(r.body)))
		case isStream && strings.Count(r.body, "\n\n") != 8:
			broken = append(broken, fmt.Sprintf("the stream of %s ends as complete after %d of 8 events", r.id, strings.Count(r.body, "\n\n")))
		}
	}
	return broken
}
