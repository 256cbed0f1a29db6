package reservation

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

// Share says which slots a granter may hand out. While boxes are cut off from each other there is one on each side; each slot belongs
// to one box, and with it to one side.
type Share struct {
	boxes      []string // all that are known, in order
	isFollowed map[string]bool
}

// NewShare returns the share of a granter, by the addresses of all boxes and of those that follow it.
func NewShare(all, following []string) Share {
	if len(all) == len(following) {
		return Share{}
	}
	share := Share{boxes: slices.Sorted(slices.Values(all)), isFollowed: make(map[string]bool, len(following))}
	for _, box := range following {
		share.isFollowed[box] = true
	}
	return share
}

// of returns how many of the endpoint's slots belong to the share.
func (s Share) of(endpoint willowwick.EndpointID, slots int) int {
	if len(s.boxes) == 0 {
		return slots
	}
	owned := 0
	for slot := range slots {
		hash := xxhash.Sum64String(string(endpoint) + "#" + strconv.Itoa(slot))
		if s.isFollowed[s.boxes[hash%uint64(len(s.boxes))]] {
			owned++
		}
	}
	return owned
}
