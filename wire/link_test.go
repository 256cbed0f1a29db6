package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick/clock"
)

// newExhaustedLink returns the limit of a link of 8 Mbit/s, of which callers may use a share, who have used much more of it.
func newExhaustedLink() (*LinkLimit, time.Time) {
	l, now := NewLinkLimit(8), clock.Now()
	l.use(now, 1e9)
	return l, now
}

func TestLinkLimitReadsAllConnectionsOfAQuietLink(t *testing.T) {
	l, now := NewLinkLimit(8), clock.Now()
	for range 1000 {
		reserved, isAdmitted := l.admit(now, 0)
		assert.True(t, isAdmitted)
		l.measured(2000, reserved)
		l.use(now, 2000-reserved)
		now = now.Add(10 * time.Millisecond)
	}
}

// Guards against connections that come at once being admitted before any of their bytes is counted.
func TestLinkLimitReservesForConnectionsThatComeAtOnce(t *testing.T) {
	l, now := NewLinkLimit(8), clock.Now()
	admitted := 0
	for range 1000 {
		if _, isAdmitted := l.admit(now, 0); isAdmitted {
			admitted++
		}
	}
	assert.InDelta(t, l.rate*linkBurst.Seconds()/firstRequestBytes, admitted, 3)
}

// Guards against a box that reads no new connection for long: it would look dead.
func TestLinkLimitKeepsReadingSomeConnections(t *testing.T) {
	l, begin := newExhaustedLink()
	admitted := 0
	for now := begin; now.Before(begin.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
		l.use(now, 1e6)
		if _, isAdmitted := l.admit(now, 0); isAdmitted {
			admitted++
		}
	}
	assert.InDelta(t, 5*time.Second/maxUnreadTime, admitted, 1)
}

func TestLinkLimitEndsSoonAfterTheUse(t *testing.T) {
	l, now := newExhaustedLink()
	assert.True(t, l.IsExhausted(now))
	assert.False(t, l.IsExhausted(now.Add(maxLinkDebt+time.Millisecond)))
}

func TestLinkLimitGivesBackWhatWasNotUsed(t *testing.T) {
	l, now := NewLinkLimit(8), clock.Now()
	for range 1000 {
		reserved, isAdmitted := l.admit(now, 0)
		assert.True(t, isAdmitted)
		l.measured(0, reserved)
	}
	assert.InDelta(t, firstRequestBytes, l.requestBytes, 0)
}

func TestUnknownLinkHasNoLimit(t *testing.T) {
	l := NewLinkLimit(0)
	assert.Nil(t, l)
	assert.False(t, l.IsExhausted(clock.Now()))
}
