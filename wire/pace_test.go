package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick/clock"
)

// inbound is a simulated way in that carries so many requests a second, one after the other.
type inbound struct {
	perSecond float64
	freeAt    time.Time
	waiting   []waitingRequest
}

// waitingRequest is a request that is on its way in.
type waitingRequest struct {
	cohort          *cohort
	sentAt, arrives time.Time
}

// flood offers requests at a rate for a time, and returns how many were read and the longest wait from the given time on.
func (w *inbound) flood(p *pace, begin time.Time, perSecond int, duration, from time.Duration) (read int, longest time.Duration) {
	for i := range int(duration.Seconds() * float64(perSecond)) {
		now := begin.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		w.arrive(p, now)
		c, isAdmitted := p.admit(now, 0)
		if !isAdmitted {
			continue
		}
		if w.freeAt.Before(now) {
			w.freeAt = now
		}
		w.freeAt = w.freeAt.Add(time.Duration(float64(time.Second) / w.perSecond))
		w.waiting = append(w.waiting, waitingRequest{c, now, w.freeAt})
		if now.Sub(begin) >= from {
			read, longest = read+1, max(longest, w.freeAt.Sub(now))
		}
	}
	return read, longest
}

// arrive lets the requests arrive that have been carried.
func (w *inbound) arrive(p *pace, now time.Time) {
	for len(w.waiting) > 0 && !w.waiting[0].arrives.After(now) {
		p.arrived(w.waiting[0].cohort, w.waiting[0].arrives.Sub(w.waiting[0].sentAt))
		w.waiting = w.waiting[1:]
	}
}

// Guards against a box that reads more than arrives in time where it doesn't know what its link carries.
func TestPaceFollowsWhatArrives(t *testing.T) {
	for _, perSecond := range []float64{100, 150, 500} {
		w, p, begin := &inbound{perSecond: perSecond}, &pace{}, clock.Now()
		read, longest := w.flood(p, begin, 600, 10*time.Second, 3*time.Second)
		t.Logf("%v a second: %d read in 7 s, longest wait %s", perSecond, read, longest)
		assert.Greater(t, float64(read), 0.6*7*perSecond)
		assert.Less(t, longest, time.Second)
	}
}

func TestPaceEndsAfterTheFlood(t *testing.T) {
	w, p, begin := &inbound{perSecond: 100}, &pace{}, clock.Now()
	w.flood(p, begin, 1000, 3*time.Second, 0)
	assert.Positive(t, p.bound())
	begin = begin.Add(10 * time.Second)
	w.flood(p, begin, 20, 10*time.Second, 0)
	assert.Zero(t, p.bound())
	read, _ := w.flood(p, begin.Add(10*time.Second), 50, time.Second, 0)
	assert.Equal(t, 50, read)
}

// Guards against callers with slow links of their own, or that open connections before they need them, being taken for a box that is overloaded.
func TestPaceAllowsForSlowCallers(t *testing.T) {
	p, now := &pace{}, clock.Now()
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		c, isAdmitted := p.admit(now, 0)
		assert.True(t, isAdmitted)
		switch i % 4 {
		case 0:
			p.arrived(c, 10*time.Millisecond)
		case 1:
			p.arrived(c, 3*time.Second)
		case 2:
			p.left(c)
		default: // its request is still on its way
		}
	}
	assert.Zero(t, p.bound())
}

// Guards against a box that is short of processor time, and turns away the few callers that it has: they aren't what it is busy with.
func TestPaceAllowsForFewConnections(t *testing.T) {
	p, now := &pace{}, clock.Now()
	for range 200 {
		now = now.Add(time.Second / 10)
		c, isAdmitted := p.admit(now, 0)
		assert.True(t, isAdmitted)
		p.arrived(c, 2*arrivalLimit)
	}
	assert.Zero(t, p.bound())
}

// Guards against a box that looks dead since it refuses all connections: during a flood it reads some again once what waited is carried
// and half of the least burst may be read.
func TestPaceReadsSomeConnectionsAllTheTime(t *testing.T) {
	const maxClosed = maxDrain + time.Duration(minBurst/2/minPace*float64(time.Second))
	for _, perSecond := range []float64{20, 100, 500} {
		w, p, begin := &inbound{perSecond: perSecond}, &pace{}, clock.Now()
		last, longest := begin, time.Duration(0)
		for i := range 11_000 {
			now := begin.Add(time.Duration(i) * time.Second / 1100)
			if read, _ := w.flood(p, now, 1, time.Second, 0); read > 0 {
				longest = max(longest, now.Sub(last))
				last = now
			}
		}
		t.Logf("%v a second: refused for %s at a stretch", perSecond, longest)
		assert.Less(t, longest, maxClosed)
	}
}
