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
		Confidence  int
		Models      []string // that it has; a request that names another one gets 421; any if empty
		SpoilEach   int      // every one of so many answers lacks its signature; none if 0
		Slots       int      // requests that run at once
		Queue       int      // requests that wait for a slot
		UnsizedEach int      // every one of so many answers carries neither a length nor chunks, and ends with its connection; none if 0
	}

	// endpoint serves requests as the users' pages say, on connections of its own so that it decides how answers end.
	endpoint struct {
		settings  endpointSettings
		mu        sync.Mutex
		answers   int
		running   int
		waiting   int
		isLeaving bool
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
	go e.followOrders()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go e.serveConn(conn)
	}
}

// leaveOrder is the line on standard input that tells an endpoint that it is leaving.
const leaveOrder = "leave"

// followOrders reads standard input.
func (e *endpoint) followOrders() {
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		if lines.Text() == leaveOrder {
			e.mu.Lock()
			e.isLeaving = true
			e.mu.Unlock()
		}
	}
}

// load returns the header that tells the load.
func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", e.running, e.waiting, e.settings.Slots)
}

// hasLeft reports whether the endpoint is leaving.
func (e *endpoint) hasLeft() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isLeaving
}

// slotPoll is how often a waiting request looks for a free slot.
const slotPoll = 20 * time.Millisecond

