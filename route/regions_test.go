package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/willowwick/willowwick"
)

const (
	// regionRate is the number of requests per second of a region on a calm day, at 8 endpoints.
	regionRate = 80
	// baseTime is how long an endpoint takes for a request that runs alone; others add delayPerRequest each.
	baseTime = 200 * time.Millisecond
)

type (
	// regionLoad plays requests of two regions, each with a picker that knows all loads, without network.
	regionLoad struct {
		endpoints []willowwick.Candidate
		ends      [][]time.Time // of the requests that run at each endpoint
		pickers   map[willowwick.RegionID]*HallFirst
		now       time.Time
	}

	// loadResult is what became of the requests of a region.
	loadResult struct {
		requests, left int // left the region
		longest        time.Duration
	}
)

// newRegionLoad returns two regions of two halls with four endpoints each.
func newRegionLoad() *regionLoad {
	l := &regionLoad{pickers: map[willowwick.RegionID]*HallFirst{}, now: time.Unix(0, 0)}
	regions := map[willowwick.HallID]willowwick.RegionID{"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
	for _, hall := range []string{"n1", "n2", "s1", "s2"} {
		for i := range 4 {
			c := candidate(hall, 0)
			c.Endpoint = willowwick.EndpointID(fmt.Sprint(hall, i))
			l.endpoints = append(l.endpoints, c)
		}
	}
	l.ends = make([][]time.Time, len(l.endpoints))
	l.pickers["north"] = NewHallFirst(willowwick.Topology{Hall: "n1", Regions: regions}, 1)
	l.pickers["south"] = NewHallFirst(willowwick.Topology{Hall: "s1", Regions: regions}, 2)
	return l
}

// lose takes the endpoints of a hall away.
func (l *regionLoad) lose(hall willowwick.HallID) {
	for i := range l.endpoints {
		if l.endpoints[i].Hall == hall {
			l.endpoints[i].IsAvailable = false
		}
	}
}

// play lets requests arrive in a region at a constant rate, beside those of the other region.
func (l *regionLoad) play(duration time.Duration, north, south int) (result loadResult) {
	due := map[willowwick.RegionID]float64{}
	for until := l.now.Add(duration); l.now.Before(until); l.now = l.now.Add(time.Millisecond) {
		l.finish()
		for i, region := range []willowwick.RegionID{"north", "south"} {
			rate := []int{north, south}[i]
			for due[region] += float64(rate) / 1000; due[region] >= 1; due[region]-- {
				took, left := l.send(region)
				if region != "north" {
					continue
				}
				result.requests++
				result.longest = max(result.longest, took)
				if left {
					result.left++
				}
			}
		}
	}
	return result
}

// finish ends the requests whose time is over.
func (l *regionLoad) finish() {
	for i, ends := range l.ends {
		var rest []time.Time
		for _, at := range ends {
			if at.After(l.now) {
				rest = append(rest, at)
			}
		}
		l.ends[i], l.endpoints[i].Load.Running = rest, len(rest)
	}
}

// send lets a request of a region run, and returns how long it takes and whether it left the region.
func (l *regionLoad) send(region willowwick.RegionID) (took time.Duration, left bool) {
	picker := l.pickers[region]
	at := picker.Pick(l.now, fixedSet(l.endpoints), 0)
	took = baseTime + time.Duration(len(l.ends[at]))*delayPerRequest
	l.ends[at] = append(l.ends[at], l.now.Add(took))
	l.endpoints[at].Load.Running++
	return took, picker.topology.Distance(l.endpoints[at].Hall) == willowwick.OtherRegion
}

// The loads under which a request may be worth the other region; requests should leave theirs only under them, and then as
// few as needed.
func TestRequestsLeaveTheirRegionOnlyUnderLoad(t *testing.T) {
	const played = 5 * time.Second
	for name, test := range map[string]struct {
		lost         []willowwick.HallID
		north, south int
		least, most  float64 // share of the requests that leave
		longest      time.Duration
	}{
		"calm":                        {nil, regionRate, regionRate, 0, 0, 600 * time.Millisecond},
		"a burst that fits":           {nil, regionRate * 3 / 2, regionRate, 0, 0, 800 * time.Millisecond},
		"clients moved here":          {nil, 2 * regionRate, 0, 0.02, 0.1, 900 * time.Millisecond},
		"a burst in one region":       {nil, 3 * regionRate, regionRate, 0.2, 0.3, 1300 * time.Millisecond},
		"a hall has lost its runners": {[]willowwick.HallID{"n1"}, regionRate, regionRate, 0.05, 0.2, 700 * time.Millisecond},
		"so has the region":           {[]willowwick.HallID{"n1", "n2"}, regionRate, regionRate, 1, 1, 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRegionLoad()
			for _, hall := range test.lost {
				l.lose(hall)
			}
			got := l.play(played, test.north, test.south)
			share := float64(got.left) / float64(got.requests)
			t.Logf("left %.3f, longest %s", share, got.longest)
			assert.GreaterOrEqual(t, share, test.least)
			assert.LessOrEqual(t, share, test.most)
			assert.LessOrEqual(t, got.longest, test.longest)
		})
	}
}
