package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

// Boxes that all reach no endpoint asked each other for every request, each all others within a second.
func TestBoxAsksFewBoxesAtATimeWhetherTheyTakeRequests(t *testing.T) {
	const boxes = 100
	x, closeRouter := newRouter(testSettings(), testCodec{})
	defer closeRouter()
	peers, closePeers := newPeers(x)
	defer closePeers()
	x.peers = peers
	now := time.Now()
	for i := range boxes {
		peers.noteBox(KnownBox{Address: fmt.Sprint("box-", i), Hall: "hall-a"}, now)
	}
	anywhere := func(willowwick.HallID) bool { return true }
	countAsked := func(at time.Time) (asked int) {
		for {
			box, found := x.offers.drawUnasked(at, anywhere)
			if !found {
				return asked
			}
			asked++
			x.offers.noteReply(box.Address, OfferReply{}, true)
		}
	}
	assert.Equal(t, maxCallsPerTTL, countAsked(now))
	assert.Zero(t, countAsked(now.Add(offerTTL/2)))
	assert.Equal(t, maxCallsPerTTL, countAsked(now.Add(offerTTL)))
}
