package autoscale

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const (
	testStep        = 400 * time.Millisecond
	testBoot        = 4 * time.Second
	testCold        = 3 * time.Second
	testSlots       = 12 // of a runner
	testUtilisation = 0.5
)

var testHalls = []willowwick.HallID{"hall-a", "hall-b", "hall-c"}

type (
	// fakePlatform executes orders as the platform does: runners appear after their boot time, and drain at once.
	fakePlatform struct {
		scaler *Scaler
		now    time.Time
		view   View
		orders []Decision
		boots  []pendingBoot
		// losesBoots makes the runners of accepted orders never appear.
		losesBoots bool
		// reply decides what becomes of an order; nil accepts all.
		reply func(order willowwick.RunnerOrder) error
	}

	pendingBoot struct {
		order willowwick.RunnerOrder
		at    time.Time
	}
)

// newFakePlatform returns a platform of three halls with the given runners of both kinds in each.
func newFakePlatform(ordinary, spot int) *fakePlatform {
	p := &fakePlatform{
		scaler: New(Settings{Utilisation: testUtilisation}), now: time.Unix(1000, 0),
		view: View{
			Service: "work", Slots: testSlots, ColdTime: testCold, HasList: true,
			Limits: willowwick.Autoscaling{
				Min: 1, Max: 94, BootTime: testBoot, SpotPrice: 0.22,
				HallPrices: map[willowwick.HallID]float64{"hall-a": 1, "hall-b": 0.8, "hall-c": 1.25},
			},
		},
	}
	for _, hall := range testHalls {
		p.view.Halls = append(p.view.Halls, Hall{ID: hall, HasCounts: true, Ordinary: Runners{Ready: ordinary}, Spot: Runners{Ready: spot}})
	}
	return p
}

// newSettledPlatform returns a platform whose demand has been the same for long enough to know its peaks.
func newSettledPlatform(t *testing.T, demand int) *fakePlatform {
	p := newFakePlatform(3, 17)
	p.setDemand(demand)
	p.run(peakWindow + 10*time.Second)
	require.InDelta(t, float64(demand)/testSlots/testUtilisation, p.present(), 6, "runners for the demand")
	p.orders = nil
	return p
}

func (p *fakePlatform) setDemand(requests int) {
	for i := range p.view.Halls {
		p.view.Halls[i].Demand.Running = requests / len(p.view.Halls)
	}
}

func (p *fakePlatform) present() int { return p.view.present() }

// run lets time pass in steps and returns the orders given.
func (p *fakePlatform) run(duration time.Duration) []Decision {
	from := len(p.orders)
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(testStep) {
		p.finishBoots()
		allAccepted := true
		for _, decision := range p.scaler.Decide(p.now, p.view) {
			if decision.IsReduction() && !allAccepted {
				break
			}
			p.orders = append(p.orders, decision)
			err := p.execute(decision.RunnerOrder)
			p.scaler.Note(p.now, decision.RunnerOrder, err)
			allAccepted = allAccepted && err == nil
		}
	}
	return p.orders[from:]
}

func (p *fakePlatform) execute(order willowwick.RunnerOrder) error {
	if p.reply != nil {
		if err := p.reply(order); err != nil {
			return err
		}
	}
	isSame := func(boot pendingBoot) bool { return boot.order.Hall == order.Hall && boot.order.Spot == order.Spot }
	if runners := p.runners(order.Hall, order.Spot); order.Runners < runners.Present() {
		runners.Ready = order.Runners
		p.boots = slices.DeleteFunc(p.boots, isSame)
	} else if !p.losesBoots {
		p.boots = append(p.boots, pendingBoot{order, p.now.Add(testBoot)})
	}
	return nil
}

func (p *fakePlatform) finishBoots() {
	for len(p.boots) > 0 && !p.now.Before(p.boots[0].at) {
		order := p.boots[0].order
		p.runners(order.Hall, order.Spot).Ready = order.Runners
		p.boots = p.boots[1:]
	}
}

func (p *fakePlatform) hall(id willowwick.HallID) *Hall {
	for i := range p.view.Halls {
		if p.view.Halls[i].ID == id {
			return &p.view.Halls[i]
		}
	}
	panic("no such hall")
}

