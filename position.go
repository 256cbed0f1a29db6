package willowwick

import (
	"fmt"
	"log/slog"
)

type (
	// Era counts how often a store was restored from a backup, which may lack records that the store had acknowledged, so
	// that it assigns their offsets again.
	Era uint64
	// Position is a position in a topic of the platform's store: an offset within an era.
	//
	// Positions compare by era first, so a record read in a later era supersedes all those of earlier ones; offsets alone
	// can't be compared between eras. The zero position comes before all others.
	Position uint64
)

const (
	// offsetBits is the number of bits for the offset, enough for 1000 records a second for 30 years. The rest is the era.
	offsetBits = 40
	offsetMask = 1<<offsetBits - 1
)

// NewPosition returns the position of an offset in an era. Stores that report no era are in era 0, where the position equals
// the offset.
func NewPosition(era Era, offset Offset) Position {
	return Position(era)<<offsetBits | Position(offset)&offsetMask
}

// Era returns the era of the position.
func (p Position) Era() Era {
	return Era(p >> offsetBits)
}

// Offset returns the offset of the position within its era.
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
