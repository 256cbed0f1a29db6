package kit2

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is limits.memory-mb of the settings.
	memoryLimitMB = 134
	// burstClients is the number of clients that send within a second, burstPause apart.
	burstClients = 40
	burstPause   = 25 * time.Millisecond
	// largestBody is max-body-bytes of the configuration, and usualLargest the largest body of the sheet's kinds of requests.
	largestBody  = 4194304
	usualLargest = 72000
	// maxLost is the number of requests that LOST allows.
	maxLost = 3
)

func init() { cases["bodies"] = playBodies }

// playBodies lets many clients send one request each to one box, within a second, with the largest body that the configuration allows.
func playBodies(s *site) (bool, error) {
	for i, zone := range []string{"sala-a", "sala-b", "sala-c"} {
		_, err := s.addRunner(&runner{
			id: fmt.Sprintf("i-llm-%d", i), service: "huvo11a", zone: zone, slots: 128, events: 20, gap: 60 * time.Millisecond, prefill: time.Second,
		})
		if err != nil {
			return false, err
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	b := s.boxes[0]
	clients, err := s.keepConnections(b, burstClients)
	if err != nil {
		return false, err
	}
	size := usualLargest
	if isTrouble() {
		size = largestBody
	}
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		s.enforceMemory(b, stop)
	}()
	body := bytes.Repeat([]byte("x"), size)
	var lost, served atomic.Int64
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * burstPause)
			id := fmt.Sprintf("second-%d", i)
			s.note("client %d sends %s with %d bytes on its kept connection", i, id, size)
			a := c.do("POST", "/lohu930/2f", id, 20*time.Second, body)
			ran := s.runsOf(id)
			s.note("%s: status %d, whole %v, error %v, runs %d, after %v", id, a.status, a.whole, a.err, ran, a.took.Round(time.Millisecond))
			switch {
			case a.whole && a.status == 200:
				served.Add(1)
			case a.status == 0 && ran > 0:
				lost.Add(1)
			}
		})
	}
	all.Wait()
	close(stop)
	<-watched
	s.note("served %d of %d; %d were passed on to a sound runner, and their kept connection closed without an answer (allowed: %d)", served.Load(), burstClients, lost.Load(), maxLost)
	return lost.Load() > maxLost, nil
}

// keepConnections opens connections on each of which one request has been answered.
func (s *site) keepConnections(b *box, count int) ([]*client, error) {
	clients, failed := make([]*client, count), make(chan error, count)
	var all sync.WaitGroup
	for i := range clients {
		c, err := dial(b.callers)
		if err != nil {
			return nil, err
		}
		clients[i] = c
		all.Go(func() {
			time.Sleep(time.Duration(i) * burstPause)
			if a := c.do("POST", "/lohu930/2f", fmt.Sprintf("first-%d", i), 20*time.Second, []byte("x")); a.status != 200 || !a.whole {
				failed <- fmt.Errorf("the first request of client %d got %d, %v", i, a.status, a.err)
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return clients, nil
	}
}

// runsOf returns how many runners ran a request.
func (s *site) runsOf(id string) (count int) {
	for _, r := range s.runners {
		r.mu.Lock()
		count += r.runs[id]
		r.mu.Unlock()
	}
	return count
}

// enforceMemory kills the process once it exceeds limits.memory-mb, as the platform does.
func (s *site) enforceMemory(b *box, stop chan struct{}) {
	peak := 0.0
	defer func() { s.note("%s held %.0f MB at most", b.name, peak) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if b.hasEnded() {
			return
		}
		held := b.heldMB()
		peak = max(peak, held)
		if held > memoryLimitMB {
			s.note("%s holds %.0f MB: the platform kills a process that exceeds memory-mb=%d", b.name, held, memoryLimitMB)
			b.signal(syscall.SIGKILL)
			return
		}
	}
}

// heldMB returns the memory that the process holds, without the pages of its program file.
func (b *box) heldMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}
