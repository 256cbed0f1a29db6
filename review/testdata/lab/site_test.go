package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/willowwick/willowwick/standin"
)

const (
	accountKey = "n2ctnfzs989anu6wsjnb"
	routedHost = "ficu95.example"
	// heartbeat is the time between two entries of an endpoint, and missedHeartbeats the number after which its entry goes.
	heartbeat        = 1200 * time.Millisecond
	missedHeartbeats = 3
	startTimeout     = 20 * time.Second
	// trafficAfter is how long after the daemons were started the callers begin.
	trafficAfter = 10 * time.Second
)

// config is the operator's configuration.
const config = `{"version":7,"routes":[
 {"name":"r-stream","host":"ficu95.example","path-prefix":"/stream/","kind":"stream","timeout-ms":20000,"goal-ms":2000,"priority":1,
  "service":"events","max-attempts":3,"anonymous":false,"resumable":true,"gap-target-ms":1200},
 {"name":"r-job","host":"ficu95.example","path-prefix":"/job/","kind":"non_idempotent","timeout-ms":25000,"goal-ms":4000,"priority":2,
  "service":"events","max-attempts":1,"anonymous":false},
 {"name":"r-once","host":"ficu95.example","path-prefix":"/once/","kind":"non_idempotent","timeout-ms":4000,"goal-ms":300,"priority":2,
  "service":"app","max-attempts":1,"anonymous":false},
 {"name":"r-fetch","host":"ficu95.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":4000,"goal-ms":300,"priority":2,
  "service":"app","max-attempts":2,"anonymous":false},
 {"name":"r-draft","host":"ficu95.example","path-prefix":"/draft/","kind":"non_idempotent","timeout-ms":10000,"goal-ms":2000,"priority":2,
  "service":"llm","max-attempts":2,"sizes":["daka510000","rada7437b5"],"anonymous":false,"session-affinity":true}],
 "services":[{"name":"events","health-path":"/health","max-connections":230,"protocol":"h1","tls":false},
 {"name":"app","health-path":"/health","max-connections":96,"protocol":"h1","tls":false},
 {"name":"llm","health-path":"/health","max-connections":230,"protocol":"h1","tls":false,"engine":{"slots":32,"kv-capacity-tokens":761808,
  "kv-token-bytes":35136,"link-mbps":260000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,
  "handle-s":5.0,"models":[{"name":"daka510000","cost":0.013},{"name":"rada7437b5","cost":0.097}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"hule930","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

type (
	// site is a small deployment: daemons, endpoints and a store.
	site struct {
		daemon       string // path of willowwickd
		folder       string // temporary
		hasTrouble   bool
		store        *standin.Store
		storeAddress string
		storeServer  *http.Server
		boxes        []*process
		endpoints    map[string]*listedEndpoint

		mu      sync.Mutex
		record  *os.File
		runs    map[string][]string // endpoints that have run a try, by its id
		waits   map[string]bool     // tries that had to wait at an endpoint
		spoilt  int                 // answers that endpoints have spoilt
		unsized map[string]string   // endpoints that have answered a try without a length, by its id
		failed  string              // why the case couldn't run; empty if it could
	}

	// process is a daemon or an endpoint that the case has started.
	process struct {
		name, callers, ready string
		settings             string // path of a daemon's settings file
		command              *exec.Cmd
		ended                chan struct{}
	}

	// listedEndpoint is an endpoint process with its entry in the store.
	listedEndpoint struct {
		*process
		site       *site
		orders     io.Writer // its standard input
		entry      map[string]any
		mu         sync.Mutex
		beat       int
		lastBeatAt time.Time
	}
)

func newSite(daemon, recordPath string) (*site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Clean(recordPath))
	if err != nil {
		return nil, err
	}
	s := &site{
		daemon: daemon, folder: folder, hasTrouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), record: record,
		endpoints: map[string]*listedEndpoint{}, runs: map[string][]string{}, waits: map[string]bool{}, unsized: map[string]string{},
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePorts(1)))
	if err != nil {
		return nil, err
	}
	s.storeAddress = listener.Addr().String()
	s.storeServer = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.storeServer.Serve(listener) }()
	return s, s.store.Put("keyed.op", "config", json.RawMessage(config))
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// noteEndpointLine keeps what a line of an endpoint says: the word "endpoint", its id, what it does, and the id of the try.
func (s *site) noteEndpointLine(words []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(words) < 4:
	case words[2] == "runs":
		s.runs[words[3]] = append(s.runs[words[3]], words[1])
	case words[2] == "lets":
		s.waits[words[3]] = true
	case words[2] == "spoils":
		s.spoilt++
	case words[2] == "gives":
		s.unsized[words[6]] = words[1]
	}
}

// ran returns the endpoints that have run a try.
func (s *site) ran(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// goCall calls a function in a goroutine of the group; if it panics, the case couldn't run.
func (s *site) goCall(group *sync.WaitGroup, call func()) {
	group.Go(func() {
		defer s.guard()
		call()
	})
}

// guard records a panic of a goroutine.
func (s *site) guard() {
	if failure := recover(); failure != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failed = fmt.Sprint(failure)
	}
}

// require ends a case that doesn't show anything: what it needs did not come about.
func require(isMet bool, format string, args ...any) {
	if !isMet {
		panic(fmt.Sprintf(format, args...))
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// freePorts returns a number of consecutive free ports, below those that the system gives to outgoing connections.
func freePorts(count int) int {
	const lowest, highest = 15000, 30000
	for range 1000 {
		base := lowest + rand.IntN(highest-lowest-count)
		var held []net.Listener
		for port := base; port < base+count; port++ {
			next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				break
			}
			held = append(held, next)
		}
		isFree := len(held) == count
		for _, listener := range held {
			_ = listener.Close()
		}
		if isFree {
			return base
		}
	}
	panic("no free ports")
}

// addBoxes starts daemons with settings like those of the deploy file's page; fields override the defaults.
func (s *site) addBoxes(count int, fields ...string) {
	began := time.Now()
	base := freePorts(8 * count)
	address := func(box, port int) string { return fmt.Sprintf("127.0.0.1:%d", base+8*box+port) }
	var seeds []string
	for box := range min(count, 3) {
		seeds = append(seeds, address(box, 2))
	}
	for box := range count {
		p := &process{
			name: fmt.Sprintf("front-a-%d", box+1), callers: address(box, 0), ready: address(box, 1),
			settings: filepath.Join(s.folder, fmt.Sprintf("node-%d.conf", box+1)),
		}
		lines := []string{
			"node-name=" + p.name, "role=router", "machine-class=front", "serves=front,control", "ip=127.0.0.1", "zone=regina-a",
			"region=prairie-west", "zones.regina-a=prairie-west", "listen.front-http=" + p.callers, "listen.ready=" + p.ready,
			"listen.control=" + address(box, 2), fmt.Sprintf("port-range=%d,%d", base+8*box+3, base+8*box+7),
			"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "counts-as-loss=false", "limits.cpu-share=0.4", "limits.cpu-cores=1",
			"limits.memory-mb=284", "limits.max-fds=4200", "limits.link-mbps=1000.0", "limits.disk-mb=0", "fault-tolerance.machines=2",
			"fault-tolerance.zones=0", "fault-tolerance.regions=0", "discovery=platform", "entry=vip", fmt.Sprintf("heartbeat-ms=%d", heartbeat.Milliseconds()),
			"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
			"bounds.seed-lag-s=3", "bounds.reuse-after-s=2", "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.sync-s=4",
			"bounds.drain-ms=2000", "bounds.grace-s=8", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000",
			"bounds.downgrade-slack-ms=250", "bounds.max-stretch-ms=5000", "bounds.strict-revoke=false", "bounds.revoke-ms=5000",
			"bounds.budget-ratio=0.9", "bounds.budget-window-s=10", "bounds.budget-slack=52", "bounds.exposure-share=0.15",
			"bounds.exposure-slack=30", "bounds.rollback-ms=5000", "bounds.recovery-s=12", "bounds.pass-ms=120",
			"bounds.retry-after-s=10", "bounds.session-s=5", "platform.address=" + s.storeAddress, "platform.form=log",
			"platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.parts=12", "platform.append-ms=2.0", "platform.partition-mb-s=20.0",
			"platform.read-mb-s=80.0", "platform.record-bytes=262144", "platform.call-bytes=2097152", "platform.keep_s=300",
			"platform.partition-mb=200", "platform.ttl-min-ms=1000",
		}
		must(os.WriteFile(p.settings, []byte(strings.Join(append(lines, fields...), "\n")+"\n"), 0o600))
		s.boxes = append(s.boxes, p)
		s.startBox(p)
	}
	for _, p := range s.boxes {
		s.awaitReady(p)
	}
	time.Sleep(time.Until(began.Add(trafficAfter)))
}

// startBox starts a daemon with the deploy file's command.
func (s *site) startBox(p *process) {
	p.command = exec.Command(s.daemon, "-log-format", "json", "-key", "willowwick-peers-of-one-site")
	p.command.Env = []string{"WILLOWWICK_NODE_FILE=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}
	p.command.Stdout, p.command.Stderr = io.Discard, io.Discard
	if path := os.Getenv("DAEMON_LOGS"); path != "" {
		file, err := os.OpenFile(filepath.Join(path, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		must(err)
		p.command.Stdout, p.command.Stderr = file, file
	}
	must(p.start())
	s.note("daemon %s started", p.name)
}

func (p *process) start() error {
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing outlives the case
	if err := p.command.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	command, ended := p.command, p.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) signal(which syscall.Signal) {
	must(p.command.Process.Signal(which))
}

// awaitReady waits until a daemon says that it is ready.
func (s *site) awaitReady(p *process) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	panic(p.name + " is not ready")
}

// addEndpoint starts an endpoint process, and keeps its entry in the store.
func (s *site) addEndpoint(service string, settings endpointSettings) *listedEndpoint {
	settings.Address = fmt.Sprintf("127.0.0.1:%d", freePorts(1))
	data, err := json.Marshal(settings)
	must(err)
	self, err := os.Executable()
	must(err)
	e := &listedEndpoint{process: &process{name: settings.ID}, site: s, entry: map[string]any{
		"service": service, "address": settings.Address, "zone": "regina-a", "version": "v1", "slots": settings.Slots, "state": "ready", "cold-remaining-ms": 0,
	}}
	if len(settings.Models) > 0 {
		e.entry["stage"], e.entry["models"] = "both", modelList(settings.Models)
	}
	e.command = exec.Command(self, "endpoint", string(data))
	out, err := e.command.StdoutPipe()
	must(err)
	e.orders, err = e.command.StdinPipe()
	must(err)
	must(e.start())
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		panic(settings.ID + " doesn't listen")
	}
	go func() {
		for lines.Scan() {
			text := lines.Text()[len("15:04:05.000 "):]
			s.note("%s", text)
			s.noteEndpointLine(strings.Fields(text))
		}
	}()
	s.endpoints[settings.ID] = e
	e.write()
	go e.keepEntry()
	return e
}

// write writes the entry with one more heartbeat.
func (e *listedEndpoint) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat++
	e.lastBeatAt = time.Now()
	e.entry["sequence"] = e.beat
	must(e.site.store.Put("keyed.servers", e.name, e.entry))
}

// keepEntry writes the entry again and again; it goes three heartbeats after the last one.
func (e *listedEndpoint) keepEntry() {
	defer e.site.guard()
	for {
		select {
		case <-e.ended:
			e.mu.Lock()
			left := time.Until(e.lastBeatAt.Add(missedHeartbeats * heartbeat))
			e.mu.Unlock()
			time.Sleep(left)
			must(e.site.store.Put("keyed.servers", e.name, nil))
			e.site.note("the entry of endpoint %s is gone", e.name)
			return
		case <-time.After(heartbeat):
			e.write()
		}
	}
}

// drain tells the endpoint that it is leaving, and writes that it is draining.
func (e *listedEndpoint) drain() {
	e.mu.Lock()
	e.entry["state"] = "draining"
	e.mu.Unlock()
	_, err := io.WriteString(e.orders, leaveOrder+"\n")
	must(err)
	e.write()
	e.site.note("endpoint %s says that it is draining", e.name)
}

// close ends all processes that the case has started.
func (s *site) close() {
	for _, p := range s.boxes {
		p.end()
	}
	for _, e := range s.endpoints {
		e.end()
	}
	_ = s.storeServer.Close()
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// end kills the process, if it runs, and waits for its end.
func (p *process) end() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.ended
}
