package willowwick

import (
	"fmt"
	"log/slog"
)

type (
	// Era counts how often a store has come back from a copy of itself, which holds less than it had acknowledged and gives offsets
	// out again.
	Era uint64
	// Position is a place on a topic of the platform's store: an offset within an era.
	//
	// Positions compare by era first, so what was read in a later era goes before all that was known of the one before; offsets
	// alone would not compare between eras. The zero position is before everything.
	Position uint64
)

const (
	// offsetBits is how many bits of a position are the offset: a thousand records a second for 30 years. The rest is the era.
	offsetBits = 40
	offsetMask = 1<<offsetBits - 1
)

// NewPosition returns the place of an offset within an era; in era 0, which stores have that tell none, it is the offset itself.
func NewPosition(era Era, offset Offset) Position {
	return Position(era)<<offsetBits | Position(offset)&offsetMask
}

// Era is the era of the store that the position belongs to.
func (p Position) Era() Era {
	return Era(p >> offsetBits)
}

// Offset is the place within its era.
func (p Position) Offset() Offset {
	return Offset(p & offsetMask)
}

// String implements fmt.Stringer.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value {
	return slog.StringValue(p.String())
}
