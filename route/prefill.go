package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// prefixCacheTTL is how long an endpoint is assumed to cache a part of a prompt that it has read: runners with
	// memory for about twenty long prompts replace it in about this time.
	prefixCacheTTL = 30 * time.Second
	// maxCachedParts bounds the parts remembered for one endpoint; it is more than one reads within prefixCacheTTL.
	maxCachedParts = 4096
	// speedSmoothingFactor is the weight of one prefill in the known speed, so that about the last 20 count.
	speedSmoothingFactor = 0.05
	// DefaultAnswerTimeout is how long a request waits for its answer to begin while no speed is known: a large model
	// reads a long prompt in this time. A box that gave up sooner would have several endpoints read it.
	DefaultAnswerTimeout = 3 * time.Second
	// reportedSpeedTokens is the weight of a speed reported by another box, in tokens; one or two prefills seen by
	// this box weigh as much.
	reportedSpeedTokens = 10000
	// maxOutlierFactor bounds how many times longer than expected one prefill counts, since a slow one may have
	// waited behind work that this box does not know of.
	maxOutlierFactor = 3.0
)

type (
	// Work is what an endpoint must do before the answer begins: read the prompt for a model. Plain services have
	// none.
	Work struct {
		Model  willowwick.ModelID
		Prompt []willowwick.PromptPart // in order; the last part is unique to the request
	}

	// PartHash identifies a part of a prompt as read by one model; another model must read it anew.
	PartHash uint32

	// PrefillUpdate is a change of an endpoint's prefill queue that boxes send each other: a prompt that was sent to
	// it, or a shift of the forecast of all that it has to read.
	PrefillUpdate struct {
		Endpoint uint32            // hash of its ID
		Hall     willowwick.HallID // of the endpoint; empty if another box sent the update
		Added    time.Duration     // prefill time added, or the shift if IsShift
		IsShift  bool              // Added shifts the whole forecast
		Parts    []PartHash        // shared parts that it has cached from now on
	}

	// prefill holds what the prefill time of a request depends on at every endpoint of its service.
	prefill struct {
		prompt          []willowwick.PromptPart
		hashes          []PartHash
		secondsPerToken float64 // 0 if unknown
	}

	// speedKey identifies prefills of comparable speed.
	speedKey struct {
		service willowwick.ServiceID
		model   willowwick.ModelID
	}

	// SpeedRow is the wire form of a prefill speed.
	SpeedRow struct {
		Service  willowwick.ServiceID
		Model    willowwick.ModelID
		PerToken time.Duration // time per token
	}

	// prefillSpeed is how fast the endpoints of a service read prompts for a model.
	prefillSpeed struct {
		seconds float64 // sum over the prefills seen, decaying
		tokens  float64
	}

	// prefillQueue forecasts when an endpoint has read the prompts sent to it, one at a time in the order of sending.
	prefillQueue struct {
		idleAt  time.Time // when all prompts are read
		pending []*Slot   // own requests whose answer has not begun, in the order of sending
		cached  map[PartHash]time.Time
	}
)

// partHashes returns the hashes of the prompt's parts as read by the work's model.
func (w Work) partHashes() []PartHash {
	hashes := make([]PartHash, 0, len(w.Prompt))
	for _, part := range w.Prompt {
		hashes = append(hashes, PartHash(xxhash.Sum64String(string(w.Model)+"/"+part.ID)))
	}
	return hashes
}

// secondsPerToken returns the time to read one token, in seconds; 0 if no prefill was seen.
func (s *prefillSpeed) secondsPerToken() float64 {
	if s == nil || s.tokens == 0 {
		return 0
	}
	return s.seconds / s.tokens
}

// learn records the duration of one prefill.
func (s *prefillSpeed) learn(took time.Duration, tokens float64) {
	seconds := took.Seconds()
	if known := s.secondsPerToken(); known > 0 {
		seconds = min(seconds, maxOutlierFactor*known*tokens)
	}
	s.seconds += seconds - speedSmoothingFactor*s.seconds
	s.tokens += tokens - speedSmoothingFactor*s.tokens
}

// uncachedTokens returns how many tokens of the prompt the endpoint must read: it uses a cached part only if all
// parts before it are cached.
func (q *prefillQueue) uncachedTokens(now time.Time, prompt []willowwick.PromptPart, hashes []PartHash) willowwick.Tokens {
	var tokens willowwick.Tokens
	prefixCached := true
	for i, part := range prompt {
		if prefixCached {
			at, cached := q.cached[hashes[i]]
			prefixCached = cached && now.Sub(at) < prefixCacheTTL
		}
		if !prefixCached {
			tokens += part.Tokens
		}
	}
	return tokens
}

