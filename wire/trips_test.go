package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick/clock"
)

// noteTrips records round trips that began one after the other, 10 ms apart, and returns when the last one ended.
func noteTrips(t *trips, begin time.Time, isAnswered bool, took ...time.Duration) time.Time {
	end := begin
	for i, duration := range took {
		trip := Trip{BeganAt: begin.Add(time.Duration(i) * 10 * time.Millisecond), IsAnswered: isAnswered}
		trip.EndedAt = trip.BeganAt.Add(duration)
		t.note(trip)
		end = trip.EndedAt
	}
	return end
}

const (
	quick = 2 * time.Millisecond
	slow  = 250 * time.Millisecond
)

// Guards against a box that doesn't notice that all its messages wait on their way.
func TestTripsTellThatAllHaveToWait(t *testing.T) {
	var all trips
	begin := clock.Now()
	assert.Zero(t, all.delay(noteTrips(&all, begin, true, quick, quick, quick, quick), time.Time{}))
	end := noteTrips(&all, begin.Add(time.Second), true, slow, slow, slow, slow)
	assert.Equal(t, slow-quick, all.delay(end, time.Time{}))
	assert.Zero(t, all.delay(end, end), "of those that began after the end none is known")
	assert.Zero(t, all.delay(end.Add(time.Second), time.Time{}), "they ended long ago")
}

// Guards against slow endpoints, or a path to some of them that is cut, being taken for the link of this box.
func TestTripsAreQuickIfOneIs(t *testing.T) {
	var all trips
	begin := clock.Now()
	noteTrips(&all, begin, true, quick)
	end := noteTrips(&all, begin.Add(time.Second), true, slow, slow, slow, slow, quick)
	assert.Zero(t, all.delay(end, time.Time{}))
	end = noteTrips(&all, begin.Add(2*time.Second), false, slow, slow, slow, slow)
	assert.Zero(t, all.delay(end, time.Time{}), "none was answered")
	end = noteTrips(&all, end, true, slow)
	assert.Equal(t, slow-quick, all.delay(end, time.Time{}))
}

// Guards against callers and endpoints that are all far away being taken for a link that is full.
func TestTripsOverAFarPathAreNotSlow(t *testing.T) {
	var all trips
	assert.Zero(t, all.delay(noteTrips(&all, clock.Now(), true, slow, slow, slow, slow, slow), time.Time{}))
}

// Guards against a box that admits all connections since their first bytes arrive with them, while its link is full.
func TestPaceFallsOnceTripsAreSlow(t *testing.T) {
	p, now := &pace{}, clock.Now()
	for i := range 400 {
		now = now.Add(2 * time.Millisecond)
		if c, isAdmitted := p.admit(now, 0); isAdmitted {
			p.arrived(c, time.Millisecond)
		}
		took := quick
		if i >= 200 {
			took = slow
		}
		if i%20 == 0 {
			p.noteTrip(Trip{BeganAt: now.Add(-took), EndedAt: now, IsAnswered: true})
		}
	}
	assert.Positive(t, p.bound())
	assert.Less(t, p.bound(), 400.0)
}
