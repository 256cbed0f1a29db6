package exchange

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
)

const (
	// hintPausePerBox is how long a box collects updates before it sends them to its hall, for each box that
	// receives them: in a hall of 65 boxes, each box then sends at most a thousand datagrams a second to all others
	// together.
	hintPausePerBox = time.Millisecond
	// minHintPause is the least time for which updates are collected: a datagram takes a fraction of it to arrive,
	// and reading a prompt takes many times as long.
	minHintPause = 5 * time.Millisecond
	// maxHintRows limits the updates in one datagram, so that it fits into a packet with room to spare.
	maxHintRows = 48
	// hintQueueSize limits the updates that wait to be sent; more are dropped.
	hintQueueSize = 256
	// hintReadBytes is the size of the receive buffer, above that of the largest datagram.
	hintReadBytes = 2048
	// hintSealBytes is the length of the seal (a truncated HMAC) before the rows: long enough not to be guessed
	// while a box runs.
	hintSealBytes = 12
	// maxHintParts limits the prompt parts in an update: shared ones are few, and the last ones matter most.
	maxHintParts = 2
	// maxDirectBoxes is the largest size of another hall whose boxes are all sent updates directly. In a larger
	// hall one box gets them and forwards them, since bytes between halls cost more than those within.
	maxDirectBoxes = 3
	// maxRowsPerSecond is how many updates a second a box receives from all others together: at 17 bytes each, two
	// thirds of the 30 KB a second that a box may spend on control traffic. Each box sends an equal share of them,
	// and drops those of short prefills first.
	maxRowsPerSecond = 1200
	// rowBurstSeconds is the burst of a box's share, in seconds of its rate, and minRowBurst the least burst in
	// updates.
	rowBurstSeconds = 2
	minRowBurst     = 16
	// shortPrefill is the prefill time below which updates are sent only while at least half of the burst is left.
	shortPrefill = 100 * time.Millisecond
	// hintSenderTTL is how long a box that sent updates counts as alive: boxes that serve requests send some each
	// second.
	hintSenderTTL = 2 * time.Second
)

type (
	// hints sends prefill updates to other boxes in UDP datagrams, and applies theirs. A prefill update reports that a
	// prompt was sent to an endpoint, or that the forecast of all that the endpoint has to read has shifted.
	//
	// A box knows only its own requests at once, but an endpoint reads prompts one after another, whoever sent
	// them. With the updates of other boxes, forecasts of the first event are good enough to choose endpoints by.
	// A lost datagram costs a worse choice and nothing else.
	hints struct {
		router *Router
		conn   net.PacketConn
		queue  chan hint

		mu             sync.Mutex
		lastReceivedAt map[netip.AddrPort]time.Time // when each box last sent updates
		rowTokens      float64                      // updates that may be sent as of rowTokensAt
		rowTokensAt    time.Time
	}

	// hint is a prefill update that waits to be sent.
	hint struct {
		row   hintRow
		hall  willowwick.HallID // of the endpoint; empty if the update was received
		reach hintReach
	}

	// hintReach tells to which boxes an update is sent; a greater one is narrower.
	hintReach uint8

	// hintRow is a prefill update on the wire; the endpoint and the prompt parts are given by 32-bit halves of their
	// hashes.
	hintRow struct {
		Endpoint uint32
		Micros   int32 // change of the endpoint's prefill time in microseconds, or shift of its whole forecast
		IsShift  bool  // Micros is a shift
		Parts    [maxHintParts]route.PartHash
	}

	// hintKind is the first byte of a datagram.
	hintKind uint8
)

const (
	// reachEndpointRegion: an update of this box goes to all boxes of its region and of the endpoint's region.
	reachEndpointRegion hintReach = iota
	// reachRegion: an update from another region is forwarded to all boxes of this one.
	reachRegion
	// reachHall: an update from another hall is forwarded to the boxes of this one.
	reachHall
)

const (
	// hintFinal marks updates for the receiving box only.
	hintFinal hintKind = iota
	// hintForward marks updates that the receiver forwards to the other boxes of its hall.
	hintForward
	// hintForwardInRegion marks updates that the receiver forwards to the other boxes of its region.
	hintForwardInRegion
)

