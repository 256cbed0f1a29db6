package kit2

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDescriptors is limits.max-fds of the settings.
	maxDescriptors = 4100
	// idleRate is the number of requests a second of the whole sheet, and idleTime the time for which they come.
	idleRate = 81.5
	idleTime = 64 * time.Second
	// noteEvery is the number of requests between two notes on the descriptors.
	noteEvery = 400
	// postEvery is the place of a request that may run once among so many: 15.1 of the 81.5 a second.
	postEvery = 5
	// postTimeout is timeout-ms of its route, postDeadline the time that its client waits, and lateAnswer the half second of the rule.
	postTimeout  = 3 * time.Second
	postDeadline = 4 * time.Second
	lateAnswer   = 500 * time.Millisecond
	// streamPatience is the time after which clients give up a stream without an event: eight times the longest pause of the sheet.
	streamPatience = 9600 * time.Millisecond
	// minUnanswered is the number of unanswered requests that are asked for here beside the rule's share, so that it isn't one alone.
	minUnanswered = 8
)

func init() { cases["idle"] = playIdle }

// idleTally counts the requests that may run once.
type idleTally struct {
	mu                            sync.Mutex
	sent, unanswered, stillNoneAt int
	others, othersUnanswered      int // requests that may be repeated
}

// playIdle sends the usual traffic on a new connection for each request, and leaves the connections idle until the box closes them. Two of
// the three boxes lose power at the start.
func playIdle(s *site) (bool, error) {
	for i, zone := range []string{"sala-a", "sala-b", "sala-c"} {
		for _, r := range []*runner{
			{id: fmt.Sprintf("i-app-%d", i), service: "wuno96b", zone: zone, slots: 6, work: 60 * time.Millisecond},
			{id: fmt.Sprintf("i-llm-%d", i), service: "huvo11a", zone: zone, slots: 128, events: 4, gap: 20 * time.Millisecond},
		} {
			if _, err := s.addRunner(r); err != nil {
				return false, err
			}
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	live := s.boxes
	for _, b := range s.boxes {
		limit := &unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
		if err := unix.Prlimit(b.command.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
			return false, err
		}
	}
	if isTrouble() {
		live = s.boxes[:1]
		for _, b := range s.boxes[1:] {
			s.note("%s is lost", b.name)
			b.signal(syscall.SIGKILL)
			b.await()
		}
		time.Sleep(5 * time.Second) // longer than contact-ms
	}
	tally, opened := &idleTally{}, &clientPool{}
	defer opened.close()
	var all sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < idleTime; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / idleRate * float64(time.Second)))))
		b := live[i%len(live)]
		if i%noteEvery == 0 {
			s.note("%.0f s: %s has %d descriptors of %d", time.Since(began).Seconds(), b.name, b.descriptors(), maxDescriptors)
		}
		all.Go(func() { s.askOnNewConnection(b, i, tally, opened) })
	}
	all.Wait()
	s.note("requests that may run once: %d sent, %d without an answer at timeout-ms, %d of these without one %v later (allowed: half)",
		tally.sent, tally.unanswered, tally.stillNoneAt, lateAnswer)
	s.note("other requests: %d sent, %d without an answer when their clients gave up", tally.others, tally.othersUnanswered)
	return tally.stillNoneAt >= minUnanswered && 2*tally.stillNoneAt > tally.unanswered, nil
}

// clientPool holds the clients' idle connections.
type clientPool struct {
	mu      sync.Mutex
	clients []*client
}

func (p *clientPool) add(c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients = append(p.clients, c)
}

func (p *clientPool) close() {
	for _, c := range p.clients {
		_ = c.conn.Close()
	}
}

// askOnNewConnection sends one request on a connection of its own, and leaves that open.
func (s *site) askOnNewConnection(b *box, i int, tally *idleTally, opened *clientPool) {
	c, err := dial(b.callers)
	if err != nil {
		s.note("request %d: no connection: %v", i, err)
		return
	}
	opened.add(c)
	id := fmt.Sprintf("r-%d", i)
	if i%postEvery != 0 {
		a := c.do("POST", "/lohu930/2f", id, streamPatience, []byte("x"))
		if !a.whole || a.status != 200 {
			s.note("%s: status %d, error %v, after %v", id, a.status, a.err, a.took.Round(time.Millisecond))
		}
		tally.mu.Lock()
		defer tally.mu.Unlock()
		tally.others++
		if a.status == 0 {
			tally.othersUnanswered++
		}
		return
	}
	a := c.do("POST", "/puxa403/2f", id, postDeadline, []byte("x"))
	isLate := a.status == 0 && a.took >= postTimeout || a.status != 0 && a.took > postTimeout
	isStillNone := isLate && a.took >= postTimeout+lateAnswer
	if isLate || a.status != 200 {
		s.note("%s, which may run once: status %d, error %v, after %v", id, a.status, a.err, a.took.Round(time.Millisecond))
	}
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.sent++
	if isLate {
		tally.unanswered++
	}
	if isStillNone {
		tally.stillNoneAt++
	}
}

// descriptors returns how many descriptors the process has open.
func (b *box) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