func (p *fakePlatform) runners(id willowwick.HallID, isSpot bool) *Runners {
	if isSpot {
		return &p.hall(id).Spot
	}
	return &p.hall(id).Ordinary
}

// loseSpot makes a hall's spot runners drain, and rejects orders for more there.
func (p *fakePlatform) loseSpot(hall willowwick.HallID) {
	spot := &p.hall(hall).Spot
	*spot = Runners{Draining: spot.Present()}
	p.reject(hall)
}

func (p *fakePlatform) reject(halls ...willowwick.HallID) {
	p.reply = func(order willowwick.RunnerOrder) error {
		for _, hall := range halls {
			if order.Spot && order.Hall == hall {
				return errors.WithStack(willowwick.ErrNoCapacity)
			}
		}
		return nil
	}
}

func ordersFor(orders []Decision, hall willowwick.HallID, isSpot bool) []Decision {
	var list []Decision
	for _, order := range orders {
		if order.Hall == hall && order.Spot == isSpot {
			list = append(list, order)
		}
	}
	return list
}

// Start with too many: the platform starts 47 ordinary runners in each hall, seconds before the first request.
func TestTheFirstOrdersReplaceMostRunnersBySpotRunners(t *testing.T) {
	p := newFakePlatform(47, 0)
	first := p.run(testStep)
	require.Len(t, first, 6)
	for i, order := range first {
		assert.Equal(t, i < 3, order.Spot, "the others stay until spot runners are accepted")
		assert.Equal(t, ReasonStart, order.Reason)
	}
	p.run(7 * time.Second)
	assert.InDelta(t, initialLimitShare*3*94, p.present(), 4)
	for _, hall := range p.view.Halls {
		assert.LessOrEqual(t, hall.Ordinary.Present(), 3)
		assert.GreaterOrEqual(t, hall.Ordinary.Present(), 1)
	}
	assert.Empty(t, p.run(10*time.Second), "nothing more is known before the first request")
}

// Start with too many, but far fewer than the limits: the list is complete once it has stopped growing.
func TestTheFirstOrdersWaitForTheListWhereLimitsAreFarAway(t *testing.T) {
	p := newFakePlatform(2, 0)
	assert.Empty(t, p.run(800*time.Millisecond))
	for i := range p.view.Halls {
		p.view.Halls[i].Ordinary.Ready = 5
	}
	assert.Empty(t, p.run(testBoot+listDelay))
	p.run(2 * testBoot)
	assert.InDelta(t, initialListedShare*15, p.present(), 3)
}

// The duties change hands right after the first orders, whose spot runners are not listed yet.
func TestASecondHolderKeepsWhatTheFirstOrdered(t *testing.T) {
	p := newFakePlatform(47, 0)
	p.run(testStep)
	require.Equal(t, 6, p.present(), "two ordinary ones in each hall; the rest boots")
	p.scaler = New(Settings{Utilisation: testUtilisation})
	assert.Empty(t, p.run(14*time.Second))
	assert.GreaterOrEqual(t, p.present(), 98)
}

// Start with too many, no spot runners to be had: the ordinary ones stay.
func TestOrdinaryRunnersStayWhereNoSpotRunnersAreAccepted(t *testing.T) {
	p := newFakePlatform(47, 0)
	p.reject(testHalls...)
	p.run(3 * time.Second)
	assert.GreaterOrEqual(t, p.present(), 71)
}

// All boxes start again in the middle of a day: spot runners show that runners were ordered before.
func TestANewHolderOrdersNothingBeforeItKnowsTheDemand(t *testing.T) {
	p := newFakePlatform(3, 17)
	assert.Empty(t, p.run(20*time.Second))
	p.setDemand(60)
	assert.Empty(t, p.run(peakWindow-time.Second), "less than the window of peaks is known")
	assert.NotEmpty(t, p.run(5*time.Second))
}

