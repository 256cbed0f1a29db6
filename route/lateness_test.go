package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFewAnswersExceedTheLateness(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var l Lateness
	assert.Equal(t, initialLateness, l.Value())
	draw := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(50*time.Millisecond)) }
	for range 2000 {
		l.Learn(draw())
	}
	beyond := 0
	for range 10000 {
		late := draw()
		if late > l.Value() {
			beyond++
		}
		l.Learn(late)
	}
	assert.InDelta(t, 1-latenessQuantile, float64(beyond)/10000, 0.01)
}

func TestLatenessHasAMinimum(t *testing.T) {
	var l Lateness
	for range 5000 {
		l.Learn(-time.Second)
	}
	assert.Equal(t, minLateness, l.Value())
}
