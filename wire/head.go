package wire

import (
	"io"

	"github.com/pkg/errors"
)

// MaxHeadBytes is the most that is read of the head of an answer: twice what servers usually allow.
const MaxHeadBytes = 64 << 10

// errLongHead is returned when the head of an answer doesn't end within MaxHeadBytes.
var errLongHead = errors.New("the head of the answer exceeds the maximum size")

// headLimiter bounds what is read of a connection while a head is expected: its sender decides when it ends.
type headLimiter struct {
	io.Reader
	isHead bool
	left   int
}

// begin makes the bound hold from the next read on.
func (l *headLimiter) begin() {
	l.isHead, l.left = true, MaxHeadBytes
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
	if l.left <= 0 {
		return 0, errLongHead
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
