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
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
)

const (
	// hintPausePerBox is how long a box collects readings before it sends them to its hall, for each box that
	// receives them: in a hall of 65 boxes, each box then sends at most a thousand datagrams a second to all others
	// together.
	hintPausePerBox = time.Millisecond
	// minHintPause is the least time for which readings are collected: a datagram takes a fraction of it to arrive,
	// and reading a prompt takes many times as long.
	minHintPause = 5 * time.Millisecond
	// maxHintRows limits the readings of one datagram, so that it fits into a packet with room to spare.
	maxHintRows = 48
	// hintQueueSize limits the readings that wait to be sent; more are dropped.
	hintQueueSize = 256
	// hintReadBytes is the size of the receive buffer, above that of the largest datagram.
	hintReadBytes = 2048
	// hintSealBytes is the length of the seal (a truncated HMAC) before the rows: long enough not to be guessed
	// while a box runs.
	hintSealBytes = 12
	// maxHintParts limits the prompt parts in a reading: shared ones are few, and the last ones matter most.
	maxHintParts = 2
	// maxDirectBoxes is the largest size of another hall whose boxes are all sent readings directly. In a larger
	// hall one box gets them and forwards them, since bytes between halls cost more than those within.
	maxDirectBoxes = 3
	// maxRowsPerSecond is how many readings a second a box receives from all others together: at 17 bytes each, two
	// thirds of the 30 KB a second that a box may spend on control traffic. Each box sends an equal share of them,
	// long readings first.
	maxRowsPerSecond = 1200
	// rowBurstSeconds is the burst of a box's share, in seconds of its rate, and minRowBurst the least burst in
	// readings.
	rowBurstSeconds = 2
	minRowBurst     = 16
	// shortReading is the duration below which readings are sent only while at least half of the burst is left.
	shortReading = 100 * time.Millisecond
	// hintSenderTTL is how long a box that sent readings counts as alive: boxes that serve requests send some each
	// second.
	hintSenderTTL = 2 * time.Second
)

type (
	// hints exchanges with other boxes what each sends to endpoints.
	//
	// A box knows only its own requests at once, but an endpoint reads prompts one after another, whoever sent
	// them. With the readings of other boxes, forecasts of the first event are good enough to choose endpoints by.
	// A lost datagram costs a worse choice and nothing else.
	hints struct {
		router *Router
		conn   net.PacketConn
		queue  chan hint

		mu          sync.Mutex
		lastHeard   map[netip.AddrPort]time.Time // when each box last sent readings
		rowTokens   float64                      // readings that may be sent at rowTokensAt
		rowTokensAt time.Time
	}

	// hint is a reading that waits to be sent.
	hint struct {
		row         hintRow
		isForwarded bool // received from another hall; sent within the own hall only
	}

	// hintRow is one reading on the wire; names are truncated to half of their hashes.
	hintRow struct {
		Endpoint uint32
		Micros   int32 // duration of the reading, or the delay of all readings against the forecast
		IsShift  bool  // Micros is a delay
		Parts    [maxHintParts]route.PartHash
	}

	// hintKind is the first byte of a datagram.
	hintKind uint8
)

const (
	// hintFinal marks readings for the receiving box only.
	hintFinal hintKind = iota
	// hintForward marks readings that the receiver forwards to the other boxes of its hall.
	hintForward
)

func newHints(x *Router, conn net.PacketConn) *hints {
	return &hints{router: x, conn: conn, queue: make(chan hint, hintQueueSize), lastHeard: map[netip.AddrPort]time.Time{}}
}

// publish queues a reading for the other boxes if isReading is set; it never blocks.
func (h *hints) publish(reading route.PrefillUpdate, isReading bool) {
	if h.conn == nil || !isReading {
		return
	}
	if !h.takeRowToken(reading.Added, h.router.peers.fleetSize(), clock.Now()) {
		h.router.metrics.countHintDropped()
		return
	}
	row := hintRow{
		Endpoint: reading.Endpoint, IsShift: reading.IsShift,
		Micros: int32(min(max(reading.Added.Microseconds(), math.MinInt32), math.MaxInt32)),
	}
	copy(row.Parts[:], reading.Parts[max(len(reading.Parts)-maxHintParts, 0):])
	h.enqueue(hint{row: row})
}

