package wire

import (
	"io"

	"github.com/pkg/errors"
)

// MaxHeadBytes is the most that is read of the head of an answer: twice what servers usually allow.
const MaxHeadBytes = 64 << 10

const (
	// headCopies is how often the bytes of a head are held: a line that isn't complete is copied when it grows.
	headCopies = 2
	// headLineBytes is what a line of a head holds beside its bytes: an entry of a map, at its least load, and the value's slice.
	headLineBytes = 128
)

// errLongHead is returned when the head of an answer doesn't end within MaxHeadBytes.
var errLongHead = errors.New("the head of the answer exceeds the maximum size")

// headLimiter bounds what is read of a connection while a head is expected, whose sender decides when it ends, and checks it: nothing is
// read from the first byte on that HTTP doesn't allow.
type headLimiter struct {
	io.Reader
	hold   func(bytes int) error // records what the head holds
	isHead bool
	left   int
	lines  headLines
}

// begin makes the bound hold from the next read on; its lines are checked and counted from the given bytes on, which were read before.
func (l *headLimiter) begin(buffered []byte) error {
	l.isHead, l.left, l.lines = true, MaxHeadBytes, headLines{begin: l.lines.begin[:0]}
	if l.lines.add(buffered); l.lines.broken != nil {
		return l.lines.broken
	}
	if size := l.size(); size > UncountedBytes {
		return l.hold(size)
	}
	return nil
}

// size returns what the head holds.
func (l *headLimiter) size() int {
	return headCopies*(MaxHeadBytes-l.left) + headLineBytes*l.lines.count
}

// end ends the bound.
func (l *headLimiter) end() {
	l.isHead = false
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isHead {
		return l.Reader.Read(p)
	}
	switch {
	case l.lines.broken != nil:
		return 0, l.lines.broken
	case l.left <= 0:
		return 0, errLongHead
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	good := l.lines.add(p[:n])
	if holdErr := l.hold(l.size()); holdErr != nil {
		return 0, holdErr
	}
	switch {
	case l.lines.broken == nil:
		return n, err
	case good == 0:
		return 0, l.lines.broken
	default:
		return good, nil
	}
}