// Wave: the demand swings by 27 % in 11 s. Runners are kept for its peaks.
func TestAWaveIsNotFollowedDownwards(t *testing.T) {
	p := newSettledPlatform(t, 360)
	var orders int
	for second := range 66 {
		p.setDemand(int(360 * (1 + 0.27*math.Sin(2*math.Pi*float64(second)/11))))
		for _, order := range p.run(time.Second) {
			orders++
			if second > 22 {
				assert.NotEqual(t, ReasonSaving, order.Reason, "second %d: %+v", second, order)
			}
		}
		assert.GreaterOrEqual(t, p.present()*testSlots, 457)
	}
	assert.LessOrEqual(t, orders, 9)
}

// Burst: the demand doubles within a second.
func TestABurstIsOrderedForWithinASecond(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.setDemand(720)
	orders := p.run(1200 * time.Millisecond)
	require.NotEmpty(t, orders)
	for _, order := range orders {
		assert.Equal(t, ReasonDemand, order.Reason)
	}
	p.run(6 * time.Second)
	assert.GreaterOrEqual(t, p.present(), 110)
	p.setDemand(360)
	p.run(peakWindow + 8*time.Second)
	assert.LessOrEqual(t, p.present(), 70, "after the burst")
}

// A hall's spot runners are taken away: what is missing is ordered in the others at once.
func TestLostSpotRunnersAreOrderedInOtherHalls(t *testing.T) {
	p := newSettledPlatform(t, 360)
	before := p.present()
	p.loseSpot("hall-b")
	orders := p.run(500 * time.Millisecond)
	assert.NotEmpty(t, ordersFor(orders, "hall-a", true))
	assert.NotEmpty(t, ordersFor(orders, "hall-c", true))
	assert.Empty(t, ordersFor(orders, "hall-b", true), "there are none now")
	assert.Empty(t, ordersFor(orders, "hall-a", false), "the smaller models bear a short shortage")
	p.run(5 * time.Second)
	assert.GreaterOrEqual(t, p.present(), before)
	p.hall("hall-b").Spot, p.reply = Runners{}, nil
	p.run(peakWindow + 10*time.Second)
	assert.GreaterOrEqual(t, p.hall("hall-b").Spot.Present(), 15, "they are back")
	assert.LessOrEqual(t, p.present(), before+4)
}

// A hall has no more spot runners when the demand grows: the others get those that it lacks.
func TestSpotRunnersThatAHallLacksAreOrderedInOtherHalls(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.reject("hall-b")
	p.setDemand(720)
	p.run(testBoot + 8*time.Second)
	withLack := p.present()
	p = newSettledPlatform(t, 360)
	p.setDemand(720)
	p.run(testBoot + 8*time.Second)
	assert.InDelta(t, p.present(), withLack, 4)
}

// A hall's spot runners are taken away while more of them boot there; the list shows them draining, or no more.
func TestLostSpotRunnersAreNoticedWhileOthersBoot(t *testing.T) {
	for name, left := range map[string]Runners{"draining": {Draining: 17}, "gone": {}} {
		t.Run(name, func(t *testing.T) {
			p := newSettledPlatform(t, 360)
			p.setDemand(500)
			require.NotEmpty(t, ordersFor(p.run(3*time.Second), "hall-b", true))
			p.loseSpot("hall-b")
			p.hall("hall-b").Spot = left
			orders := p.run(time.Second)
			assert.NotEmpty(t, ordersFor(orders, "hall-a", true))
			assert.NotEmpty(t, ordersFor(orders, "hall-c", true))
		})
	}
}

// No spot runners anywhere: they are asked for less and less often, and others are ordered only for what would exceed
// all slots.
func TestOrdinaryRunnersAreOrderedOnlyForWhatExceedsAllSlots(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.loseSpot("hall-b")
	p.reject(testHalls...)
	orders := p.run(9 * time.Second)
	assert.LessOrEqual(t, len(ordersFor(orders, "hall-b", true)), 4)
	for _, hall := range testHalls {
		assert.Empty(t, ordersFor(orders, hall, false), "40 of 60 runners are left, which have slots for all")
	}
	p.loseSpot("hall-a")
	p.loseSpot("hall-c")
	p.reject(testHalls...)
	p.run(8 * time.Second)
	assert.InDelta(t, 30, p.present(), 6, "ordinary runners for the demand at all slots")
}

