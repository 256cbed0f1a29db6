package willowwick

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDistanceFollowsTheRegionsOfTheSettings(t *testing.T) {
	topology := Topology{Hall: "a", Regions: map[HallID]RegionID{"a": "north", "b": "north", "c": "south"}}
	for hall, distance := range map[HallID]Distance{"a": SameHall, "b": SameRegion, "c": OtherRegion, "unknown": SameRegion} {
		assert.Equal(t, distance, topology.Distance(hall), hall)
	}
	assert.True(t, topology.HasRegions())
}

func TestWithoutRegionsAllHallsAreOfOne(t *testing.T) {
	for _, regions := range []map[HallID]RegionID{nil, {"a": "north", "b": "north"}, {"b": "north", "c": "south"}} {
		topology := Topology{Hall: "a", Regions: regions}
		assert.False(t, topology.HasRegions())
		assert.Equal(t, SameRegion, topology.Distance("b"))
	}
}

// A hall whose region is unknown may lie in a forbidden one.
func TestAHallOfUnknownRegionLiesInNoAllowedRegion(t *testing.T) {
	topology := Topology{Hall: "a", Regions: map[HallID]RegionID{"a": "north", "c": "south"}}
	assert.True(t, topology.IsIn("c", []RegionID{"east", "south"}))
	assert.False(t, topology.IsIn("a", []RegionID{"south"}))
	assert.False(t, topology.IsIn("unknown", []RegionID{"north", "south"}))
	assert.True(t, topology.IsIn("unknown", nil))
}
