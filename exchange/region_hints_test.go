package exchange

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

// recordingConn records the datagrams that are sent.
type recordingConn struct {
	net.PacketConn
	sent map[string][]byte // by address
}

// WriteTo implements net.PacketConn.
func (c *recordingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.sent[to.String()] = data
	return len(data), nil
}

// newRegionHints returns the hints of a box in hall-a, in the north, and the addresses of the other boxes.
func newRegionHints() (*hints, *recordingConn, []netip.AddrPort, map[willowwick.HallID][]netip.AddrPort) {
	settings := regionSettings()
	settings.Regions["hall-c"] = "north"
	x, _ := newRouter(settings, testCodec{})
	conn := &recordingConn{sent: map[string][]byte{}}
	at := func(address string) []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort(address)} }
	far := map[willowwick.HallID][]netip.AddrPort{"hall-b": at("127.0.0.2:1"), "hall-c": at("127.0.0.3:1")}
	return newHints(x, conn), conn, at("127.0.0.1:1"), far
}

// Guards against updates on prompts that nearly no box of another region needs: they were most of the bytes between
// regions on a calm day.
func TestHintsGoToAnotherRegionOnlyForItsEndpoints(t *testing.T) {
	const near, southern, northern = "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"
	for name, test := range map[string]struct {
		waiting hint
		kinds   map[string]hintKind
	}{
		"endpoint of the own region":   {hint{hall: "hall-c"}, map[string]hintKind{near: hintFinal, northern: hintFinal}},
		"endpoint of the other region": {hint{hall: "hall-b"}, map[string]hintKind{near: hintFinal, northern: hintFinal, southern: hintForwardInRegion}},
		"from the other region":        {hint{reach: reachRegion}, map[string]hintKind{near: hintFinal, northern: hintFinal}},
		"from another hall":            {hint{reach: reachHall}, map[string]hintKind{near: hintFinal}},
	} {
		t.Run(name, func(t *testing.T) {
			h, conn, boxes, far := newRegionHints()
			h.sendCollected([]hint{test.waiting}, boxes, far)
			kinds := map[string]hintKind{}
			for address, data := range conn.sent {
				kind, rows, err := h.decode(data)
				require.NoError(t, err)
				assert.Len(t, rows, 1)
				kinds[address] = kind
			}
			assert.Equal(t, test.kinds, kinds)
		})
	}
}

// A box that gets updates from another region forwards them to all boxes of its own.
func TestHintsFromAnotherRegionGoOnInThisOne(t *testing.T) {
	h, _, _, _ := newRegionHints()
	for kind, reach := range map[hintKind]hintReach{hintForwardInRegion: reachRegion, hintForward: reachHall} {
		h.apply(kind, []hintRow{{Endpoint: 7}}, time.Now())
		require.Len(t, h.queue, 1)
		assert.Equal(t, reach, (<-h.queue).reach)
	}
	h.apply(hintFinal, []hintRow{{Endpoint: 7}}, time.Now())
	assert.Empty(t, h.queue)
}
