package exchange

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/route"
)

// newHalls starts the given number of boxes in each hall, which find each other through the first box of all.
func newHalls(t *testing.T, halls, boxes int, endpoints ...willowwick.Endpoint) []*site {
	control := newTestControl(testTable(1, streamRoute()), endpoints...)
	var sites []*site
	for hall := range halls {
		for box := range boxes {
			settings := testSettings()
			settings.Box = willowwick.BoxID(fmt.Sprint("box-", hall, "-", box))
			settings.Hall = willowwick.HallID(fmt.Sprint("hall-", hall))
			settings.Drain = hallDrain
			if len(sites) > 0 {
				settings.Seeds = []string{sites[0].daemon.router.settings.Peers}
			}
			sites = append(sites, startSite(t, control, settings))
		}
	}
	require.Eventually(t, func() bool {
		for _, s := range sites {
			if len(s.daemon.router.peers.rosterRows(time.Now())) < halls*boxes {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)
	return sites
}

// forecastAt returns how long the box expects the endpoint to be reading.
func forecastAt(s *site, endpoint willowwick.EndpointID) time.Duration {
	return s.daemon.router.pool.PrefillBacklog(time.Now(), endpoint)
}

// Boxes that didn't know what the others had sent chose endpoints that were reading for a second and more.
func TestHintsReachAllBoxes(t *testing.T) {
	for _, boxes := range []int{2, maxDirectBoxes + 2} {
		t.Run(fmt.Sprint(boxes, " boxes a hall"), func(t *testing.T) {
			r := newRunner(t, "r1", answerText("ok"))
			sites := newHalls(t, 2, boxes, r.endpoint("v1"))
			x := sites[0].daemon.router
			slot, _ := x.pool.AcquireAllowed(time.Now(), "work", route.Work{
				Model: "small", Prompt: []willowwick.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}},
			}, nil, func(willowwick.Endpoint) bool { return true })
			require.NotNil(t, slot)
			update, hasUpdate := slot.Sent(time.Now())
			require.True(t, hasUpdate)
			update.Added = time.Minute // the endpoint's speed is unknown yet
			x.hints.publish(update, true)
			for _, s := range sites[1:] {
				require.Eventually(t, func() bool { return forecastAt(s, "r1") > time.Second }, waitTimeout, 5*time.Millisecond, s.daemon.router.settings.Box)
			}
		})
	}
}

func newTestHints(key string) *hints {
	return newHints(&Router{settings: Settings{Key: []byte(key)}}, nil)
}

func TestHintsWithAnotherKeyAreRejected(t *testing.T) {
	own, stranger := newTestHints("0123456789abcdef"), newTestHints("fedcba9876543210")
	rows := []hintRow{{Endpoint: 7, Micros: 100}, {Endpoint: 8, Micros: -5, IsShift: true, Parts: [maxHintParts]route.PartHash{1, 2}}}
	data, err := own.encode(hintForward, rows)
	require.NoError(t, err)
	kind, got, err := own.decode(data)
	require.NoError(t, err)
	assert.Equal(t, hintForward, kind)
	assert.Equal(t, rows, got)
	_, _, err = stranger.decode(data)
	assert.Error(t, err)
	for n := range data {
		_, _, err = own.decode(data[:n])
		assert.Error(t, err, "%d bytes", n)
	}
}

func TestDatagramOfHintsFitsAPacket(t *testing.T) {
	data, err := newTestHints("k").encode(hintFinal, make([]hintRow, maxHintRows))
	require.NoError(t, err)
	assert.Less(t, len(data), 1200)
}

func TestPublishingHintsNeverBlocks(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s := newSite(t)
	h := newHints(s.daemon.router, conn) // nothing sends the queue
	for range 2 * hintQueueSize {
		h.publish(route.PrefillUpdate{Endpoint: 1}, true)
	}
	assert.Len(t, h.queue, hintQueueSize)
}

// A box that is gone stays listed for half a minute, and would lose the updates that it has to forward.
func TestHintsToALargerHallGoThroughALiveBox(t *testing.T) {
	h := newTestHints("k")
	var hall []netip.AddrPort
	for i := range 5 {
		hall = append(hall, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1))
	}
	h.lastReceivedAt[hall[3]] = time.Now()
	h.lastReceivedAt[hall[1]] = time.Now().Add(-2 * hintSenderTTL)
	for range 20 {
		assert.Equal(t, hall[3], h.chooseRelay(hall))
	}
}

// At 390 boxes with 5,400 requests a second, sending all updates would cost each box 250 KB a second.
func TestHintsStayWithinTheirBandwidth(t *testing.T) {
	const boxes, seconds = 390, 20
	h, now := newTestHints("k"), time.Now()
	sent := map[bool]int{}
	offered := map[bool]int{}
	for n := range 40 * seconds {
		now = now.Add(time.Second / 40)
		isLong := n%16 == 0
		prefillTime := 20 * time.Millisecond
		if isLong {
			prefillTime = time.Second
		}
		offered[isLong]++
		if h.takeRowToken(prefillTime, boxes, now) {
			sent[isLong]++
		}
	}
	received := float64(sent[true]+sent[false]) / seconds * boxes
	assert.LessOrEqual(t, received, 1.5*maxRowsPerSecond)
	assert.Greater(t, float64(sent[true])/float64(offered[true]), 0.9, "most updates of long prefills must be sent")
	few := newTestHints("k")
	for n := range 100 {
		assert.True(t, few.takeRowToken(time.Millisecond, 6, now.Add(time.Duration(n)*10*time.Millisecond)))
	}
}
