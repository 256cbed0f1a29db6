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

// Flags of what follows after the updates.
const (
	flagAddress = 1 << iota
	flagGone
)

type (
	// message is what one box tells another.
	//
	// All numbers are varints, hashes have 8 bytes, times and windows are relative to the time of the message. Names of
	// accounts and origins are told once to each box, later messages refer to them by an index.
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
		accounts        []accountName
		origins         []originUpdate
	}

	// accountName tells what an index means.
	accountName struct {
		index int
		name  willowwick.AccountID
	}

	// countRow is one count of an origin.
	countRow struct {
		window   willowwick.UsageWindow
		account  int // index
		requests int
	}

	// originUpdate is what changed of one start of a box. Address and goneBy follow after all updates, where an earlier
	// release reads nothing.
	originUpdate struct {
		index    int
		isNamed  bool // has key, box, hall and since
		hasState bool // has until and ended
		ended    bool
		key      originKey
		box      willowwick.BoxID
		hall     willowwick.HallID
		since    time.Time
		until    time.Time
		address  string
		goneBy   time.Time // zero if it is not known to be gone
		rows     []countRow
	}

	encoder struct {
		data []byte
	}

	// decoder reads a message; after the first error it returns zeros.
	decoder struct {
		data []byte
		err  error
	}
)

func (m *message) encode(settings Settings) []byte {
	base := settings.WindowAt(m.at)
	e := &encoder{data: []byte{messageFormat, flagOf(m.isHub, flagHub) | flagOf(m.tells, flagTells)}}
	e.addHash(m.sender)
	e.addUint(uint64(m.at.UnixMilli()))
	e.addInt(int64(base - m.written))
	e.addInt(int64(base - m.acknowledged))
	if m.isHub {
		e.addAge(m.at, m.collectingSince)
	}
	e.addHash(m.confirms)
	e.addUint(uint64(m.confirmed))
	if !m.tells {
		return e.data
	}
	e.addUint(uint64(m.from))
	e.addUint(uint64(m.to - m.from))
	e.addUint(uint64(len(m.accounts)))
	for _, named := range m.accounts {
		e.addUint(uint64(named.index))
		e.addName(string(named.name))
	}
	e.addUint(uint64(len(m.origins)))
	for i := range m.origins {
		e.addUpdate(&m.origins[i], m.at, base)
	}
	for i := range m.origins {
		e.addPresence(&m.origins[i], i, m.at)
	}
	return e.data
}

// addPresence adds the address of an update and by when its start was gone, if it has one of them.
func (e *encoder) addPresence(u *originUpdate, position int, at time.Time) {
	flags := flagOf(u.isNamed && u.address != "", flagAddress) | flagOf(u.hasState && !u.goneBy.IsZero(), flagGone)
	if flags == 0 {
		return
	}
	e.addUint(uint64(position))
	e.data = append(e.data, flags)
	if flags&flagAddress != 0 {
		e.addName(u.address)
	}
	if flags&flagGone != 0 {
		e.addAge(at, u.goneBy)
	}
}

func (e *encoder) addUpdate(u *originUpdate, at time.Time, base willowwick.UsageWindow) {
	e.addUint(uint64(u.index))
	e.data = append(e.data, flagOf(u.isNamed, flagNamed)|flagOf(u.hasState, flagState)|flagOf(u.ended, flagEnded))
	if u.isNamed {
		e.addHash(u.key)
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
		e.addUint(uint64(row.account))
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
	e.addUint(uint64(len(name)))
	e.data = append(e.data, name...)
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
		m.accounts = append(m.accounts, accountName{int(d.uint()), willowwick.AccountID(d.name())})
	}
	for range d.length() {
		m.origins = append(m.origins, d.update(m.at, base))
	}
	for len(d.data) > 0 {
		d.presence(m.origins, m.at)
	}
	return m, d.err
}

// presence reads the address of one of the updates and by when its start was gone.
func (d *decoder) presence(updates []originUpdate, at time.Time) {
	position, flags := d.uint(), d.byte()
	if position >= uint64(len(updates)) {
		d.fail()
		return
	}
	u := &updates[position]
	if flags&flagAddress != 0 {
		u.address = d.name()
	}
	if flags&flagGone != 0 {
		u.goneBy = d.moment(at)
	}
}

func (d *decoder) update(at time.Time, base willowwick.UsageWindow) originUpdate {
	u := originUpdate{index: int(d.uint())}
	flags := d.byte()
	u.isNamed, u.hasState, u.ended = flags&flagNamed != 0, flags&flagState != 0, flags&flagEnded != 0
	if u.isNamed {
		u.key = d.hash()
		u.box, u.hall, u.since = willowwick.BoxID(d.name()), willowwick.HallID(d.name()), d.moment(at)
	}
	if u.hasState {
		u.until = d.moment(at)
	}
	for range d.length() {
		u.rows = append(u.rows, countRow{base - willowwick.UsageWindow(d.int()), int(d.uint()), int(d.uint())})
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
	d.skipVarint(size)
	return value
}

func (d *decoder) int() int64 {
	value, size := binary.Varint(d.data)
	d.skipVarint(size)
	return value
}

// skipVarint skips a varint of a size; without one, the size is 0 or less and the value 0.
func (d *decoder) skipVarint(size int) {
	if size <= 0 {
		d.fail()
		return
	}
	d.data = d.data[size:]
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
	return string(d.bytes(d.length()))
}
