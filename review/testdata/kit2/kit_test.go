// Package kit2 holds the stand-ins and the drivers of the second review's cases; build-2.sh builds them as one program.
package kit2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2

	host      = "ficu95.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
	peerKey   = "willowwick-peers-of-one-site"

	heartbeat = 1200 * time.Millisecond
	readyTime = 15 * time.Second
	// settleTime is the time from when all boxes are ready until clients send.
	settleTime = 2 * time.Second
	// caseLimit is the longest time of a case.
	caseLimit = 110 * time.Second
)

// configText is the operator's configuration; its argument is the version.
const configText = `{"version":%d,"routes":[
 {"name":"r-ask","host":"ficu95.example","path-prefix":"/lohu930/","kind":"stream","timeout-ms":20000,"goal-ms":1500,"priority":1,
  "service":"huvo11a","max-attempts":3,"anonymous":false,"session-affinity":true,"resumable":true,"gap-target-ms":1200},
 {"name":"r-post","host":"ficu95.example","path-prefix":"/puxa403/","kind":"non_idempotent","timeout-ms":3000,"goal-ms":300,"priority":2,
  "service":"wuno96b","max-attempts":1,"anonymous":false},
 {"name":"r-read","host":"ficu95.example","path-prefix":"/cufi504/","kind":"idempotent","timeout-ms":3000,"goal-ms":300,"priority":2,
  "service":"wuno96b","max-attempts":3,"anonymous":false}],
 "services":[{"name":"huvo11a","health-path":"/health","max-connections":620,"protocol":"h1","tls":false,
   "engine":{"slots":128,"kv-capacity-tokens":682009,"models":[{"name":"daka510000","cost":0.015}]}},
  {"name":"wuno96b","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"hule930","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

type (
	// site is a small deployment: the platform's store, runners and boxes.
	site struct {
		dir     string
		store   *standin.Store
		address string // of the store
		runners []*runner
		boxes   []*box
		closers []func()

		mu     sync.Mutex
		record *os.File
		began  time.Time
	}

	// box is one daemon and its settings.
	box struct {
		site                                     *site
		name, zone, callers, ready, peer, config string
		command                                  *exec.Cmd
		ended                                    chan struct{}
	}

	// runner is a sound runner of the platform: it keeps its entry and records what it runs.
	runner struct {
		site          *site
		id, service   string
		zone, version string
		address       string
		work          time.Duration // of a plain request
		events        int           // of a stream
		prefill       time.Duration // before the first event of a stream
		gap           time.Duration // between events
		slots         int
		stopBeats     chan struct{}
		beats         atomic.Int64
		draining      atomic.Bool
		running       atomic.Int64
		mu            sync.Mutex
		runs          map[string]int
		server        *http.Server
	}

	// answer is what a client got for a request.
	answer struct {
		status int
		whole  bool
		header http.Header
		body   []byte
		err    error
		took   time.Duration
	}
)

func newSite(zones ...string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: standin.NewStore(), record: record, began: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	s.declare(1)
	for i, zone := range zones {
		if err := s.addBox(fmt.Sprintf("front-%s-%d", zone, i+1), zone, zones); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *site) declare(version int) {
	_ = s.store.Put("keyed.op", "config", json.RawMessage(fmt.Sprintf(configText, version)))
	s.note("config %d acknowledged", version)
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins that the site started.
func (s *site) close() {
	for _, b := range s.boxes {
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGKILL)
		b.await()
	}
	for _, r := range s.runners {
		r.close()
	}
	for _, closer := range s.closers {
		closer()
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// watch ends everything if the case takes too long or is told to stop.
func (s *site) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		s.note("the case was ended before it was over")
		s.close()
		os.Exit(exitCannot)
	}()
}

// freePorts returns the first of some ports in a row that are free, below the system's own range.
func freePorts(count int) (int, error) {
	for try := range 200 {
		first := 12000 + (os.Getpid()*37+try*101+int(time.Now().UnixNano()/1000)%9000)%18000
		if arePortsFree(first, count) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func arePortsFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (s *site) addBox(name, zone string, zones []string) error {
	first, err := freePorts(8)
	if err != nil {
		return err
	}
	at := func(i int) string { return "127.0.0.1:" + strconv.Itoa(first+i) }
	b := &box{site: s, name: name, zone: zone, callers: at(0), ready: at(1), peer: at(2), config: filepath.Join(s.dir, name+".conf")}
	seeds := []string{}
	for _, other := range s.boxes {
		seeds = append(seeds, other.peer)
	}
	seeds = append(seeds, b.peer)
	lines := []string{
		"node-name=" + name, "role=router", "machine-class=front", "serves=front,control", "ip=127.0.0.1", "zone=" + zone, "region=pt-centro",
		"listen.front-http=" + b.callers, "listen.ready=" + b.ready, "listen.control=" + b.peer,
		fmt.Sprintf("port-range=%d,%d", first+3, first+7), "seeds=" + strings.Join(seeds[:min(len(seeds), 3)], ","), "bootstrap=true",
		"limits.cpu-share=0.4", "limits.cpu-cores=1", "limits.memory-mb=134", "limits.max-fds=4100", "limits.link-mbps=1000.0", "limits.disk-mb=0",
		"discovery=platform", "entry=vip", "heartbeat-ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
		"bounds.seed-lag-s=3", "bounds.reuse-after-s=2", "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.sync-s=4", "bounds.drain-ms=2000",
		"bounds.grace-s=8", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000", "bounds.downgrade-slack-ms=250", "bounds.max-stretch-ms=5000",
		"bounds.budget-ratio=0.9", "bounds.budget-window-s=10", "bounds.budget-slack=54", "bounds.exposure-share=0.15", "bounds.exposure-slack=30",
		"bounds.rollback-ms=5000", "bounds.recovery-s=12", "bounds.pass-ms=120", "bounds.retry-after-s=7.9", "bounds.session-s=5",
		"platform.address=" + s.address, "platform.form=log", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.parts=12",
		"platform.record-bytes=262144", "platform.call-bytes=2097152", "platform.keep_s=300", "platform.ttl-min-ms=1000",
	}
	for _, each := range zones {
		lines = append(lines, "zones."+each+"=pt-centro")
	}
	if err := os.WriteFile(b.config, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	s.boxes = append(s.boxes, b)
	return nil
}

// start starts the daemon with the command of the deploy file.
func (b *box) start() error {
	log, err := os.OpenFile(filepath.Join(b.site.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	b.command = exec.Command(filepath.Join(os.Getenv("ROOT"), "target/willowwickd"), "-log-format", "json", "-key", peerKey)
	b.command.Env = append(os.Environ(), "WILLOWWICK_NODE_FILE="+b.config)
	b.command.Stdout, b.command.Stderr = log, log
	if err := b.command.Start(); err != nil {
		return err
	}
	b.ended = make(chan struct{})
	command, ended := b.command, b.ended
	go func() {
		state, _ := command.Process.Wait()
		b.site.note("%s: process %d has ended: %v", b.name, command.Process.Pid, state)
		_ = log.Close()
		close(ended)
	}()
	b.site.note("%s: process %d started", b.name, b.command.Process.Pid)
	return nil
}

func (b *box) signal(what os.Signal) {
	if b.command != nil && b.command.Process != nil && !b.hasEnded() {
		_ = b.command.Process.Signal(what)
	}
}

func (b *box) hasEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

func (b *box) await() {
	if b.ended != nil {
		<-b.ended
	}
}

// isReady asks as the platform does.
func (b *box) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + b.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all boxes and waits until they are ready.
func (s *site) startAll() error {
	for _, b := range s.boxes {
		if err := b.start(); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *site) awaitReady() error {
	until := time.Now().Add(readyTime)
	for _, b := range s.boxes {
		for !b.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready in time", b.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// addRunner starts a runner with an entry in the store.
func (s *site) addRunner(r *runner) (*runner, error) {
	r.site, r.runs, r.stopBeats = s, map[string]int{}, make(chan struct{})
	if r.version == "" {
		r.version = "v1"
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	s.runners = append(s.runners, r)
	return r, nil
}

func (r *runner) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		r.writeEntry()
		select {
		case <-ticker.C:
		case <-r.stopBeats:
			return
		}
	}
}

func (r *runner) writeEntry() {
	state := "ready"
	if r.draining.Load() {
		state = "draining"
	}
	_ = r.site.store.Put("keyed.servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": r.beats.Add(1),
	})
}

func (r *runner) close() {
	select {
	case <-r.stopBeats:
	default:
		close(r.stopBeats)
	}
	_ = r.server.Close()
}

// ServeHTTP answers as a sound runner does.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.slots))
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs[id]++
	run := r.runs[id]
	r.mu.Unlock()
	r.running.Add(1)
	defer r.running.Add(-1)
	r.site.note("%s runs %s (%d), %d bytes", r.id, id, run, len(body))
	w.Header().Set("Response-Seal", r.id+"."+id)
	if strings.HasPrefix(q.URL.Path, "/lohu930/") {
		r.stream(w, q, id)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.site.note("%s: connection of %s closed while it runs", r.id, id)
		return
	}
	_, _ = io.WriteString(w, "answer of "+id)
}

func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	select {
	case <-time.After(r.prefill):
	case <-q.Context().Done():
		r.site.note("%s: connection of %s closed while it runs", r.id, id)
		return
	}
	for number := from + 1; number <= r.events; number++ {
		if _, err := io.WriteString(w, event(id, number)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(r.gap):
		case <-q.Context().Done():
			r.site.note("%s: connection of %s closed while it runs", r.id, id)
			return
		}
	}
}

func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", number, id, number)
}

// request returns the bytes of a client's request.
func request(method, path, id string, deadline time.Duration, body []byte) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n", method, path, host, id, deadline.Milliseconds(), clientKey)
	if body != nil {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// client is a client's kept connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// do sends a request and reads its answer whole.
func (c *client) do(method, path, id string, deadline time.Duration, body []byte) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	_ = c.conn.SetDeadline(began.Add(deadline))
	if _, err := c.conn.Write(request(method, path, id, deadline, body)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a = answer{status: response.StatusCode, header: response.Header}
	a.body, a.err = io.ReadAll(response.Body)
	a.whole = a.err == nil
	return a
}

func isTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the drivers by name; each returns whether the rule was broken.
var cases = map[string]func(s *site) (broken bool, err error){}

// TestMain runs the case that CASE_NAME names.
func TestMain(_ *testing.M) {
	run, found := cases[os.Getenv("CASE_NAME")]
	if !found {
		fmt.Fprintln(os.Stderr, "CASE_NAME names no case")
		os.Exit(exitCannot)
	}
	os.Exit(play(run))
}

func play(run func(s *site) (bool, error)) int {
	s, err := newSite("sala-a", "sala-b", "sala-c")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer s.close()
	s.watch()
	broken, err := run(s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