// markCached records that the endpoint has read these parts.
func (q *prefillQueue) markCached(now time.Time, parts []PartHash) {
	if q.cached == nil {
		q.cached = map[PartHash]time.Time{}
	}
	for _, part := range parts {
		q.cached[part] = now
	}
	if len(q.cached) <= maxCachedParts {
		return
	}
	for part, at := range q.cached {
		if now.Sub(at) >= prefixCacheTTL {
			delete(q.cached, part)
		}
	}
}

// backlog returns how long the endpoint will be busy with prefills already sent to it.
func (q *prefillQueue) backlog(now time.Time) time.Duration {
	backlog := max(q.idleAt.Sub(now), 0)
	if len(q.pending) > 0 {
		// An overdue prefill is held up, and is expected to take as long again as it is overdue.
		backlog += max(now.Sub(q.pending[0].due), 0)
	}
	return backlog
}

// busyUntil returns until when an endpoint may be silent because it reads the first pending prompt; zero if none is
// pending.
func (q *prefillQueue) busyUntil() time.Time {
	if len(q.pending) == 0 {
		return time.Time{}
	}
	if first := q.pending[0]; !first.hasForecast {
		return first.sentAt.Add(DefaultAnswerTimeout)
	}
	return q.pending[0].due
}

// enqueue appends a prefill.
func (q *prefillQueue) enqueue(now time.Time, s *Slot, prefill time.Duration) {
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
	q.idleAt = q.idleAt.Add(prefill)
	s.due, s.prefill = q.idleAt, prefill
	q.pending = append(q.pending, s)
}

// applyUpdate applies another box's update: an added prefill, or a shift of all of them.
func (q *prefillQueue) applyUpdate(now time.Time, update PrefillUpdate) {
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
	if update.IsShift {
		q.shift(now, q.pending, update.Added)
		return
	}
	q.shift(now, nil, update.Added)
}

// complete removes a prefill whose answer has begun, and returns by how much the forecast of the others shifts.
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

// remove removes a prefill that ends without an answer, and returns by how much the forecast of the others shifts.
func (q *prefillQueue) remove(now time.Time, s *Slot) time.Duration {
	at := slices.Index(q.pending, s)
	if at < 0 {
		return 0
	}
	q.pending = slices.Delete(q.pending, at, at+1)
	q.shift(now, q.pending[at:], -s.prefill)
	return -s.prefill
}

// shift moves the forecast of the given prefills and of the end of the queue.
func (q *prefillQueue) shift(now time.Time, from []*Slot, by time.Duration) {
	for _, s := range from {
		s.due = s.due.Add(by)
	}
	q.idleAt = q.idleAt.Add(by)
	if q.idleAt.Before(now) {
		q.idleAt = now
	}
}

// estimate returns the prefill time of the request at an endpoint, and the number of tokens not cached there.
func (e *prefill) estimate(now time.Time, m *member) (time.Duration, willowwick.Tokens) {
	if len(e.prompt) == 0 {
		return 0, 0
	}
	tokens := m.prefillQueue.uncachedTokens(now, e.prompt, e.hashes)
	return time.Duration(e.secondsPerToken * float64(tokens) * float64(time.Second)), tokens
}

// learnSpeed records the prefill of a request whose answer has begun.
//
// The backlog before it is converted to tokens at the known speed. A wrong speed makes all forecasts wrong alike, and
// if it is taken for too slow, too few requests find no backlog to correct it.
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
	if secondsPerToken := known.secondsPerToken(); secondsPerToken > 0 {
		tokens += slot.backlog.Seconds() / secondsPerToken
	} else if slot.backlog > 0 {
		return
	}
	known.learn(now.Sub(slot.sentAt), tokens)
}

// Speeds lists the known prefill speeds.
func (p *Pool) Speeds() []SpeedRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]SpeedRow, 0, len(p.speeds))
	for key, known := range p.speeds {
		rows = append(rows, SpeedRow{key.service, key.model, time.Duration(known.secondsPerToken() * float64(time.Second))})
	}
	return rows
}

// MergeSpeeds adopts the speeds of another box where this one has none, as after its start.
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

// learnLateness records how much later than forecast an answer began.
func (p *Pool) learnLateness(now time.Time, slot *Slot) {
	key := slot.speedKey()
	known := p.lateness[key]
	if known == nil {
		known = &Lateness{}
		p.lateness[key] = known
	}
	known.Learn(now.Sub(slot.due))
}
