package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// prefixCacheTTL is how long an endpoint is taken to keep what it has read of a prompt: runners with room for some twenty
	// long prompts turn their memory over in about this time.
	prefixCacheTTL = 30 * time.Second
	// maxCachedParts bounds the parts remembered of one endpoint; it is above what one reads within keptFor.
	maxCachedParts = 4096
	// speedSmoothingFactor is how much of what is known of a reading speed one reading replaces: the last twenty or so count.
	speedSmoothingFactor = 0.05
	// DefaultAnswerTimeout is how long a request waits for its answer to begin where nothing is known yet of how long that
	// takes: a large model reads a long prompt in it. A box that gave up sooner would have it read by several endpoints.
	DefaultAnswerTimeout = 3 * time.Second
	// reportedSpeedTokens is how many tokens another box's speed counts for: a reading or two of this one weigh as much.
	reportedSpeedTokens = 10000
	// maxOutlierFactor bounds one reading by how many times longer than expected it counts: a slow one may have waited unseen.
	maxOutlierFactor = 3.0
)

type (
	// Work is what a request asks of a model's endpoint before its answer begins: a prompt to read. Plain services have none.
	Work struct {
		Model  willowwick.ModelID
		Prompt []willowwick.PromptPart // in order; the last part is the request's own
	}

	// PartHash is a hash that names a part of a prompt as a model has read it; another model reads it anew.
	PartHash uint32

	// PrefillUpdate is what a box finds of an endpoint's reading, as boxes tell each other: a prompt that it was sent, or that
	// all it was sent is read sooner or later than forecast.
	PrefillUpdate struct {
		Endpoint uint32        // hash of its name
		Duration time.Duration // measured length: how long it reads, or by how much later than forecast
		IsShift  bool          // it is the latter
		Parts    []PartHash    // the shared parts that it has then
	}

	// prefillEstimator is what is the same of a request's prompt at all endpoints of its service.
	prefillEstimator struct {
		prompt          []willowwick.PromptPart
		hashes          []PartHash
		secondsPerToken float64 // seconds
	}

	// speedKey names readings that take alike.
	speedKey struct {
		service willowwick.ServiceID
		model   willowwick.ModelID
	}

	// SpeedRow is how fast the endpoints of a service read prompts for a model, as boxes tell each other.
	SpeedRow struct {
		Service  willowwick.ServiceID
		Model    willowwick.ModelID
		PerToken time.Duration // measured length
	}

	// prefillSpeed is how fast the endpoints of a service read prompts for a model.
	prefillSpeed struct {
		seconds float64 // of the readings that were seen, older ones faded
		tokens  float64
	}

	// prefillQueue forecasts when an endpoint has read what it was sent: in the order of sending, one prompt at a time.
	prefillQueue struct {
		idleAt   time.Time // when all of it is read
		pending  []*Slot   // own requests whose answer has not begun, in the order of sending
		cachedAt map[PartHash]time.Time
	}
)

// partHashes names the partHashes of the prompt as the work's model reads them.
func (w Work) partHashes() []PartHash {
	names := make([]PartHash, 0, len(w.Prompt))
	for _, part := range w.Prompt {
		names = append(names, PartHash(xxhash.Sum64String(string(w.Model)+"/"+part.ID)))
	}
	return names
}

// secondsPerToken is the time that reading one token takes, in seconds; 0 if nothing was seen yet.
func (s *prefillSpeed) secondsPerToken() float64 {
	if s == nil || s.tokens == 0 {
		return 0
	}
	return s.seconds / s.tokens
}

// learn takes one reading.
func (s *prefillSpeed) learn(took time.Duration, tokens float64) {
	seconds := took.Seconds()
	if known := s.secondsPerToken(); known > 0 {
		seconds = min(seconds, maxOutlierFactor*known*tokens)
	}
	s.seconds += seconds - speedSmoothingFactor*s.seconds
	s.tokens += tokens - speedSmoothingFactor*s.tokens
}

// uncachedTokens is the part of the prompt that the endpoint has not kept: an endpoint uses a kept part if it has all before it.
func (q *prefillQueue) uncachedTokens(now time.Time, prompt []willowwick.PromptPart, names []PartHash) willowwick.Tokens {
	var tokens willowwick.Tokens
	prefixCached := true
	for i, part := range prompt {
		if prefixCached {
			at, kept := q.cachedAt[names[i]]
			prefixCached = kept && now.Sub(at) < prefixCacheTTL
		}
		if !prefixCached {
			tokens += part.Tokens
		}
	}
	return tokens
}

// markCached notes that the endpoint has read parts of prompts.
func (q *prefillQueue) markCached(now time.Time, parts []PartHash) {
	if q.cachedAt == nil {
		q.cachedAt = map[PartHash]time.Time{}
	}
	for _, part := range parts {
		q.cachedAt[part] = now
	}
	if len(q.cachedAt) <= maxCachedParts {
		return
	}
	for part, at := range q.cachedAt {
		if now.Sub(at) >= prefixCacheTTL {
			delete(q.cachedAt, part)
		}
	}
}

