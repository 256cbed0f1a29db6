package usage

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// messageFormat is the first byte of each message.
	messageFormat = 1
	// maxMessageItems bounds the names, starts and counts of a message: far above those of the largest fleet.
	maxMessageItems = 1 << 20
	hashBytes       = 8
)

// Flags of a message and of an update.
const (
	flagHub = 1 << iota
	flagTells
	flagNamed
	flagState
	flagEnded
)

type (
	// message is what one box tells another.
	//
	// All numbers are varints, hashes have 8 bytes; names are sent once and referred to by their index, times and windows
	// are relative to the time of the message.
	message struct {
		sender          originKey
		at              time.Time
		isHub           bool
		collectingSince time.Time // zero if the sender is no hub
		confirms        originKey // the start of the receiver that the sender was told by; 0 if none
		confirmed       revision
		written         willowwick.UsageWindow
		acknowledged    willowwick.UsageWindow
		tells           bool // false if the message has no updates because the receiver needs none
		from, to        revision
		origins         []originUpdate
	}

	// originUpdate is what changed of one start of a box.
	originUpdate struct {
		key      originKey
		isNamed  bool // has box, hall and since
		hasState bool // has until and ended
		ended    bool
		box      willowwick.BoxID
		hall     willowwick.HallID
		since    time.Time
		until    time.Time
		rows     []countRow
	}

	// encoder builds a message: its names go before what refers to them.
	encoder struct {
		data  []byte
		names []string
		index map[string]int
	}

	// decoder reads a message; after the first error it returns zeros.
	decoder struct {
		data  []byte
		names []string
		err   error
	}
)

func (m *message) encode(settings Settings) []byte {
	e := &encoder{index: map[string]int{}}
	base := settings.WindowAt(m.at)
	for i := range m.origins {
		e.addUpdate(&m.origins[i], m.at, base)
	}
	head := &encoder{data: []byte{messageFormat, flagOf(m.isHub, flagHub) | flagOf(m.tells, flagTells)}}
	head.addHash(m.sender)
	head.addUint(uint64(m.at.UnixMilli()))
	head.addInt(int64(base - m.written))
	head.addInt(int64(base - m.acknowledged))
	if m.isHub {
		head.addAge(m.at, m.collectingSince)
	}
	head.addHash(m.confirms)
	head.addUint(uint64(m.confirmed))
	if !m.tells {
		return head.data
	}
	head.addUint(uint64(m.from))
	head.addUint(uint64(m.to - m.from))
	head.addUint(uint64(len(e.names)))
	for _, name := range e.names {
		head.addUint(uint64(len(name)))
		head.data = append(head.data, name...)
	}
	head.addUint(uint64(len(m.origins)))
	return append(head.data, e.data...)
}

func (e *encoder) addUpdate(u *originUpdate, at time.Time, base willowwick.UsageWindow) {
	e.addHash(u.key)
	e.data = append(e.data, flagOf(u.isNamed, flagNamed)|flagOf(u.hasState, flagState)|flagOf(u.ended, flagEnded))
	if u.isNamed {
		e.addName(string(u.box))
		e.addName(string(u.hall))
		e.addAge(at, u.since)
	}
	if u.hasState {
		e.addAge(at, u.until)
	}
	e.addUint(uint64(len(u.rows)))
	for _, row := range u.rows {
		e.addInt(int64(base - row.window))
		e.addName(string(row.account))
		e.addUint(uint64(row.requests))
	}
}

func flagOf(isSet bool, flag byte) byte {
	if isSet {
		return flag
	}
	return 0
}

func (e *encoder) addHash(key originKey) {
	e.data = binary.BigEndian.AppendUint64(e.data, uint64(key))
}

func (e *encoder) addUint(value uint64) {
	e.data = binary.AppendUvarint(e.data, value)
}

func (e *encoder) addInt(value int64) {
	e.data = binary.AppendVarint(e.data, value)
}

// addAge adds a time by its age in milliseconds.
func (e *encoder) addAge(at, moment time.Time) {
	e.addInt(at.UnixMilli() - moment.UnixMilli())
}

func (e *encoder) addName(name string) {
	at, known := e.index[name]
	if !known {
		at = len(e.names)
		e.index[name] = at
		e.names = append(e.names, name)
	}
	e.addUint(uint64(at))
}

func decodeMessage(data []byte, settings Settings) (message, error) {
	d := &decoder{data: data}
	if d.byte() != messageFormat {
		d.fail()
	}
	flags := d.byte()
	m := message{isHub: flags&flagHub != 0, tells: flags&flagTells != 0, sender: d.hash(), at: time.UnixMilli(int64(d.uint()))}
	base := settings.WindowAt(m.at)
	m.written, m.acknowledged = base-willowwick.UsageWindow(d.int()), base-willowwick.UsageWindow(d.int())
	if m.isHub {
		m.collectingSince = d.moment(m.at)
	}
	m.confirms, m.confirmed = d.hash(), revision(d.uint())
	if !m.tells {
		return m, d.err
	}
	m.from = revision(d.uint())
	m.to = m.from + revision(d.uint())
	for range d.length() {
		d.names = append(d.names, string(d.bytes(d.length())))
	}
	for range d.length() {
		m.origins = append(m.origins, d.update(m.at, base))
	}
	return m, d.err
}

func (d *decoder) update(at time.Time, base willowwick.UsageWindow) originUpdate {
	u := originUpdate{key: d.hash()}
	flags := d.byte()
	u.isNamed, u.hasState, u.ended = flags&flagNamed != 0, flags&flagState != 0, flags&flagEnded != 0
	if u.isNamed {
		u.box, u.hall, u.since = willowwick.BoxID(d.name()), willowwick.HallID(d.name()), d.moment(at)
	}
	if u.hasState {
		u.until = d.moment(at)
	}
	for range d.length() {
		u.rows = append(u.rows, countRow{base - willowwick.UsageWindow(d.int()), willowwick.AccountID(d.name()), int(d.uint())})
	}
	return u
}

// fail ends the decoding: nothing that follows is read.
func (d *decoder) fail() {
	d.data = nil
	if d.err == nil {
		d.err = errors.New("a message of usage counts is malformed")
	}
}

func (d *decoder) bytes(length int) []byte {
	if length > len(d.data) {
		d.fail()
		return make([]byte, min(length, hashBytes))
	}
	taken := d.data[:length]
	d.data = d.data[length:]
	return taken
}

func (d *decoder) byte() byte {
	return d.bytes(1)[0]
}

func (d *decoder) hash() originKey {
	return originKey(binary.BigEndian.Uint64(d.bytes(hashBytes)))
}

func (d *decoder) uint() uint64 {
	value, size := binary.Uvarint(d.data)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[size:]
	return value
}

func (d *decoder) int() int64 {
	value, size := binary.Varint(d.data)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[size:]
	return value
}

// length reads a number of items or bytes that follow; each has at least one byte.
func (d *decoder) length() int {
	value := d.uint()
	if value > min(maxMessageItems, uint64(len(d.data))) {
		d.fail()
		return 0
	}
	return int(value)
}

func (d *decoder) moment(at time.Time) time.Time {
	return at.Add(-time.Duration(d.int()) * time.Millisecond)
}

func (d *decoder) name() string {
	at := d.uint()
	if at >= uint64(len(d.names)) {
		d.fail()
		return ""
	}
	return d.names[at]
}
