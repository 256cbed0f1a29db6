package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// keptFor is how long an endpoint is taken to keep what it has read of a prompt: runners with room for some twenty
	// long prompts turn their memory over in about this time.
	keptFor = 30 * time.Second
	// keptMost bounds the parts remembered of one endpoint; it is above what one reads within keptFor.
	keptMost = 4096
	// speedFade is how much of what is known of a reading speed one reading replaces: the last twenty or so count.
	speedFade = 0.05
	// UnknownPatience is how long a request waits for its answer to begin where nothing is known yet of how long that
	// takes: a large model reads a long prompt in it. A box that gave up sooner would have it read by several endpoints.
	UnknownPatience = 3 * time.Second
	// heardTokens is how many tokens another box's speed counts for: a reading or two of this one weigh as much.
	heardTokens = 10000
	// outlier bounds one reading by how many times longer than expected it counts: a slow one may have waited unseen.
	outlier = 3.0
)

type (
	// Work is what a request asks of a model's endpoint before its answer begins: a prompt to read. Plain services have none.
	Work struct {
		Model  willowwick.ModelID
		Prompt []willowwick.PromptPart // in order; the last part is the request's own
	}

	// PartName is a hash that names a part of a prompt as a model has read it; another model reads it anew.
	PartName uint32

	// Reading is what a box finds of an endpoint's reading, as boxes tell each other: a prompt that it was sent, or that
	// all it was sent is read sooner or later than forecast.
	Reading struct {
		Endpoint uint32        // hash of its name
		Length   time.Duration // measured length: how long it reads, or by how much later than forecast
		IsShift  bool          // it is the latter
		Parts    []PartName    // the shared parts that it has then
	}

	// reading is what is the same of a request's prompt at all endpoints of its service.
	reading struct {
		prompt   []willowwick.PromptPart
		names    []PartName
		perToken float64 // seconds
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

	// speed is how fast the endpoints of a service read prompts for a model.
	speed struct {
		seconds float64 // of the readings that were seen, older ones faded
		tokens  float64
	}

	// reader forecasts when an endpoint has read what it was sent: in the order of sending, one prompt at a time.
	reader struct {
		readyAt time.Time // when all of it is read
		queue   []*Slot   // own requests whose answer has not begun, in the order of sending
		kept    map[PartName]time.Time
	}
)

// parts names the parts of the prompt as the work's model reads them.
func (w Work) parts() []PartName {
	names := make([]PartName, 0, len(w.Prompt))
	for _, part := range w.Prompt {
		names = append(names, PartName(xxhash.Sum64String(string(w.Model)+"/"+part.ID)))
	}
	return names
}

// perToken is the time that reading one token takes, in seconds; 0 if nothing was seen yet.
func (s *speed) perToken() float64 {
	if s == nil || s.tokens == 0 {
		return 0
	}
	return s.seconds / s.tokens
}

// learn takes one reading.
func (s *speed) learn(took time.Duration, tokens float64) {
	seconds := took.Seconds()
	if known := s.perToken(); known > 0 {
		seconds = min(seconds, outlier*known*tokens)
	}
	s.seconds += seconds - speedFade*s.seconds
	s.tokens += tokens - speedFade*s.tokens
}

// unread is the part of the prompt that the endpoint has not kept: an endpoint uses a kept part if it has all before it.
func (r *reader) unread(now time.Time, prompt []willowwick.PromptPart, names []PartName) willowwick.Tokens {
	var tokens willowwick.Tokens
	whole := true
	for i, part := range prompt {
		if whole {
			at, kept := r.kept[names[i]]
			whole = kept && now.Sub(at) < keptFor
		}
		if !whole {
			tokens += part.Tokens
		}
	}
	return tokens
}

// keep notes that the endpoint has read parts of prompts.
func (r *reader) keep(now time.Time, parts []PartName) {
	if r.kept == nil {
		r.kept = map[PartName]time.Time{}
	}
	for _, part := range parts {
		r.kept[part] = now
	}
	if len(r.kept) <= keptMost {
		return
	}
	for part, at := range r.kept {
		if now.Sub(at) >= keptFor {
			delete(r.kept, part)
		}
	}
}

// ahead is how long the endpoint will be reading what it was sent before.
func (r *reader) ahead(now time.Time) time.Duration {
	ahead := max(r.readyAt.Sub(now), 0)
	if len(r.queue) > 0 {
		// A reading that should have ended by now has been held up, and is expected to take as long again.
		ahead += max(now.Sub(r.queue[0].due), 0)
	}
	return ahead
}

// busyUntil is until when an endpoint may say nothing since it reads the first of what it was sent.
func (r *reader) busyUntil() time.Time {
	if len(r.queue) == 0 {
		return time.Time{}
	}
	if first := r.queue[0]; !first.hasForecast {
		return first.sentAt.Add(UnknownPatience)
	}
	return r.queue[0].due
}

// push puts a reading at the end of the queue.
func (r *reader) push(now time.Time, p *Slot, reading time.Duration) {
	if r.readyAt.Before(now) {
		r.readyAt = now
	}
	r.readyAt = r.readyAt.Add(reading)
	p.due, p.prefillTime = r.readyAt, reading
	r.queue = append(r.queue, p)
}

// note takes what another box has found: a reading that was added, or that all of them are done sooner or later.
func (r *reader) note(now time.Time, reading Reading) {
	if r.readyAt.Before(now) {
		r.readyAt = now
	}
	if reading.IsShift {
		r.shift(now, r.queue, reading.Length)
		return
	}
	r.shift(now, nil, reading.Length)
}

// begun takes a reading out of the queue whose answer has begun, and returns by how much the others move with it.
func (r *reader) begun(now time.Time, p *Slot) time.Duration {
	at := slices.Index(r.queue, p)
	if at < 0 {
		return 0
	}
	r.queue = slices.Delete(r.queue, at, at+1)
	if at > 0 {
		return 0
	}
	by := now.Sub(p.due)
	r.shift(now, r.queue, by)
	return by
}

// drop takes a reading out of the queue that ends without an answer, and returns by how much the others move with it.
func (r *reader) drop(now time.Time, p *Slot) time.Duration {
	at := slices.Index(r.queue, p)
	if at < 0 {
		return 0
	}
	r.queue = slices.Delete(r.queue, at, at+1)
	r.shift(now, r.queue[at:], -p.prefillTime)
	return -p.prefillTime
}

// shift moves the forecast from some of the readings on.
func (r *reader) shift(now time.Time, from []*Slot, by time.Duration) {
	for _, p := range from {
		p.due = p.due.Add(by)
	}
	r.readyAt = r.readyAt.Add(by)
	if r.readyAt.Before(now) {
		r.readyAt = now
	}
}

// at forecasts how long the endpoint reads for the request, and how many tokens: those that it has not kept.
func (r *reading) at(now time.Time, m *member) (time.Duration, willowwick.Tokens) {
	if len(r.prompt) == 0 {
		return 0, 0
	}
	tokens := m.reader.unread(now, r.prompt, r.names)
	return time.Duration(r.perToken * float64(tokens) * float64(time.Second)), tokens
}

// learnSpeed takes the reading of a request whose answer has begun.
//
// What was ahead of it counts as tokens of its own, by the speed that is known: a speed that is wrong makes all forecasts
// wrong alike, and readings that found nothing ahead are too few where it is taken for too slow.
func (p *Pool) learnSpeed(now time.Time, place *Slot) {
	if place.uncached == 0 {
		return
	}
	key := place.speedKey()
	known := p.speeds[key]
	if known == nil {
		known = &speed{}
		p.speeds[key] = known
	}
	tokens := float64(place.uncached)
	if perToken := known.perToken(); perToken > 0 {
		tokens += place.backlog.Seconds() / perToken
	} else if place.backlog > 0 {
		return
	}
	known.learn(now.Sub(place.sentAt), tokens)
}

// Speeds lists the reading speeds that are known.
func (p *Pool) Speeds() []SpeedRow {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]SpeedRow, 0, len(p.speeds))
	for key, known := range p.speeds {
		rows = append(rows, SpeedRow{key.service, key.model, time.Duration(known.perToken() * float64(time.Second))})
	}
	return rows
}

// HearSpeeds takes the speeds that another box knows where this one knows none: one that has just started.
func (p *Pool) HearSpeeds(rows []SpeedRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		key := speedKey{row.Service, row.Model}
		if p.speeds[key] == nil && row.PerToken > 0 {
			p.speeds[key] = &speed{seconds: row.PerToken.Seconds() * heardTokens, tokens: heardTokens}
		}
	}
}

// learnLateness takes how much later than forecast an answer began.
func (p *Pool) learnLateness(now time.Time, place *Slot) {
	key := place.speedKey()
	known := p.lateness[key]
	if known == nil {
		known = &Lateness{}
		p.lateness[key] = known
	}
	known.Learn(now.Sub(place.due))
}
