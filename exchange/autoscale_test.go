package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/autoscale"
	"github.com/willowwick/willowwick/clock"
)

type (
	// fakeDuties holds the duties while holds is set, and records and answers the calls.
	fakeDuties struct {
		willowwick.DutyHolder
		willowwick.DutyAPI
		holds    bool
		err      error
		orders   []willowwick.RunnerOrder
		subjects []willowwick.DutySubject
	}
)

func (f *fakeDuties) Holds(time.Time) bool { return f.holds }

func (f *fakeDuties) Call(ctx context.Context, subject willowwick.DutySubject, call willowwick.DutyCall) error {
	f.subjects = append(f.subjects, subject)
	return call(ctx, "box", 1)
}

func (f *fakeDuties) OrderRunners(_ context.Context, _ willowwick.BoxID, _ willowwick.FencingToken, order willowwick.RunnerOrder) error {
	f.orders = append(f.orders, order)
	return f.err
}

// scaledSite returns a site of a fleet with a duty, whose service may be scaled, with 20 ordinary runners in its hall.
func scaledSite(t *testing.T, duty willowwick.DutyID) *site {
	var endpoints []willowwick.Endpoint
	for i := range 20 {
		endpoints = append(endpoints, willowwick.Endpoint{
			ID: willowwick.EndpointID(rune('a' + i)), Hall: "hall-a", Address: "127.0.0.1:1", Service: "work", Release: "v1", Slots: 8,
		})
	}
	table := testTable(1, streamRoute())
	for i := range table.Services {
		if table.Services[i].Name == "work" {
			table.Services[i].Autoscaling = &willowwick.Autoscaling{
				Min: 1, Max: 40, BootTime: time.Second, SpotPrice: 0.2, HallPrices: map[willowwick.HallID]float64{"hall-a": 1},
			}
		}
	}
	settings := testSettings()
	settings.Duties.Assigned, settings.RunnerUtilisation = []willowwick.DutyID{duty}, autoscale.DefaultUtilisation
	return startSite(t, newTestControl(table, endpoints...), settings)
}

func TestTheHolderOrdersRunners(t *testing.T) {
	s := scaledSite(t, willowwick.DutyScale)
	x := s.daemon.router
	duties := &fakeDuties{holds: true}
	a := newAutoscaler(x, duties, duties)
	a.runOnce(context.Background(), clock.Now())
	require.Len(t, duties.orders, 2)
	assert.Equal(t, []willowwick.DutySubject{"scale/work/hall-a", "scale/work/hall-a"}, duties.subjects, "both kinds share a subject")
	assert.True(t, duties.orders[0].Spot)
	assert.False(t, duties.orders[1].Spot)
	assert.Less(t, duties.orders[0].Runners+duties.orders[1].Runners, 20)
}

// The platform accepts no order: nothing is taken away in exchange for what didn't come.
func TestNoRunnersAreTakenAwayAfterARejectedOrder(t *testing.T) {
	s := scaledSite(t, willowwick.DutyScale)
	duties := &fakeDuties{holds: true, err: willowwick.ErrNoCapacity}
	newAutoscaler(s.daemon.router, duties, duties).runOnce(context.Background(), clock.Now())
	require.Len(t, duties.orders, 1)
	assert.True(t, duties.orders[0].Spot)
}

func TestABoxThatLosesTheDutiesForgetsItsOrders(t *testing.T) {
	s := scaledSite(t, willowwick.DutyScale)
	duties := &fakeDuties{holds: true, err: willowwick.ErrNotHolder}
	a := newAutoscaler(s.daemon.router, duties, duties)
	a.work(context.Background(), clock.Now())
	require.Len(t, a.scalers, 1)
	duties.holds = false
	a.work(context.Background(), clock.Now())
	assert.Empty(t, a.scalers)
	assert.Len(t, duties.orders, 1, "none on a box that doesn't hold the duties")
}

