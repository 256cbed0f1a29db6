package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// poisonPart is the part of prompts that crashes each endpoint that begins an answer on it.
	poisonPart = "dead"
	// partQuarantineAfter is the number of crashes after which requests with the part must not be sent any more.
	partQuarantineAfter = 5
	// partVariants is the number of parts that take turns in the second place of a prompt.
	partVariants = 4
	// rackSize is the number of endpoints that crash at once for a reason of their own.
	rackSize = 3
)

// TestSoakPoisonPart sends requests that have one part of their prompts in common, which crashes the endpoints that run them,
// beside sound ones with the other parts, during faults of boxes and of the store and while racks fail. That no sound request is
// refused afterwards is checked with the recovery.
func TestSoakPoisonPart(t *testing.T) {
	failRack := func(p *faultPlan) { p.failRack(*soakLength / 2) }
	check := func(p *poisonCrashes, c *checker, requests []*soakRequest) {
		p.checkLateRuns(c, requests, kindPoisonPart, partQuarantineAfter)
	}
	forEachSeed(t, func(t *testing.T, seed uint64) { playPoison(t, seed, (*soakSite).drawWithPoisonPart, failRack, check) })
}

// soundParts returns shared parts of a prompt that crash nothing.
func soundParts(number int) string {
	return fmt.Sprintf("f0:800,a%d:200", number%partVariants)
}

// drawWithPoisonPart draws a request with the part once in requestsPerPoison times and any other request otherwise.
func (s *soakSite) drawWithPoisonPart(box int, random *rand.Rand) *soakRequest {
	if random.IntN(requestsPerPoison) == 0 {
		parts := soundParts(random.IntN(partVariants)) + "," + poisonPart + ":100"
		return &soakRequest{kind: kindPoisonPart, box: box, key: siteKey, timeout: 2 * time.Second, parts: parts}
	}
	r := s.drawAny(box, random)
	if r.kind == kindStream {
		r.parts = soundParts(random.IntN(partVariants))
	}
	return r
}

// failRack crashes some endpoints at once, which have been added for it.
func (p *faultPlan) failRack(at time.Duration) {
	p.add(0, "endpoints of a rack are added", func() {
		for n := range rackSize {
			p.site.addRunner(fmt.Sprint("rack-", n), "llm", "rack")
		}
	})
	p.add(at, "the rack fails", func() {
		for range rackSize {
			go p.site.claimRunner("llm", "rack").crash(p.site.store)
		}
	})
	slices.SortStableFunc(p.events, func(x, y event) int { return int(x.at - y.at) })
}
