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
	// hintPause is how long a box collects readings before it tells its hall, for each box that it tells: the boxes of a
	// hall of 65 then get at most a thousand datagrams a second together from each of them.
	hintPause = time.Millisecond
	// hintPauseLeast is the least of it: the time of a datagram on its way is a fraction of it, a prompt takes many.
	hintPauseLeast = 5 * time.Millisecond
	// hintRows bounds the readings of one datagram, so that it fits into a packet with room to spare.
	hintRows = 48
	// hintQueue bounds the readings that wait to be told; what is more is not told.
	hintQueue = 256
	// hintBytes is above the size of the largest datagram.
	hintBytes = 2048
	// hintSealBytes is the length of the seal before the rows: enough that none is guessed in a box's life.
	hintSealBytes = 12
	// hintParts bounds the parts of a prompt that are told of: shared ones are few, and those named last matter most.
	hintParts = 2
	// directMost is the size up to which all boxes of another hall are told directly; of a larger one, one is told, and
	// tells the others: bytes between halls cost more than those within.
	directMost = 3
	// rowsHeard is how many readings a second a box hears of all others together: at 17 bytes each, two thirds of the 30 KB
	// a second that a box may spend on control. Each box tells its part of them, the long ones first.
	rowsHeard = 1200
	// rowsAtOnce is how many seconds' part of them a box may tell at once, and rowsAtOnceLeast the least of it.
	rowsAtOnce      = 2
	rowsAtOnceLeast = 16
	// shortReading is what is told only while half of a box's part is left.
	shortReading = 100 * time.Millisecond
	// tellerFresh is how long a box that told of readings counts as alive: boxes that serve tell some each second.
	tellerFresh = 2 * time.Second
)

type (
	// hints tells the other boxes what this one sends to endpoints, and hears it of them.
	//
	// Each box knows only its own requests at once, but an endpoint reads prompts one after the other, whoever sent them.
	// What the others send makes forecasts of the first event good enough to choose by. A datagram that is lost costs a worse
	// choice and nothing else.
	hints struct {
		router *Router
		conn   net.PacketConn
		queue  chan hint

		mu       sync.Mutex
		tellers  map[netip.AddrPort]time.Time // when each box last told of readings
		rowsLeft float64                      // readings that may be told at rowsAt
		rowsAt   time.Time
	}

	// hint is a reading that waits to be told.
	hint struct {
		row     hintRow
		isHeard bool // another hall told of it: it goes to the own hall alone
	}

	// hintRow is one reading on the wire; names are cut to half of their hashes.
	hintRow struct {
		Endpoint uint32
		Micros   int32 // how long it reads, or by how much later than forecast all of it is read
		IsShift  bool  // it is the latter
		Parts    [hintParts]route.PartName
	}

	// hintKind is the first byte of a datagram.
	hintKind uint8
)

const (
	// hintKeep is for the box alone that gets it.
	hintKeep hintKind = iota
	// hintPass is to be told to the other boxes of the hall, too.
	hintPass
)

func newHints(x *Router, conn net.PacketConn) *hints {
	return &hints{router: x, conn: conn, queue: make(chan hint, hintQueue), tellers: map[netip.AddrPort]time.Time{}}
}

// tell passes a reading on to the other boxes, if there is one; it never waits.
func (h *hints) tell(reading route.Reading, isReading bool) {
	if h.conn == nil || !isReading {
		return
	}
	if !h.mayTell(reading.Length, h.router.peers.fleetSize(), clock.Now()) {
		h.router.metrics.countHintDropped()
		return
	}
	row := hintRow{
		Endpoint: reading.Endpoint, IsShift: reading.IsShift,
		Micros: int32(min(max(reading.Length.Microseconds(), math.MinInt32), math.MaxInt32)),
	}
	copy(row.Parts[:], reading.Parts[max(len(reading.Parts)-hintParts, 0):])
	h.enqueue(hint{row: row})
}

// mayTell takes from this box's part of the readings that all boxes tell.
func (h *hints) mayTell(length time.Duration, boxes int, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rate := rowsHeard / float64(max(boxes, 1))
	most := max(rowsAtOnce*rate, rowsAtOnceLeast)
	if h.rowsAt.IsZero() {
		h.rowsLeft = most
	}
	h.rowsLeft = min(h.rowsLeft+rate*now.Sub(h.rowsAt).Seconds(), most)
	h.rowsAt = now
	if h.rowsLeft < 1 || length.Abs() < shortReading && h.rowsLeft < most/2 {
		return false
	}
	h.rowsLeft--
	return true
}

