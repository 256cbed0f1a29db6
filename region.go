package willowwick

import "slices"

// Distances between two halls, nearest first.
const (
	SameHall Distance = iota
	SameRegion
	OtherRegion
)

type (
	// RegionID names a region: halls that are near each other and share the link to other regions.
	RegionID string

	// Distance says how far apart two halls are.
	Distance int

	// Topology is a box's hall and the regions of all halls, from the box's settings.
	Topology struct {
		Hall    HallID
		Regions map[HallID]RegionID // empty if the settings name no regions
	}
)

// String implements fmt.Stringer.
func (d Distance) String() string {
	switch d {
	case SameHall:
		return "same hall"
	case SameRegion:
		return "same region"
	default:
		return "other region"
	}
}

// Region returns the region of a hall; a hall that the settings don't name counts as one of this box's region.
func (t Topology) Region(hall HallID) RegionID {
	if region, known := t.Regions[hall]; known {
		return region
	}
	return t.Regions[t.Hall]
}

// OwnRegion returns the region of this box's hall; it is empty if the settings name no regions.
func (t Topology) OwnRegion() RegionID {
	return t.Regions[t.Hall]
}

// HasRegions reports whether the settings name a region for this box's hall, and another region.
func (t Topology) HasRegions() bool {
	for _, region := range t.Regions {
		if region != t.OwnRegion() {
			return t.OwnRegion() != ""
		}
	}
	return false
}

// IsIn reports whether a hall lies in one of the given regions, or no regions are given. A hall whose region the settings
// don't name lies in none.
func (t Topology) IsIn(hall HallID, regions []RegionID) bool {
	if len(regions) == 0 {
		return true
	}
	region, known := t.Regions[hall]
	return known && slices.Contains(regions, region)
}

// Distance returns how far a hall is from this box's hall.
func (t Topology) Distance(hall HallID) Distance {
	switch {
	case hall == t.Hall:
		return SameHall
	case t.OwnRegion() == "" || t.Region(hall) == t.OwnRegion():
		return SameRegion
	default:
		return OtherRegion
	}
}
