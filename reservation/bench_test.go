package reservation

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const (
	// benchEndpoints, benchSlots and benchChoices describe a large service, and the endpoints that one request names.
	benchEndpoints = 670
	benchSlots     = 32
	benchChoices   = 16
	// benchPlaces is the number of endpoints at which a box has requests.
	benchPlaces = 20
)

// benchCall is a call of one of some boxes, which has requests at some endpoints and asks for one more.
func benchCall(box int) Call {
	call := Call{Box: willowwick.BoxID(fmt.Sprint("box-", box)), Asks: []Ask{{}}}
	endpointAt := func(i int) willowwick.EndpointID {
		return willowwick.EndpointID(fmt.Sprintf("i-%010x", (box*benchChoices+i)%benchEndpoints))
	}
	for i := range benchPlaces {
		call.Places = append(call.Places, willowwick.Occupancy{Endpoint: endpointAt(i), Requests: 1})
	}
	for i := range benchChoices {
		choice := willowwick.Alternative{Endpoint: endpointAt(i), Slots: benchSlots, HasAnswered: true}
		call.Asks[0].Choices = append(call.Asks[0].Choices, choice)
	}
	return call
}

// BenchmarkAnswer measures the work of the granting box for one call, at four sizes of fleet.
func BenchmarkAnswer(b *testing.B) {
	for _, boxes := range []int{6, 61, 295, 390} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			now := time.Now()
			g := grantingSince(now)
			calls := make([]Call, boxes)
			for box := range calls {
				calls[box] = benchCall(box)
				g.Answer(calls[box], Share{}, now)
			}
			round := 0
			for b.Loop() {
				round++
				call := &calls[round%boxes]
				call.SentAt = int64(round)
				g.Answer(*call, Share{}, now)
			}
			b.ReportMetric(float64(callBytes(b, &calls[0])), "B/call")
		})
	}
}

// callBytes returns the size of a call on a connection that has carried one before.
func callBytes(b *testing.B, call *Call) int {
	var sent bytes.Buffer
	encoder := gob.NewEncoder(&sent)
	require.NoError(b, encoder.Encode(call))
	first := sent.Len()
	require.NoError(b, encoder.Encode(call))
	return sent.Len() - first
}