func (h *hints) enqueue(waiting hint) {
	select {
	case h.queue <- waiting:
	default:
		h.router.metrics.countHintDropped()
	}
}

// send tells what was collected until the context ends.
func (h *hints) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-h.queue:
			near, far := h.router.peers.hintRecipients(clock.Now())
			sleep(ctx, max(time.Duration(len(near))*hintPause, hintPauseLeast))
			own, heard := h.collect(first)
			h.sendTo(near, hintKeep, append(heard, own...))
			for _, hall := range far {
				h.sendAcross(hall, own)
			}
		}
	}
}

// collect adds what waits to the first reading.
func (h *hints) collect(first hint) (own, heard []hintRow) {
	next, found := first, true
	for found && len(own)+len(heard) < hintRows {
		if next.isHeard {
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

// sendAcross tells the boxes of another hall: all of a small one, and of a larger one a box that tells the others.
func (h *hints) sendAcross(hall []netip.AddrPort, rows []hintRow) {
	if len(hall) <= directMost {
		h.sendTo(hall, hintKeep, rows)
		return
	}
	h.sendTo([]netip.AddrPort{h.relayOf(hall)}, hintPass, rows)
}

// relayOf chooses one of the boxes that are known to live, or any where none is.
func (h *hints) relayOf(hall []netip.AddrPort) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	start := rand.IntN(len(hall))
	for i := range hall {
		if box := hall[(start+i)%len(hall)]; now.Sub(h.tellers[box]) < tellerFresh {
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
		slog.Error("readings could not be encoded", "error", err)
		return
	}
	for _, box := range boxes {
		if _, err := h.conn.WriteTo(data, net.UDPAddrFromAddrPort(box)); err != nil {
			slog.Debug("readings were not told", "address", box, "error", err)
			continue
		}
		h.router.metrics.countHintSent()
	}
}

// receive takes what other boxes tell until the connection is closed.
func (h *hints) receive() {
	data := make([]byte, hintBytes)
	for {
		n, from, err := h.conn.ReadFrom(data)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Debug("datagram of a box could not be read", "error", err)
			continue
		}
		kind, rows, err := h.decode(data[:n])
		if err != nil {
			slog.Debug("datagram is not a box's", "from", from, "error", err)
			continue
		}
		h.take(kind, rows, clock.Now())
		h.heardFrom(from)
	}
}

func (h *hints) heardFrom(from net.Addr) {
	if udp, ok := from.(*net.UDPAddr); ok {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.tellers[udp.AddrPort()] = clock.Now()
	}
}

func (h *hints) take(kind hintKind, rows []hintRow, now time.Time) {
	for _, row := range rows {
		reading := route.Reading{Endpoint: row.Endpoint, Length: time.Duration(row.Micros) * time.Microsecond, IsShift: row.IsShift}
		for _, part := range row.Parts {
			if part != 0 {
				reading.Parts = append(reading.Parts, part)
			}
		}
		h.router.pool.NoteReading(now, reading)
		if kind == hintPass {
			h.enqueue(hint{row: row, isHeard: true})
		}
	}
}

// encode writes the seal, the kind and the rows.
func (h *hints) encode(kind hintKind, rows []hintRow) ([]byte, error) {
	body := bytes.NewBuffer([]byte{byte(kind)})
	if err := binary.Write(body, binary.BigEndian, rows); err != nil {
		return nil, errors.Wrap(err, "rows")
	}
	return append(h.seal(body.Bytes()), body.Bytes()...), nil
}

// decode reads a datagram whose seal is the fleet's.
func (h *hints) decode(data []byte) (hintKind, []hintRow, error) {
	if len(data) <= hintSealBytes {
		return 0, nil, errors.Errorf("%d bytes are too few", len(data))
	}
	seal, body := data[:hintSealBytes], data[hintSealBytes:]
	if !hmac.Equal(seal, h.seal(body)) {
		return 0, nil, errors.New("the seal does not fit")
	}
	kind, body := hintKind(body[0]), body[1:]
	size := binary.Size(hintRow{})
	if len(body)%size != 0 {
		return 0, nil, errors.Errorf("%d bytes are no whole rows", len(body))
	}
	rows := make([]hintRow, len(body)/size)
	if err := binary.Read(bytes.NewReader(body), binary.BigEndian, rows); err != nil {
		return 0, nil, errors.Wrap(err, "rows")
	}
	return kind, rows, nil
}

// seal shows that a datagram comes from a box of the fleet.
func (h *hints) seal(body []byte) []byte {
	mac := hmac.New(sha256.New, h.router.settings.Key)
	mac.Write(body)
	return mac.Sum(nil)[:hintSealBytes]
}