// The demand ends: the last few requests are in one hall and move no runners there.
func TestTheLastRequestsMoveNoRunnersToTheirHall(t *testing.T) {
	p := newSettledPlatform(t, 360)
	for i := range p.view.Halls {
		p.view.Halls[i].Demand.Running = 0
	}
	p.hall("hall-a").Demand.Running = 3
	for _, order := range p.run(2 * peakWindow) {
		assert.Equal(t, ReasonSaving, order.Reason)
	}
}

// A roll-out: the platform starts as many runners of the new release beside the old ones.
func TestARollOutIsLeftAlone(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.view.IsRolling = true
	for i := range p.view.Halls {
		hall := &p.view.Halls[i]
		hall.Ordinary.Ready += hall.Ordinary.Ready + hall.Spot.Ready
	}
	p.setDemand(180)
	assert.Empty(t, p.run(peakWindow+10*time.Second))
	p.setDemand(1400)
	assert.NotEmpty(t, p.run(4*time.Second), "nearly all slots are taken")
}

// A hall's spot runners are taken away in a roll-out: the old release, which still has most of the work, gets others.
func TestSpotRunnersLostInARollOutAreOrderedInOtherHalls(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.view.IsRolling = true
	for i := range p.view.Halls {
		p.view.Halls[i].Ordinary.Ready += 20
	}
	p.loseSpot("hall-b")
	orders := p.run(time.Second)
	assert.Len(t, ordersFor(orders, "hall-a", true), 1)
	assert.Len(t, ordersFor(orders, "hall-c", true), 1)
	assert.Len(t, orders, 2)
}

// The duties change hands after a roll-out has left ordinary runners only: they are exchanged without waiting for peaks.
func TestANewHolderExchangesOrdinaryRunnersAfterARollOut(t *testing.T) {
	p := newFakePlatform(21, 0)
	p.setDemand(360)
	p.run(testBoot + testCold + 2*time.Second)
	for _, hall := range p.view.Halls {
		assert.LessOrEqual(t, hall.Ordinary.Present(), 4)
		assert.GreaterOrEqual(t, hall.Spot.Present(), 18)
	}
}

// A roll-out ends: the old release stops in all halls at once, and with it all spot runners.
func TestTheEndOfARollOutIsNoLossOfAHallsSpotRunners(t *testing.T) {
	p := newSettledPlatform(t, 360)
	for i := range p.view.Halls {
		hall := &p.view.Halls[i]
		hall.Ordinary.Ready = 20
		hall.Spot = Runners{Draining: hall.Spot.Present()}
	}
	p.run(time.Second)
	for i := range p.view.Halls {
		p.view.Halls[i].Spot = Runners{}
	}
	p.run(2 * time.Second)
	for _, order := range p.orders {
		assert.LessOrEqual(t, order.Runners, 22, "equal in all halls")
	}
	p.run(15 * time.Second)
	for _, hall := range p.view.Halls {
		assert.LessOrEqual(t, hall.Ordinary.Present(), 4)
		assert.GreaterOrEqual(t, hall.Spot.Present(), 15)
	}
}

// An evacuation: the hall's runners get no new work, and are needed again when it is revoked.
func TestAnEvacuatedHallKeepsItsRunnersAndOthersGetMore(t *testing.T) {
	p := newSettledPlatform(t, 360)
	there := p.hall("hall-b").Spot.Present()
	p.hall("hall-b").IsEvacuated = true
	orders := p.run(5 * time.Second)
	assert.Empty(t, ordersFor(orders, "hall-b", true))
	assert.Empty(t, ordersFor(orders, "hall-b", false))
	p.run(peakWindow)
	assert.Equal(t, there, p.hall("hall-b").Spot.Present())
	elsewhere := p.present() - p.hall("hall-b").Spot.Present() - p.hall("hall-b").Ordinary.Present()
	assert.GreaterOrEqual(t, float64(elsewhere), 60*(1-minIncreaseShare))
}