// enter waits for a slot; false if the request was turned away, or its connection was closed before it began to run.
func (e *endpoint) enter(conn net.Conn, id string) bool {
	e.mu.Lock()
	if e.running+e.waiting >= e.settings.Slots+e.settings.Queue {
		e.mu.Unlock()
		e.say("turns %s away", id)
		e.writeWhole(conn, "503 Service Unavailable", "Not-Executed: 1\r\nAttempt-Id: "+id+"\r\n", "full")
		return false
	}
	isQueued := e.running >= e.settings.Slots
	e.waiting++
	e.mu.Unlock()
	if isQueued {
		e.say("lets %s wait for a slot", id)
	}
	for {
		e.mu.Lock()
		if e.running < e.settings.Slots {
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

// count counts an answer, and reports whether it is to lack its signature, or its length.
func (e *endpoint) count() (isSpoilt, isUnsized bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	isEach := func(each int) bool { return each > 0 && e.answers%each == 0 }
	return isEach(e.settings.SpoilEach), isEach(e.settings.UnsizedEach)
}

// say writes a line to standard output.
func (e *endpoint) say(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Printf("%s endpoint %s %s\n", time.Now().Format("15:04:05.000"), e.settings.ID, fmt.Sprintf(format, args...))
}

// idleTimeout is how long a connection may rest; the answers say so.
const idleTimeout = 30 * time.Second

func (e *endpoint) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
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
		return e.answerHealth(conn)
	case len(e.settings.Models) > 0 && id == "":
		return e.answerOrder(conn, request)
	case id == "":
		return e.writeWhole(conn, "400 Bad Request", "Not-Executed: 1\r\n", "no id")
	case expected != "" && expected != e.settings.ID:
		return e.writeWhole(conn, "421 Misdirected Request", "Not-Executed: 1\r\nAttempt-Id: "+id+"\r\nInstance-Id: "+e.settings.ID+"\r\n", "")
	}
	if model := request.Header.Get("Model"); len(e.settings.Models) > 0 && !slices.Contains(e.settings.Models, model) {
		e.say("turns %s away: no model %q", id, model)
		return e.writeWhole(conn, "421 Misdirected Request", "Not-Executed: 1\r\nAttempt-Id: "+id+"\r\nInstance-Id: "+e.settings.ID+"\r\n", "")
	}
	if !e.enter(conn, id) {
		return false
	}
	defer e.leave()
	isSpoilt, isUnsized := e.count()
	head := "Attempt-Id: " + id + "\r\n"
	if isSpoilt {
		e.say("spoils the answer to %s: its signature is lost", id)
	} else {
		head += "Response-Seal: " + e.settings.ID + "." + id + "\r\n"
	}
	if len(e.settings.Models) > 0 {
		head += "Weight-Versions: 1\r\n"
	}
	if e.settings.Confidence > 0 {
		head += fmt.Sprintf("Confidence: %d\r\n", e.settings.Confidence)
	}
	if !strings.Contains(request.URL.Path, "/stream/") {
		e.say("runs %s %s %s, %d bytes, model %q", id, request.Method, request.URL.RequestURI(), len(body), request.Header.Get("Model"))
		time.Sleep(time.Duration(e.settings.WorkMs) * time.Millisecond)
		return e.writeWhole(conn, "200 OK", head, "answer of "+id+"\n")
	}
	return e.stream(conn, request, id, head, isUnsized)
}

// answerHealth answers a health check, which waits for a slot as a request does.
func (e *endpoint) answerHealth(conn net.Conn) bool {
	if !e.enter(conn, "health") {
		return false
	}
	defer e.leave()
	status := "200 OK"
	if e.hasLeft() {
		status = "503 Service Unavailable"
	}
	return e.writeWhole(conn, status, "Instance-Id: "+e.settings.ID+"\r\n", "")
}

// answerOrder answers what a daemon asks an endpoint with models beside requests. It has nothing in memory and moves nothing.
func (e *endpoint) answerOrder(conn net.Conn, request *http.Request) bool {
	const asJSON = "Content-Type: application/json\r\n"
	switch request.URL.Path {
	case "/report":
		e.mu.Lock()
		report := map[string]any{
			"stage": "both", "models": modelList(e.settings.Models), "busy": false, "sequence": 0, "waiting": e.waiting, "running": e.running,
			"kv-used": 0, "kv-total": 761808, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "next-token": 0, "runs": []any{},
		}
		e.mu.Unlock()
		text, _ := json.Marshal(report)
		return e.writeWhole(conn, "200 OK", asJSON, string(text))
	case "/kv-events":
		wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		return e.writeWhole(conn, "200 OK", asJSON, `{"epoch":1,"next-token":0,"lost":false,"events":[]}`)
	case "/kv-list":
		return e.writeWhole(conn, "200 OK", asJSON, `{"epoch":1,"next-token":0,"held":[]}`)
	}
	e.say("is asked %s %s, which it doesn't do", request.Method, request.URL.RequestURI())
	return e.writeWhole(conn, "503 Service Unavailable", "Not-Executed: 1\r\n", "")
}

// modelList returns models as entries and reports list them.
func modelList(names []string) []map[string]any {
	var models []map[string]any
	for _, name := range names {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return models
}

// writeWhole writes an answer with its length, and reports whether the connection may serve another request.
func (e *endpoint) writeWhole(conn net.Conn, status, head, body string) bool {
	keeping := fmt.Sprintf("Keep-Alive: timeout=%d\r\n", int(idleTimeout.Seconds()))
	isLast := e.hasLeft()
	if isLast {
		keeping = "Connection: close\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s%s%sContent-Length: %d\r\n\r\n%s", status, head, e.load(), keeping, len(body), body)
	return err == nil && !isLast
}

// eventText is the event of a request with a number, counted from 1.
func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", number, number, id)
}

// stream answers with events, from the one after Last-Event-Id on.
func (e *endpoint) stream(conn net.Conn, request *http.Request, id, head string, isUnsized bool) bool {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	e.say("runs %s from event %d on", id, after+1)
	isLast := isUnsized || e.hasLeft()
	if isLast {
		head += "Connection: close\r\n"
	}
	if isUnsized {
		e.say("gives the answer to %s no length", id)
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + head + e.load() + "\r\n"
	for number := after + 1; number <= e.settings.Events; number++ {
		time.Sleep(time.Duration(e.settings.EventMs) * time.Millisecond)
		text := eventText(id, number)
		if !isUnsized {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, head+text); err != nil {
			e.say("drops %s after event %d: %v", id, number-1, err)
			return false
		}
		head = ""
	}
	e.say("ends %s after event %d", id, e.settings.Events)
	if isUnsized {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil && !isLast
}
