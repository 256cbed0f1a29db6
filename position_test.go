package willowwick

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestPositionsCompareByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (Era, Offset) {
			return Era(rapid.Uint64Max(1<<24-1).Draw(t, name+" era")), Offset(rapid.Uint64Max(offsetMask).Draw(t, name+" offset"))
		}
		era, offset := draw("first")
		otherEra, otherOffset := draw("second")
		first, second := NewPosition(era, offset), NewPosition(otherEra, otherOffset)
		assert.Equal(t, era, first.Era())
		assert.Equal(t, offset, first.Offset())
		isBefore := era < otherEra || era == otherEra && offset < otherOffset
		assert.Equal(t, isBefore, first < second)
	})
}

func TestPositionInEraZeroIsItsOffset(t *testing.T) {
	assert.Equal(t, Position(17), NewPosition(0, 17))
	assert.Equal(t, "3/17", NewPosition(3, 17).String())
}