// takeRowToken takes a token from this box's share of the readings that all boxes send, and reports whether there
// was one.
func (h *hints) takeRowToken(length time.Duration, boxes int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rate := maxRowsPerSecond / float64(max(boxes, 1))
	most := max(rowBurstSeconds*rate, minRowBurst)
	if h.rowTokensAt.IsZero() {
		h.rowTokens = most
	}
	h.rowTokens = min(h.rowTokens+rate*now.Sub(h.rowTokensAt).Seconds(), most)
	h.rowTokensAt = now
	if h.rowTokens < 1 || length.Abs() < shortReading && h.rowTokens < most/2 {
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

// send sends the queued readings until the context ends.
func (h *hints) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-h.queue:
			near, far := h.router.peers.hintRecipients(clock.Now())
			sleep(ctx, max(time.Duration(len(near))*hintPausePerBox, minHintPause))
			own, heard := h.collect(first)
			h.sendTo(near, hintFinal, append(heard, own...))
			for _, hall := range far {
				h.sendToHall(hall, own)
			}
		}
	}
}

// collect returns the first reading and those queued behind it, up to maxHintRows.
func (h *hints) collect(first hint) (own, heard []hintRow) {
	next, found := first, true
	for found && len(own)+len(heard) < maxHintRows {
		if next.isForwarded {
			heard = append(heard, next.row)
		} else {
			own = append(own, next.row)
		}
		select {
		case next = <-h.queue:
		default:
			found = false
		}
	}
	return own, heard
}

// sendToHall sends readings to another hall: to all boxes of a small one, or to one box that forwards them.
func (h *hints) sendToHall(hall []netip.AddrPort, rows []hintRow) {
	if len(hall) <= maxDirectBoxes {
		h.sendTo(hall, hintFinal, rows)
		return
	}
	h.sendTo([]netip.AddrPort{h.chooseRelay(hall)}, hintForward, rows)
}

// chooseRelay returns a random box that is known to be alive, or any box if there is none.
func (h *hints) chooseRelay(hall []netip.AddrPort) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	start := rand.IntN(len(hall))
	for i := range hall {
		if box := hall[(start+i)%len(hall)]; now.Sub(h.lastHeard[box]) < hintSenderTTL {
			return box
		}
	}
	return hall[start]
}

func (h *hints) sendTo(boxes []netip.AddrPort, kind hintKind, rows []hintRow) {
	if len(boxes) == 0 || len(rows) == 0 {
		return
	}
	data, err := h.encode(kind, rows)
	if err != nil {
		slog.Error("encode readings failed", "error", err)
		return
	}
	for _, box := range boxes {
		if _, err := h.conn.WriteTo(data, net.UDPAddrFromAddrPort(box)); err != nil {
			slog.Debug("send readings failed", "address", box, "error", err)
			continue
		}
		h.router.metrics.countHintSent()
	}
}

// receive applies the readings of other boxes until the connection is closed.
func (h *hints) receive() {
	data := make([]byte, hintReadBytes)
	for {
		n, from, err := h.conn.ReadFrom(data)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Debug("read of a datagram failed", "error", err)
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
		h.lastHeard[udp.AddrPort()] = clock.Now()
	}
}

func (h *hints) apply(kind hintKind, rows []hintRow, now time.Time) {
	for _, row := range rows {
		reading := route.PrefillUpdate{Endpoint: row.Endpoint, Added: time.Duration(row.Micros) * time.Microsecond, IsShift: row.IsShift}
		for _, part := range row.Parts {
			if part != 0 {
				reading.Parts = append(reading.Parts, part)
			}
		}
		h.router.pool.ApplyPrefillUpdate(now, reading)
		if kind == hintForward {
			h.enqueue(hint{row: row, isForwarded: true})
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
