package willowwick

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

// Distance returns how far a hall is from this box's hall.
func (t Topology) Distance(hall HallID) Distance {
	switch {
	case hall == t.Hall:
		return SameHall
	case t.Region(hall) == t.OwnRegion():
		return SameRegion
	default:
		return OtherRegion
	}
}
