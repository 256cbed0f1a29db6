package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// endpointSettings configure an endpoint process.
	endpointSettings struct {
		ID      string
		Address string
		Events  int // events of a stream
		EventMs int // time between two events
		WorkMs  int // time of a request that is no stream
		// Confidence is what answers to requests that name a model tell; no answers do if it is 0.
		Confidence int
		Models     []string // that it has; a request that names another one gets 421; any if empty
		SpoilEach  int      // every one of so many answers lacks its signature; none if 0
		Slots      int      // requests that run at once; no limit if 0
		Queue      int      // requests that wait for a slot
		IsUnended  bool     // answers carry neither a length nor chunks, and end with their connection
	}

	// endpoint serves requests as the users' pages say, on connections of its own so that it decides how answers end.
	endpoint struct {
		settings endpointSettings
		mu       sync.Mutex
		answers  int
		running  int
		waiting  int
	}
)

// serveEndpoint runs an endpoint with settings in JSON until the process is killed. It writes what it runs to standard output.
func serveEndpoint(text string) error {
	e := &endpoint{}
	if err := json.Unmarshal([]byte(text), &e.settings); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", e.settings.Address)
	if err != nil {
		return err
	}
	e.say("listens at %s", e.settings.Address)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go e.serveConn(conn)
	}
}

// slotPoll is how often a waiting request looks for a free slot.
const slotPoll = 20 * time.Millisecond

// enter waits for a slot; false if the request was turned away, or its connection was closed before it began to run.
func (e *endpoint) enter(conn net.Conn, id string) bool {
	e.mu.Lock()
	if e.settings.Slots > 0 && e.running+e.waiting >= e.settings.Slots+e.settings.Queue {
		load := fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.settings.Slots)
		e.mu.Unlock()
		e.say("turns %s away", id)
		writeWhole(conn, "503 Service Unavailable", "Not-Executed: 1\r\nAttempt-Id: "+id+"\r\nServer-Load: "+load+"\r\n", "full")
		return false
	}
	isQueued := e.settings.Slots > 0 && e.running >= e.settings.Slots
	e.waiting++
	e.mu.Unlock()
	if isQueued {
		e.say("lets %s wait for a slot", id)
	}
	for {
		e.mu.Lock()
		if e.settings.Slots == 0 || e.running < e.settings.Slots {
			e.waiting--
			e.running++
			e.mu.Unlock()
			return true
		}
		e.mu.Unlock()
		var one [1]byte
		_ = conn.SetReadDeadline(time.Now().Add(slotPoll))
		if _, err := conn.Read(one[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			e.mu.Lock()
			e.waiting--
			e.mu.Unlock()
			e.say("drops %s, which has not run: its connection is closed", id)
			return false
		}
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// leave frees the slot.
func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// mustSpoil counts an answer, and reports whether it is to lack its signature.
func (e *endpoint) mustSpoil() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	return e.settings.SpoilEach > 0 && e.answers%e.settings.SpoilEach == 0
}

// say writes a line to standard output.
func (e *endpoint) say(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Printf("%s endpoint %s %s\n", time.Now().Format("15:04:05.000"), e.settings.ID, fmt.Sprintf(format, args...))
}

func (e *endpoint) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !e.answer(conn, request, body) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection may serve another one.
func (e *endpoint) answer(conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("Attempt-Id")
	expected := request.Header.Get("Expect-Instance")
	switch {
	case request.URL.Path == "/health":
		return writeWhole(conn, "200 OK", "Instance-Id: "+e.settings.ID+"\r\n", "ok")
	case request.URL.Path == "/report":
		return writeWhole(conn, "200 OK", "Content-Type: application/json\r\n", `{"stage":"both","running":0,"waiting":0}`)
	case id == "":
		return writeWhole(conn, "400 Bad Request", "Not-Executed: 1\r\n", "no id")
	case expected != "" && expected != e.settings.ID:
		return writeWhole(conn, "421 Misdirected Request", "Not-Executed: 1\r\nAttempt-Id: "+id+"\r\nInstance-Id: "+e.settings.ID+"\r\n", "")
	}
	if model := request.Header.Get("Model"); len(e.settings.Models) > 0 && !slices.Contains(e.settings.Models, model) {
		e.say("turns %s away: no model %q", id, model)
		return writeWhole(conn, "421 Misdirected Request", "Not-Executed: 1\r\nAttempt-Id: "+id+"\r\nInstance-Id: "+e.settings.ID+"\r\n", "")
	}
	if !e.enter(conn, id) {
		return false
	}
	defer e.leave()
	head := "Attempt-Id: " + id + "\r\n"
	if e.mustSpoil() {
		e.say("spoils the answer to %s: its signature is lost", id)
	} else {
		head += "Response-Seal: " + e.settings.ID + "." + id + "\r\n"
	}
	if e.settings.Confidence > 0 && request.Header.Get("Model") != "" {
		head += fmt.Sprintf("Confidence: %d\r\n", e.settings.Confidence)
	}
	if !strings.Contains(request.URL.Path, "/stream/") {
		e.say("runs %s %s %s, %d bytes, model %q", id, request.Method, request.URL.RequestURI(), len(body), request.Header.Get("Model"))
		time.Sleep(time.Duration(e.settings.WorkMs) * time.Millisecond)
		return writeWhole(conn, "200 OK", head, "answer of "+id+"\n")
	}
	return e.stream(conn, request, id, head)
}

// writeWhole writes an answer with its length.
func writeWhole(conn net.Conn, status, head, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sKeep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}

// eventText is the event of a request with a number, counted from 1.
func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", number, number, id)
}

// stream answers with events, from the one after Last-Event-Id on.
func (e *endpoint) stream(conn net.Conn, request *http.Request, id, head string) bool {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	e.say("runs %s from event %d on", id, after+1)
	framing := "Transfer-Encoding: chunked\r\n"
	if e.settings.IsUnended {
		framing = "Connection: close\r\n"
	}
	head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + head + framing + "\r\n"
	for number := after + 1; number <= e.settings.Events; number++ {
		time.Sleep(time.Duration(e.settings.EventMs) * time.Millisecond)
		text := eventText(id, number)
		if !e.settings.IsUnended {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, head+text); err != nil {
			e.say("drops %s after event %d: %v", id, number-1, err)
			return false
		}
		head = ""
	}
	e.say("ends %s after event %d", id, e.settings.Events)
	if e.settings.IsUnended {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