func newHints(x *Router, conn net.PacketConn) *hints {
	return &hints{router: x, conn: conn, queue: make(chan hint, hintQueueSize), lastReceivedAt: map[netip.AddrPort]time.Time{}}
}

// publish queues an update for the other boxes if there is one, as its source reports in hasUpdate; it never blocks.
func (h *hints) publish(update route.PrefillUpdate, hasUpdate bool) {
	if h.conn == nil || !hasUpdate {
		return
	}
	if !h.takeRowToken(update.Added, h.router.peers.fleetSize(), clock.Now()) {
		h.router.metrics.countHintDropped()
		return
	}
	row := hintRow{
		Endpoint: update.Endpoint, IsShift: update.IsShift,
		Micros: int32(min(max(update.Added.Microseconds(), math.MinInt32), math.MaxInt32)),
	}
	copy(row.Parts[:], update.Parts[max(len(update.Parts)-maxHintParts, 0):])
	h.enqueue(hint{row: row, hall: update.Hall})
}

// takeRowToken takes a token for an update from this box's share of maxRowsPerSecond, and reports whether there was
// one; change is the prefill time or shift in the update.
func (h *hints) takeRowToken(change time.Duration, boxes int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rate := maxRowsPerSecond / float64(max(boxes, 1))
	burst := max(rowBurstSeconds*rate, minRowBurst)
	if h.rowTokensAt.IsZero() {
		h.rowTokens = burst
	}
	h.rowTokens = min(h.rowTokens+rate*now.Sub(h.rowTokensAt).Seconds(), burst)
	h.rowTokensAt = now
	if h.rowTokens < 1 || change.Abs() < shortPrefill && h.rowTokens < burst/2 {
		return false
	}
	h.rowTokens--
	return true
}

func (h *hints) enqueue(waiting hint) {
	select {
	case h.queue <- waiting:
	default:
		h.router.metrics.countHintDropped()
	}
}

// send sends the queued updates until the context ends.
func (h *hints) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-h.queue:
			ownHall, otherHalls := h.router.peers.hintRecipients(clock.Now())
			clock.Sleep(ctx, max(time.Duration(len(ownHall))*hintPausePerBox, minHintPause))
			h.sendCollected(h.collect(first), ownHall, otherHalls)
		}
	}
}

// sendCollected sends updates to the boxes of this box's hall, to the other halls of its region, and to the regions of
// their endpoints: boxes of the other regions rarely send to an endpoint.
func (h *hints) sendCollected(list []hint, ownHall []netip.AddrPort, otherHalls map[willowwick.HallID][]netip.AddrPort) {
	topology := h.router.topology
	h.sendTo(ownHall, willowwick.SameHall, hintFinal, hintRows(list, func(hint) bool { return true }))
	regions := map[willowwick.RegionID][]netip.AddrPort{}
	for hall, boxes := range otherHalls {
		if topology.Distance(hall) == willowwick.OtherRegion {
			regions[topology.Region(hall)] = append(regions[topology.Region(hall)], boxes...)
		} else {
			h.sendToHall(boxes, hintRows(list, func(waiting hint) bool { return waiting.reach <= reachRegion }))
		}
	}
	for region, boxes := range regions {
		h.sendTo([]netip.AddrPort{h.chooseRelay(boxes)}, willowwick.OtherRegion, hintForwardInRegion, hintRows(list, func(waiting hint) bool {
			return waiting.reach == reachEndpointRegion && topology.Region(waiting.hall) == region
		}))
	}
}

// hintRows returns the rows of the updates that use accepts.
func hintRows(list []hint, use func(hint) bool) []hintRow {
	var rows []hintRow
	for _, waiting := range list {
		if use(waiting) {
			rows = append(rows, waiting.row)
		}
	}
	return rows
}

// collect returns the first update and those queued behind it, up to maxHintRows.
func (h *hints) collect(first hint) []hint {
	list := []hint{first}
	for len(list) < maxHintRows {
		select {
		case next := <-h.queue:
			list = append(list, next)
		default:
			return list
		}
	}
	return list
}

// sendToHall sends updates to another hall: to all boxes of a small one, or to one box that forwards them.
func (h *hints) sendToHall(hall []netip.AddrPort, rows []hintRow) {
	if len(hall) <= maxDirectBoxes {
		h.sendTo(hall, willowwick.SameRegion, hintFinal, rows)
		return
	}
	h.sendTo([]netip.AddrPort{h.chooseRelay(hall)}, willowwick.SameRegion, hintForward, rows)
}