// backlog is how long the endpoint will be reading what it was sent before.
func (q *prefillQueue) backlog(now time.Time) time.Duration {
	backlog := max(q.idleAt.Sub(now), 0)
	if len(q.pending) > 0 {
		// A reading that should have ended by now has been held up, and is expected to take as long again.
		backlog += max(now.Sub(q.pending[0].due), 0)
	}
	return backlog
}

// busyUntil is until when an endpoint may say nothing since it reads the first of what it was sent.
func (q *prefillQueue) busyUntil() time.Time {
	if len(q.pending) == 0 {
		return time.Time{}
	}
	if first := q.pending[0]; !first.hasForecast {
		return first.sentAt.Add(DefaultAnswerTimeout)
	}
	return q.pending[0].due
}

// enqueue puts a reading at the end of the queue.
func (q *prefillQueue) enqueue(now time.Time, s *Slot, prefillTime time.Duration) {
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
	q.idleAt = q.idleAt.Add(prefillTime)
	s.due, s.prefillTime = q.idleAt, prefillTime
	q.pending = append(q.pending, s)
}

// applyUpdate takes what another box has found: a reading that was added, or that all of them are done sooner or later.
func (q *prefillQueue) applyUpdate(now time.Time, update PrefillUpdate) {
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
	if update.IsShift {
		q.shift(now, q.pending, update.Duration)
		return
	}
	q.shift(now, nil, update.Duration)
}

// complete takes a reading out of the queue whose answer has complete, and returns by how much the others move with it.
func (q *prefillQueue) complete(now time.Time, s *Slot) time.Duration {
	at := slices.Index(q.pending, s)
	if at < 0 {
		return 0
	}
	q.pending = slices.Delete(q.pending, at, at+1)
	if at > 0 {
		return 0
	}
	by := now.Sub(s.due)
	q.shift(now, q.pending, by)
	return by
}

// remove takes a reading out of the queue that ends without an answer, and returns by how much the others move with it.
func (q *prefillQueue) remove(now time.Time, s *Slot) time.Duration {
	at := slices.Index(q.pending, s)
	if at < 0 {
		return 0
	}
	q.pending = slices.Delete(q.pending, at, at+1)
	q.shift(now, q.pending[at:], -s.prefillTime)
	return -s.prefillTime
}

// shift moves the forecast from some of the readings on.
func (q *prefillQueue) shift(now time.Time, from []*Slot, by time.Duration) {
	for _, s := range from {
		s.due = s.due.Add(by)
	}
	q.idleAt = q.idleAt.Add(by)
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
}

// estimate forecasts how long the endpoint reads for the request, and how many tokens: those that it has not kept.
func (e *prefillEstimator) estimate(now time.Time, m *member) (time.Duration, willowwick.Tokens) {
	if len(e.prompt) == 0 {
		return 0, 0
	}
	tokens := m.prefills.uncachedTokens(now, e.prompt, e.hashes)
	return time.Duration(e.secondsPerToken * float64(tokens) * float64(time.Second)), tokens
}

// learnSpeed takes the reading of a request whose answer has begun.
//
// What was ahead of it counts as tokens of its own, by the speed that is known: a speed that is wrong makes all forecasts
// wrong alike, and readings that found nothing ahead are too few where it is taken for too slow.
func (p *Pool) learnSpeed(now time.Time, slot *Slot) {
	if slot.uncached == 0 {
		return
	}
	key := slot.speedKey()
	known := p.speeds[key]
	if known == nil {
		known = &prefillSpeed{}
		p.speeds[key] = known
	}
	tokens := float64(slot.uncached)
	if perToken := known.secondsPerToken(); perToken > 0 {
		tokens += slot.backlog.Seconds() / perToken
	} else if slot.backlog > 0 {
		return
	}
	known.learn(now.Sub(slot.sentAt), tokens)
}

// Speeds lists the reading speeds that are known.
func (p *Pool) Speeds() []SpeedRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]SpeedRow, 0, len(p.speeds))
	for key, known := range p.speeds {
		rows = append(rows, SpeedRow{key.service, key.model, time.Duration(known.secondsPerToken() * float64(time.Second))})
	}
	return rows
}

// MergeSpeeds takes the speeds that another box knows where this one knows none: one that has just started.
func (p *Pool) MergeSpeeds(rows []SpeedRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		key := speedKey{row.Service, row.Model}
		if p.speeds[key] == nil && row.PerToken > 0 {
			p.speeds[key] = &prefillSpeed{seconds: row.PerToken.Seconds() * reportedSpeedTokens, tokens: reportedSpeedTokens}
		}
	}
}

// learnLateness takes how much later than forecast an answer began.
func (p *Pool) learnLateness(now time.Time, slot *Slot) {
	key := slot.speedKey()
	known := p.lateness[key]
	if known == nil {
		known = &Lateness{}
		p.lateness[key] = known
	}
	known.Learn(now.Sub(slot.due))
}
