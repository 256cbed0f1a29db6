package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

// newRegionHubs returns the hubs of two halls of one region and of one of another region, which have told each other
// what they knew.
func newRegionHubs(t *testing.T) (f *testFleet, first, second, far *testBox) {
	f = &testFleet{
		now: time.Unix(1_700_000_000, 0), truth: map[willowwick.UsageWindow]int{},
		regions: map[willowwick.HallID]willowwick.RegionID{"hall-0": "near", "hall-1": "near", "hall-2": "far"},
	}
	f.window = testSettings.WindowAt(f.now)
	for i := range 3 {
		b := &testBox{hall: willowwick.HallID(fmt.Sprint("hall-", i)), name: willowwick.BoxID(fmt.Sprint("box-", i)), address: fmt.Sprint("10.0.0.", i)}
		f.start(b)
		b.SetHub(true, f.now)
		f.boxes = append(f.boxes, b)
	}
	first, second, far = f.boxes[0], f.boxes[1], f.boxes[2]
	for range 3 {
		f.exchange(t, first, second)
		f.exchange(t, first, far)
		f.exchange(t, second, far)
	}
	return f, first, second, far
}

// A hub that relays knew already, by another one, what it has to pass on.
func TestANewRelayPassesOnWhatTheFormerOneDidNot(t *testing.T) {
	f, first, second, far := newRegionHubs(t)
	f.count(far, 4)
	f.exchange(t, first, far)
	for range 3 {
		f.exchange(t, first, second) // first knows, and doesn't relay
	}
	assert.Zero(t, second.Counts(f.window)["a"])
	first.SetRelay(true)
	for range 2 {
		f.exchange(t, first, second)
	}
	assert.Equal(t, 4, second.Counts(f.window)["a"])
}

func TestARelayTellsEachChangeOnceAndNothingBack(t *testing.T) {
	f, first, second, far := newRegionHubs(t)
	first.SetRelay(true)
	f.count(far, 4)
	f.count(second, 2)
	for range 3 {
		f.exchange(t, first, far)
		f.exchange(t, first, second)
	}
	for _, b := range f.boxes {
		assert.Equal(t, 6, b.Counts(f.window)["a"], b.name)
	}
	for _, pair := range [][2]*testBox{{first, second}, {first, far}, {second, first}, {far, first}} {
		m, err := decodeMessage(pair[0].Message(pair[1].address, f.now), testSettings)
		assert.NoError(t, err)
		assert.Empty(t, m.origins, "from %s to %s", pair[0].name, pair[1].name)
	}
	f.count(far, 1)
	f.exchange(t, first, far)
	m, err := decodeMessage(first.Message(far.address, f.now), testSettings)
	assert.NoError(t, err)
	assert.Empty(t, m.origins, "nothing goes back")
	m, err = decodeMessage(first.Message(second.address, f.now), testSettings)
	assert.NoError(t, err)
	assert.Len(t, m.origins, 1)
}
