package route

import (
	"math"
	"sync"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// wilsonZ is the normal quantile of the one-sided 95% confidence bound.
	wilsonZ = 1.645
	// ratingWindow is the number of ratings after which older ones decay.
	ratingWindow      = 400
	durationSmoothing = 0.1
	priorPassRate     = 0.6
	priorStrength     = 4
	exploreEvery      = 50
	minRatings        = 20
	// minAnswersForSlack is how many answers an account must have received before its average counts.
	minAnswersForSlack = 40
	// maxTrustDeficit is how far below the target the pass rate of a trusted answer may lie.
	maxTrustDeficit = 0.2
	// slackMargin keeps the average above the target despite the rater's own errors.
	slackMargin = 0.02
)

type (
	// Subject identifies the answers that share a pass rate.
	Subject struct {
		Account willowwick.AccountID
		Class   willowwick.Class
		Version willowwick.VersionID
	}

	// passCount is a decaying count of ratings.
	passCount struct {
		rated  float64
		passed float64
	}

	// Learner learns how often the answers of a version pass, and how long they take.
	Learner struct {
		mu        sync.Mutex
		counts    map[Subject]*passCount
		seconds   map[Subject]float64 // smoothed duration of a whole answer
		skipped   map[Subject]int
		delivered map[willowwick.AccountID]*passCount // expected quality of the answers delivered
	}

	// StageChoice holds what decides whether a request tries a cheap stage of a cascade.
	StageChoice struct {
		Subject       Subject
		Cheap         willowwick.MicroUnits // expected cost of the cheap answer
		Strong        willowwick.MicroUnits // expected cost of the stronger stage's answer
		StrongSubject Subject
		HasJudge      bool // a judge checks the cheap answer
		Quality       willowwick.Score
		Now           time.Time
		Deadline      time.Time
		CanExplore    bool
	}

	// Verdict is what to do with a cheap stage.
	Verdict int
)

// Verdicts on a cheap stage.
const (
	// SkipStage goes straight to the stronger model.
	SkipStage Verdict = iota
	// TryStage asks the cheap model and the judge.
	TryStage
	// TrustStage asks the cheap model and uses its answer unjudged.
	TrustStage
)

// NewLearner returns a learner without data.
func NewLearner() *Learner {
	return &Learner{
		counts:    map[Subject]*passCount{},
		seconds:   map[Subject]float64{},
		skipped:   map[Subject]int{},
		delivered: map[willowwick.AccountID]*passCount{},
	}
}

// Rated records whether an answer passed.
func (l *Learner) Rated(subject Subject, passed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(subject).add(passed)
	l.count(subject.forAllAccounts()).add(passed)
}

// RecordDuration records how long a whole answer took.
func (l *Learner) RecordDuration(subject Subject, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.seconds[subject.forAllAccounts()]
	if !known {
		before = duration.Seconds()
	}
	l.seconds[subject.forAllAccounts()] = before + durationSmoothing*(duration.Seconds()-before)
}

// PassRate returns the expected pass rate of a subject and its lower confidence bound.
func (l *Learner) PassRate(subject Subject) (mean, lower float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passRate(subject)
}

// Choose decides between a cheap stage and the stronger one, by deadline, pass rate and cost.
func (l *Learner) Choose(c StageChoice) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	needed := l.seconds[c.Subject.forAllAccounts()] + l.seconds[c.StrongSubject.forAllAccounts()]
	if c.Now.Add(time.Duration(needed * float64(time.Second))).After(c.Deadline) {
		return SkipStage
	}
	mean, lower := l.passRate(c.Subject)
	if lower >= float64(c.Quality) || l.hasSlack(c, lower) {
		// The judge would only add delay.
		return TrustStage
	}
	if !c.HasJudge {
		return SkipStage
	}
	if float64(c.Cheap) < mean*float64(c.Strong) {
		return TryStage
	}
	l.skipped[c.Subject]++
	if c.CanExplore && l.skipped[c.Subject]%exploreEvery == 0 {
		return TryStage
	}
	return SkipStage
}

// hasSlack reports whether the quality of the account's answers is so far above the target that an unjudged answer of
// this subject keeps it there. Subjects with a pass rate far below the target are never trusted.
func (l *Learner) hasSlack(c StageChoice, lower float64) bool {
	delivered := l.delivered[c.Subject.Account]
	if delivered == nil || delivered.rated < minAnswersForSlack || lower < float64(c.Quality)-maxTrustDeficit {
		return false
	}
	after := (delivered.passed + lower) / (delivered.rated + 1)
	return after >= float64(c.Quality)+slackMargin
}

// RecordQuality records the expected quality of an answer that was delivered to the account.
func (l *Learner) RecordQuality(account willowwick.AccountID, quality float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delivered := l.delivered[account]
	if delivered == nil {
		delivered = &passCount{}
		l.delivered[account] = delivered
	}
	delivered.decay()
	delivered.rated++
	delivered.passed += quality
}

// ExpectedPassRate returns the pass rate of a subject; known is false with fewer than minRatings ratings.
func (l *Learner) ExpectedPassRate(subject Subject) (mean float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if count := l.counts[subject.forAllAccounts()]; count == nil || count.rated < minRatings {
		return 0, false
	}
	mean, _ = l.passRate(subject)
	return mean, true
}

func (l *Learner) passRate(subject Subject) (mean, lower float64) {
	count := l.counts[subject]
	if count == nil || count.rated < minRatings {
		if all := l.counts[subject.forAllAccounts()]; all != nil {
			count = all
		}
	}
	if count == nil {
		return priorPassRate, 0
	}
	mean = (count.passed + priorPassRate*priorStrength) / (count.rated + priorStrength)
	return mean, wilsonLower(count.passed, count.rated)
}

func (l *Learner) count(subject Subject) *passCount {
	count := l.counts[subject]
	if count == nil {
		count = &passCount{}
		l.counts[subject] = count
	}
	return count
}

func (c *passCount) add(passed bool) {
	c.decay()
	c.rated++
	if passed {
		c.passed++
	}
}

// decay makes room for one more rating once the window is full.
func (c *passCount) decay() {
	if c.rated >= ratingWindow {
		c.rated *= 1 - 1.0/ratingWindow
		c.passed *= 1 - 1.0/ratingWindow
	}
}

// forAllAccounts returns the subject of the same class and version over all client accounts.
func (s Subject) forAllAccounts() Subject {
	return Subject{Class: s.Class, Version: s.Version}
}

// wilsonLower returns the lower bound of the Wilson score interval.
func wilsonLower(passed, rated float64) float64 {
	if rated == 0 {
		return 0
	}
	share := passed / rated
	z2 := wilsonZ * wilsonZ
	centre := share + z2/(2*rated)
	spread := wilsonZ * math.Sqrt(share*(1-share)/rated+z2/(4*rated*rated))
	return (centre - spread) / (1 + z2/rated)
}
