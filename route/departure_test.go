package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDeparturesAreSpreadOverTheTimeLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	leavesAt := now.Add(2 * time.Second)
	assert.Equal(t, now, DepartureTime(now, leavesAt, 0))
	assert.Equal(t, now.Add((2*time.Second-departureMargin)/2), DepartureTime(now, leavesAt, 0.5))
	assert.Equal(t, leavesAt.Add(-departureMargin), DepartureTime(now, leavesAt, 1))
	assert.Equal(t, now, DepartureTime(now, now.Add(departureMargin/2), 1), "at once if little time is left")
}

func TestAnswerIsLikelyDoneInTime(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	lengths := NewAnswerLengths()
	waiting := AnswerProgress{SentAt: begin}
	assert.False(t, lengths.IsLikelyDone("stream", "small", waiting, at(100)), "nothing is known")
	lengths.Observe("stream", "small", 4*time.Second, 40)
	assert.True(t, lengths.IsLikelyDone("stream", "small", waiting, at(5.5)))
	assert.False(t, lengths.IsLikelyDone("stream", "small", waiting, at(4.5)))
	assert.False(t, lengths.IsLikelyDone("stream", "large", waiting, at(100)), "another model")
	// 20 events within 1.9 s, of 40.
	half := AnswerProgress{SentAt: begin, FirstEventAt: at(1), LastEventAt: at(2.9), SendEvents: 20, AllEvents: 20}
	assert.True(t, lengths.IsLikelyDone("stream", "small", half, at(5.5)))
	assert.False(t, lengths.IsLikelyDone("stream", "small", half, at(4.5)))
	// The same after 15 events of an earlier send.
	half.AllEvents = 35
	assert.True(t, lengths.IsLikelyDone("stream", "small", half, at(4.5)))
}
