package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	// noticeHeard is how long after its caller has an answer that says that the endpoint leaves a box may still be about to send it
	// requests: what answers say holds at once, and the daemons share the machine with many others.
	noticeHeard = 500 * time.Millisecond
	// restGrace is how long after a 503 with rest requests of the box may still arrive, and restSlack how many may later.
	restGrace, restSlack = 500 * time.Millisecond, 2
	// noticeLength is the least length of the faults.
	noticeLength = 8 * time.Second
)

// rests are what endpoints ask for, in seconds.
var rests = []string{"0.3", "1", "2.5", "3", "8"}

type (
	// boxLife is one life of a box.
	boxLife struct {
		box  *soakBox
		life int
	}

	// heardArrival is a request that came to an endpoint, with the caller's side of it and the life of the box that sent it.
	heardArrival struct {
		at      time.Time
		asked   *soakRequest
		from    boxLife
		leaving bool
		rest    time.Duration
	}
)

// TestSoakOfNotices lets endpoints say in their answers that they leave, or ask for rest, beside faults of boxes, the store and
// connections; their entries say throughout that they are ready.
func TestSoakOfNotices(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		site := newSoakSite(t, *soakBoxes, hallsOf(seed), soakRunners)
		plan := newNoticePlan(site, seed, max(*soakLength, noticeLength))
		// Endpoints that take nothing make requests wait and fail as broken ones do.
		defer plan.endpoints.begin()()
		playSoak(site, plan, seed, site.drawAny, checkNotices)
	})
}

// newNoticePlan draws the events of such a soak.
func newNoticePlan(site *soakSite, seed uint64, length time.Duration) *faultPlan {
	a := &faultPlan{site: site, random: rand.New(rand.NewPCG(seed, seed+6)), length: length}
	kinds := []func(time.Duration){
		a.kill, a.terminate, a.freeze, a.harmStoreLink, a.storeAway, a.reconfigure, a.loseBoxConns, a.loseStoreConns, a.storeForgets,
		a.loseEndpointConns,
	}
	for at := 500 * time.Millisecond; at < length; at += time.Duration(300+a.random.IntN(1500)) * time.Millisecond {
		kinds[a.random.IntN(len(kinds))](at)
	}
	for _, runner := range site.allRunners() {
		at := time.Duration(a.random.Int64N(int64(length / 2)))
		switch {
		case runner.id == "llm-0" || runner.id == "app-0":
			a.askForRest(at, runner, "0.3") // others may leave, and rest for long
		case a.random.IntN(2) == 0:
			a.add(at, runner.id+" says that it leaves", func() {
				site.addRunner(runner.id+"-new", runner.service, runner.release)
				runner.SayLeaving()
			})
		default:
			a.askForRest(at, runner, rests[a.random.IntN(len(rests))])
			a.askForRest(at+length/3, runner, rests[a.random.IntN(len(rests))])
		}
	}
	slices.SortStableFunc(a.events, func(x, y event) int { return int(x.at - y.at) })
	return a
}

// askForRest lets an endpoint turn all requests away for a while.
func (a *faultPlan) askForRest(at time.Duration, runner *soakRunner, seconds string) {
	lasting := a.lasting()
	a.add(at, fmt.Sprintf("%s asks for %s s of rest, %s long", runner.id, seconds, lasting), func() {
		runner.AskForRest(seconds)
		time.Sleep(lasting)
		runner.AskForRest("")
	})
}

// checkNotices: a box sends nothing to an endpoint that told it that it leaves, or that it wants rest, whatever its state; a new life
// or a freeze of the box is an excuse.
func checkNotices(j *judge, requests []*soakRequest) {
	byID := map[string]*soakRequest{}
	for _, a := range requests {
		byID[a.id] = a
	}
	for _, runner := range j.site.allRunners() {
		arrivals := map[boxLife][]heardArrival{}
		for _, arrival := range runner.Arrivals() {
			a := byID[arrival.Request]
			if a == nil {
				continue // judged as a run that nobody asked for
			}
			from := boxLife{j.site.boxes[a.box], a.incarnation}
			seconds, _ := strconv.ParseFloat(arrival.Rest, 64)
			arrivals[from] = append(arrivals[from], heardArrival{arrival.At, a, from, arrival.Leaving, time.Duration(seconds * float64(time.Second))})
		}
		told, rested := 0, 0
		for _, ofBox := range arrivals {
			told += j.checkSaidLeaving(runner, ofBox)
			rested += j.checkRest(runner, ofBox)
		}
		j.site.t.Logf("%s told %d boxes that it leaves, and asked %d times for rest", runner.id, told, rested)
	}
}

// checkSaidLeaving looks at what came from one life of a box, and counts the box if it was told.
func (j *judge) checkSaidLeaving(runner *soakRunner, arrivals []heardArrival) (told int) {
	var toldAt time.Time
	for _, arrival := range arrivals {
		if arrival.leaving && arrival.asked.isWhole && (toldAt.IsZero() || arrival.asked.endedAt.Before(toldAt)) {
			toldAt = arrival.asked.endedAt
		}
	}
	if toldAt.IsZero() {
		return 0
	}
	for _, arrival := range arrivals {
		isLate := arrival.asked.sentAt.After(toldAt.Add(noticeHeard))
		if isLate && !arrival.from.box.freezes.touches(toldAt, arrival.at) {
			j.tell(arrival.asked, fmt.Sprintf("reached %s %v after that had told the box that it leaves", runner.id, arrival.at.Sub(toldAt)))
		}
	}
	return 1
}

// checkRest looks at what came from one life of a box, and counts how often the box was asked for rest.
func (j *judge) checkRest(runner *soakRunner, arrivals []heardArrival) (asked int) {
	for _, answer := range arrivals {
		if answer.rest == 0 {
			continue
		}
		asked++
		until, late := answer.at.Add(answer.rest), 0
		for _, arrival := range arrivals {
			if arrival.at.After(answer.at.Add(restGrace)) && arrival.at.Before(until) {
				late++
			}
		}
		if late > restSlack && !answer.from.box.freezes.touches(answer.at, until) {
			j.tell(answer.asked, fmt.Sprintf("%s asked the box for %v of rest, and got %d requests of it in that time", runner.id, answer.rest, late))
		}
	}
	return asked
}

// touches reports whether any of the spans was between two moments.
func (s *spans) touches(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(one span) bool { return one.overlaps(from, to) })
}