// An order that is undone, by a late call or by others, shows in the list.
func TestAnUndoneOrderIsGivenAgain(t *testing.T) {
	for name, listed := range map[string]int{"fewer": 2, "more": 60} {
		t.Run(name, func(t *testing.T) {
			p := newSettledPlatform(t, 360)
			wanted := p.hall("hall-a").Spot.Present()
			p.hall("hall-a").Spot.Ready = listed
			p.run(testBoot + 4*time.Second)
			assert.InDelta(t, wanted, p.hall("hall-a").Spot.Present(), 3)
		})
	}
}

// An order is executed late or never: it isn't repeated before its runners could be listed.
func TestAnOrderIsNotRepeatedWhileItsRunnersBoot(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.losesBoots = true
	p.setDemand(720)
	p.run(4 * time.Second)
	assert.Empty(t, p.run(testBoot-time.Second), "the last ones were given in the first seconds")
	assert.NotEmpty(t, p.run(listDelay+2*time.Second))
}

// Boxes that are no longer heard count as busy as they were.
func TestSilentBoxesKeepTheirRunners(t *testing.T) {
	p := newSettledPlatform(t, 360)
	for i := range p.view.Halls {
		p.view.Halls[i].Demand = Demand{Running: 40, Silent: 80}
	}
	assert.Empty(t, p.run(peakWindow+10*time.Second))
}

// The demand of a hall is unknown: nothing is ordered away.
func TestNothingIsOrderedAwayWithoutCounts(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.hall("hall-c").HasCounts, p.hall("hall-c").Demand = false, Demand{}
	assert.Empty(t, p.run(peakWindow+10*time.Second))
	for i := range p.view.Halls {
		p.view.Halls[i].HasCounts = false
	}
	p.setDemand(2000)
	assert.Empty(t, p.run(5*time.Second), "no counts at all")
}

// The store is down: the list is old, and nothing is ordered.
func TestNothingIsOrderedWithoutAList(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.view.HasList = false
	p.setDemand(1000)
	assert.Empty(t, p.run(20*time.Second))
}

// The API gives no answer or rejects calls: it is asked again after pauses that grow.
func TestAnUnansweredOrderIsGivenAgainAfterAPause(t *testing.T) {
	for _, failure := range []error{willowwick.ErrThrottled, errors.New("no answer")} {
		t.Run(fmt.Sprint(failure), func(t *testing.T) {
			p := newSettledPlatform(t, 360)
			p.reply = func(willowwick.RunnerOrder) error { return failure }
			p.setDemand(720)
			assert.LessOrEqual(t, len(p.run(8*time.Second)), 15)
			p.reply = nil
			p.run(maxPause + testBoot)
			assert.GreaterOrEqual(t, p.present(), 110)
		})
	}
}

// Limits of a hall hold for both kinds together.
func TestOrdersKeepTheLimits(t *testing.T) {
	p := newSettledPlatform(t, 360)
	p.view.Limits.Max = 25
	p.setDemand(3000)
	p.run(12 * time.Second)
	for _, hall := range p.view.Halls {
		assert.Equal(t, 25, hall.Ordinary.Present()+hall.Spot.Present())
		assert.LessOrEqual(t, hall.Ordinary.Present(), 4, "a limit makes no spot runners dearer")
	}
}

// One hall only: the loss of its spot runners leaves ordinary ones for most of the demand at all slots.
func TestASingleHallKeepsEnoughOrdinaryRunners(t *testing.T) {
	p := newFakePlatform(10, 50)
	p.view.Halls = p.view.Halls[:1]
	p.setDemand(360)
	p.run(peakWindow + 15*time.Second)
	assert.InDelta(t, minShareAfterLoss*30, p.hall("hall-a").Ordinary.Present(), 3)
}

// Three halls are enough for the loss of one's spot runners, also at the default utilisation.
func TestThreeHallsNeedFewOrdinaryRunners(t *testing.T) {
	p := newFakePlatform(3, 17)
	p.scaler = New(Settings{Utilisation: DefaultUtilisation})
	p.setDemand(360)
	p.run(peakWindow + 15*time.Second)
	for _, hall := range p.view.Halls {
		assert.LessOrEqual(t, hall.Ordinary.Present(), 2)
	}
}
