package exchange

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// streamReadBytes is the initial size of the buffer of a stream.
	streamReadBytes = 8 << 10
	// maxEventBytes is the size from which an incomplete event is too long.
	maxEventBytes = 1 << 20
)

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	dataField = []byte("data:")

	errCallerLeft      = errors.New("the caller disconnected")
	errIncompleteEvent = errors.New("the stream ended with an incomplete event")
	errLongEvent       = errors.New("an event exceeds the maximum size")
)

// readEvents reads a stream to its end and passes on its complete events as they arrive; hold is called before more of it is held,
// and pass reports whether the caller is still there.
func readEvents(read func([]byte) (int, error), hold func(bytes int) error, pass func(events []byte) bool) error {
	var buffer []byte
	for {
		var err error
		if buffer, err = grow(buffer, maxEventBytes, hold); err != nil {
			return err
		}
		n, err := read(buffer[len(buffer):cap(buffer)])
		unseen := max(len(buffer)-len(eventEnd)+1, 0)
		buffer = buffer[:len(buffer)+n]
		if end := bytes.LastIndex(buffer[unseen:], eventEnd); end >= 0 {
			whole := unseen + end + len(eventEnd)
			if !pass(buffer[:whole]) {
				return errCallerLeft
			}
			buffer = keepRest(buffer, whole)
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(buffer)) > 0:
			return errIncompleteEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(buffer) == maxEventBytes:
			return errLongEvent
		}
	}
}

// readWhole reads an answer to its end, or to maxBufferedBody; hold is called before more of it is held.
func readWhole(read func([]byte) (int, error), hold func(bytes int) error) ([]byte, error) {
	var buffer []byte
	for len(buffer) < maxBufferedBody {
		var err error
		if buffer, err = grow(buffer, maxBufferedBody, hold); err != nil {
			return nil, err
		}
		n, err := read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

// grow ensures room for a read of at least half of streamReadBytes, as far as the size limit allows; hold is called before.
func grow(buffer []byte, limit int, hold func(bytes int) error) ([]byte, error) {
	if cap(buffer)-len(buffer) >= streamReadBytes/2 || cap(buffer) == limit {
		return buffer, nil
	}
	size := min(max(streamReadBytes, 2*cap(buffer)), limit)
	if err := hold(size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), buffer...), nil
}

// keepRest drops the bytes before an index from the buffer, and the buffer too if it was for a long event.
func keepRest(buffer []byte, from int) []byte {
	rest := buffer[from:]
	if cap(buffer) > streamReadBytes && len(rest) == 0 {
		return nil
	}
	return buffer[:copy(buffer, rest)]
}

// newestEventID returns the ID of the last event that has one, and reports whether others with data follow it. An empty ID, which takes the
// one before it back, is none.
func newestEventID(events []byte) (id string, hasUnnamed bool) {
	at := lastField(events, idField)
	if at < 0 {
		return "", lastField(events, dataField) >= 0
	}
	line, rest := events[at+len(idField):], []byte(nil)
	if end := bytes.Index(line, eventEnd); end >= 0 {
		line, rest = line[:end], line[end:]
	}
	line, _, _ = bytes.Cut(line, []byte("\n"))
	id = string(bytes.TrimSpace(line))
	return id, id == "" || lastField(rest, dataField) >= 0
}

// lastField returns the index of the last line that begins with the field, or -1.
func lastField(events, field []byte) int {
	at := bytes.LastIndex(events, field)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], field)
	}
	return at
}