// chooseRelay returns a random box that is known to be alive, or any box if there is none.
func (h *hints) chooseRelay(hall []netip.AddrPort) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	start := rand.IntN(len(hall))
	for i := range hall {
		if box := hall[(start+i)%len(hall)]; now.Sub(h.lastReceivedAt[box]) < hintSenderTTL {
			return box
		}
	}
	return hall[start]
}

func (h *hints) sendTo(boxes []netip.AddrPort, distance willowwick.Distance, kind hintKind, rows []hintRow) {
	if len(boxes) == 0 || len(rows) == 0 {
		return
	}
	data, err := h.encode(kind, rows)
	if err != nil {
		slog.Error("encoding prefill updates failed", "error", err)
		return
	}
	for _, box := range boxes {
		if _, err := h.conn.WriteTo(data, net.UDPAddrFromAddrPort(box)); err != nil {
			slog.Debug("sending prefill updates failed", "address", box, "error", err)
			continue
		}
		h.router.metrics.countHintSent()
		h.router.metrics.distances.countGossip(distance, len(data))
	}
}

// receive applies the updates of other boxes until the connection is closed.
func (h *hints) receive() {
	data := make([]byte, hintReadBytes)
	for {
		n, from, err := h.conn.ReadFrom(data)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Debug("reading a datagram failed", "error", err)
			continue
		}
		kind, rows, err := h.decode(data[:n])
		if err != nil {
			slog.Debug("invalid datagram", "from", from, "error", err)
			continue
		}
		h.apply(kind, rows, clock.Now())
		h.recordSender(from)
	}
}

func (h *hints) recordSender(from net.Addr) {
	if udp, ok := from.(*net.UDPAddr); ok {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lastReceivedAt[udp.AddrPort()] = clock.Now()
	}
}

func (h *hints) apply(kind hintKind, rows []hintRow, now time.Time) {
	for _, row := range rows {
		update := route.PrefillUpdate{Endpoint: row.Endpoint, Added: time.Duration(row.Micros) * time.Microsecond, IsShift: row.IsShift}
		for _, part := range row.Parts {
			if part != 0 {
				update.Parts = append(update.Parts, part)
			}
		}
		h.router.pool.ApplyPrefillUpdate(now, update)
		switch kind {
		case hintForward:
			h.enqueue(hint{row: row, reach: reachHall})
		case hintForwardInRegion:
			h.enqueue(hint{row: row, reach: reachRegion})
		}
	}
}

// encode returns a datagram: the seal, the kind and the rows.
func (h *hints) encode(kind hintKind, rows []hintRow) ([]byte, error) {
	body := bytes.NewBuffer([]byte{byte(kind)})
	if err := binary.Write(body, binary.BigEndian, rows); err != nil {
		return nil, errors.Wrap(err, "rows")
	}
	return append(h.seal(body.Bytes()), body.Bytes()...), nil
}

// decode verifies and parses a datagram.
func (h *hints) decode(data []byte) (hintKind, []hintRow, error) {
	if len(data) <= hintSealBytes {
		return 0, nil, errors.Errorf("datagram of %d bytes is too short", len(data))
	}
	seal, body := data[:hintSealBytes], data[hintSealBytes:]
	if !hmac.Equal(seal, h.seal(body)) {
		return 0, nil, errors.New("datagram has an invalid seal")
	}
	kind, body := hintKind(body[0]), body[1:]
	size := binary.Size(hintRow{})
	if len(body)%size != 0 {
		return 0, nil, errors.Errorf("%d bytes are not a multiple of the row size", len(body))
	}
	rows := make([]hintRow, len(body)/size)
	if err := binary.Read(bytes.NewReader(body), binary.BigEndian, rows); err != nil {
		return 0, nil, errors.Wrap(err, "rows")
	}
	return kind, rows, nil
}

// seal returns the truncated HMAC that proves that a datagram comes from a box of the fleet.
func (h *hints) seal(body []byte) []byte {
	mac := hmac.New(sha256.New, h.router.settings.Key)
	mac.Write(body)
	return mac.Sum(nil)[:hintSealBytes]
}
