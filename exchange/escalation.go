package exchange

import (
	"net/http"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/route"
)

const (
	// crowdedRunnerRequests is the number of requests at a runner above which the required confidence falls; it is
	// lowest at twice as many. Concurrent runs slow each other down.
	crowdedRunnerRequests = 10.0
	// crowdedBacklog is the mean time endpoints need to read their queued prompts above which the required
	// confidence falls; it is lowest at twice as much. Beyond it, each reading of a prompt makes some other answer
	// late.
	crowdedBacklog = time.Second
	// fullThresholdSlack is the share of the goal that must be left after the expected answer for the full
	// confidence threshold: answers vary about twofold around the usual time.
	fullThresholdSlack = 0.5
)

// shouldEscalate reports whether the largest model is requested instead of relaying this answer.
func (s *send) shouldEscalate() bool {
	c := s.call
	if c.cascadeStage == noCascade || c.cascadeStage == len(c.route.Models)-1 || s.answer.Status != http.StatusOK || c.out.headSent {
		return false
	}
	if s.answerHead.Confidence == willowwick.NoConfidence || !c.allowsAnotherRun() {
		return false
	}
	now := clock.Now()
	if s.answerHead.Confidence >= s.requiredConfidence(now) {
		return false
	}
	if !c.router.pool.HasAvailable(now, c.service, c.allowedEndpoints()) {
		return false // with no endpoint available for the large model, this answer is better than a refusal
	}
	return s.hasTimeFor(c.route.Models[len(c.route.Models)-1], now) && s.router.takeRetryBudget(c, route.RetryEscalation, now)
}

// escalate drops this answer, so that the largest model is requested next.
func (s *send) escalate() sendResult {
	s.outcome = route.OutcomeGood
	s.observe(false)
	s.call.cascadeStage = len(s.route.Models) - 1
	s.router.crashes.recordDropped(s.dropped())
	return sendResult{kind: escalated}
}

// hasTimeFor reports whether an answer of the model, requested now, usually begins before the deadline. If not, the
// present answer is all that the caller can get.
func (s *send) hasTimeFor(model willowwick.ModelID, now time.Time) bool {
	usual, _ := s.router.releases.typicalLatency(s.route.Name, model)
	return now.Add(usual).Before(s.deadline)
}

// requiredConfidence returns the confidence below which an answer is escalated. It falls from Settings.Confidence
// to Settings.LateConfidence as the large model's answer is expected later and as the runners get crowded: an
// answer after the goal is worth less than a doubtful one in time, and a run of the large model delays many others.
func (s *send) requiredConfidence(now time.Time) int {
	settings := s.router.settings
	largest := s.route.Models[len(s.route.Models)-1]
	usual, _ := s.router.releases.typicalLatency(s.route.Name, largest)
	expected := now.Sub(s.arrived) + usual
	left := 1 - float64(expected)/float64(max(s.route.Goal, 1))
	pressure := s.router.pool.Pressure(now, s.service, s.allows)
	crowding, backlog := pressure.Requests/crowdedRunnerRequests, float64(pressure.Backlog)/float64(crowdedBacklog)
	weight := min(max(min(left/fullThresholdSlack, 2-crowding, 2-backlog), 0), 1)
	return settings.LateConfidence + int(weight*float64(settings.Confidence-settings.LateConfidence))
}