func TestAFleetWithoutTheDutyReportsNoDemand(t *testing.T) {
	with, without := scaledSite(t, willowwick.DutyScale).daemon.router, scaledSite(t, willowwick.DutyUsage).daemon.router
	assert.Len(t, with.peers.ownReport().Demand, 1)
	assert.Empty(t, without.peers.ownReport().Demand)
}

// A box that is no longer heard was as busy as it reported last.
func TestTheDemandOfSilentBoxesIsKeptApart(t *testing.T) {
	live := Report{Boxes: 1, Demand: []DemandRow{{Service: "work", Running: 5, Waiting: 1}}}
	silent := Report{Boxes: 1, Demand: []DemandRow{{Service: "work", Running: 3, Waiting: 2, Silent: 1}}}
	sum := live.add(live, true).add(silent, false)
	assert.Equal(t, []DemandRow{{Service: "work", Running: 10, Waiting: 2, Silent: 6}}, sum.Demand)
}

func TestRunnersAreCountedByHallKindAndState(t *testing.T) {
	s := scaledSite(t, willowwick.DutyScale)
	x := s.daemon.router
	now := clock.Now()
	x.pool.Update([]willowwick.Endpoint{
		{ID: "ready", Hall: "hall-a", Service: "work", Release: "v1", Slots: 8},
		{ID: "cold", Hall: "hall-a", Service: "work", Release: "v1", Slots: 8, ColdUntil: now.Add(2 * time.Second)},
		{ID: "leaving", Hall: "hall-a", Service: "work", Release: "v1", Slots: 8, Spot: true, Leaving: true},
		{ID: "spot", Hall: "hall-b", Service: "work", Release: "v1", Slots: 8, Spot: true},
		{ID: "other", Hall: "hall-b", Service: "another", Release: "v2", Slots: 8},
	})
	view := x.autoscaleView(now, &x.autoscaledServices()[0])
	require.Len(t, view.Halls, 2)
	assert.Equal(t, autoscale.Runners{Ready: 1, Cold: 1}, view.Halls[0].Ordinary)
	assert.Equal(t, autoscale.Runners{Draining: 1}, view.Halls[0].Spot)
	assert.Equal(t, autoscale.Runners{Ready: 1}, view.Halls[1].Spot)
	assert.Equal(t, 2*time.Second, view.ColdTime)
	assert.False(t, view.IsRolling)
}

// The platform stops the old release's runners soon after the end of a roll-out. Until the list shows it, runners that are
// ordered are of the old release.
func TestRunnersOfARetiredReleaseCountWhileTheyAreListed(t *testing.T) {
	s := scaledSite(t, willowwick.DutyScale)
	x := s.daemon.router
	now := clock.Now()
	x.releases.applyOrder(willowwick.ReleaseOrder{Service: "work", Target: "v2", Period: time.Minute, At: 7}, 0, now)
	x.pool.Update([]willowwick.Endpoint{
		{ID: "old", Hall: "hall-a", Service: "work", Release: "v1", Slots: 8, Spot: true},
		{ID: "new", Hall: "hall-a", Service: "work", Release: "v2", Slots: 8},
	})
	service := x.autoscaledServices()[0]
	assert.True(t, x.autoscaleView(now, &service).IsRolling)
	x.releases.applyStatus(willowwick.ReleaseStatus{Service: "work", Target: "v2", State: willowwick.ReleaseCompleted}, true, "test")
	view := x.autoscaleView(now, &service)
	assert.Equal(t, autoscale.Runners{Ready: 1}, view.Halls[0].Spot)
	assert.True(t, view.IsRolling, "nothing is ordered away while two releases are listed")
	x.pool.Update([]willowwick.Endpoint{{ID: "new", Hall: "hall-a", Service: "work", Release: "v2", Slots: 8}})
	assert.False(t, x.autoscaleView(now, &service).IsRolling)
}
