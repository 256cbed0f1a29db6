package route

import (
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// ringPoints is the number of points of an endpoint on the ring of consistent hashing.
	ringPoints = 16
	// startLimit is the limit on own requests at an endpoint that is not known yet.
	startLimit = 4
	// loadFresh is how long a load report counts.
	loadFresh = 10 * time.Second
)

type (
	// Pool knows the endpoints, their load and their health, and hands out places at them.
	Pool struct {
		mu        sync.Mutex
		picker    willowwick.Picker
		options   PoolOptions
		endpoints map[willowwick.EndpointID]*member
		byHash    map[uint32]*member
		rows      map[row]*candidateRow
		inFlight  int
		busy      map[*member]bool // endpoints with places taken, those gone from the list among them
		speeds    map[speedKey]*speed
		lateness  map[speedKey]*Lateness // of first events against their forecasts
		evacuated map[willowwick.HallID]bool
		said      map[willowwick.EndpointID]*said
		// coldPauses are lengths: between this box's requests to one cold endpoint of a service.
		coldPauses map[willowwick.ServiceID]time.Duration // setting
	}

	// PoolOptions set how much a pool gives to endpoints; zero values take the defaults.
	PoolOptions struct {
		StartLimit float64       // own requests at an endpoint before it is known
		LoadFresh  time.Duration // setting: how long a load report counts
		// TrustLast gives work to endpoints under suspicion where there are no others; the caller bounds its tries.
		TrustLast bool
		// QueueShare bounds what an endpoint holds beyond its slots, as a share of them; what is more waits for its
		// fair turn here. 0 leaves it to the limit that adapts.
		QueueShare float64
		// QuietAfter is how long an endpoint with work may say nothing before others are preferred; 0 never.
		QuietAfter time.Duration // setting
		// Limits knows what endpoints take from all boxes together; nil if none names a limit.
		Limits willowwick.RateLimiter
	}

	// member is an endpoint with what the box knows of it.
	member struct {
		endpoint     willowwick.Endpoint
		said         *said
		load         willowwick.EndpointLoad
		inFlight     int
		recent       int
		failures     int
		suspectUntil time.Time
		evacuated    bool // its hall is
		limit        float64
		hash         uint64
		failing      float64
		failingAt    time.Time
		heardAt      time.Time // last sign of life, or when it was given work after having none
		coldNext     time.Time // while it is cold, when this box may send it its next request; zero if not chosen yet
		trial        bool      // the suspicion has run out, and one request is to show whether it was right
		reader       reader
	}
)

// NewPool returns an empty pool that chooses by the picker.
func NewPool(picker willowwick.Picker) *Pool {
	return NewPoolWith(picker, PoolOptions{})
}

// NewPoolWith returns an empty pool with options.
func NewPoolWith(picker willowwick.Picker, options PoolOptions) *Pool {
	if options.StartLimit == 0 {
		options.StartLimit = startLimit
	}
	if options.LoadFresh == 0 {
		options.LoadFresh = loadFresh
	}
	if options.Limits == nil {
		options.Limits = unlimited{}
	}
	return &Pool{
		picker: picker, options: options,
		endpoints: map[willowwick.EndpointID]*member{}, rows: map[row]*candidateRow{}, busy: map[*member]bool{},
		said: map[willowwick.EndpointID]*said{}, speeds: map[speedKey]*speed{}, lateness: map[speedKey]*Lateness{},
	}
}

// Update takes the platform's list; endpoints that are gone get no new work.
func (p *Pool) Update(listing []willowwick.Endpoint) {
	p.options.Limits.Retain(listing)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[willowwick.EndpointID]*member, len(listing))
	byHash := make(map[uint32]*member, len(listing))
	for _, endpoint := range listing {
		m := p.endpoints[endpoint.ID]
		if m == nil || m.endpoint.Address != endpoint.Address || hasStartedAgain(m.endpoint, endpoint) {
			m = &member{limit: p.options.StartLimit, hash: xxhash.Sum64String(string(endpoint.ID))}
		}
		if IsColdAgain(m.endpoint.ColdUntil, endpoint.ColdUntil) {
			m.coldNext = time.Time{}
		}
		m.endpoint, m.said = endpoint, p.saidBy(endpoint)
		m.evacuated = p.evacuated[endpoint.Hall]
		known[endpoint.ID] = m
		byHash[uint32(m.hash)] = m
	}
	p.forgetSaid(clock.Now(), known)
	p.endpoints, p.byHash = known, byHash
	p.rebuild()
}

// hasStartedAgain reports whether an entry is of a later life of its endpoint, of which nothing is known yet.
func hasStartedAgain(old, entry willowwick.Endpoint) bool {
	return old.Incarnation != 0 && old.Incarnation != entry.Incarnation
}

func (p *Pool) rebuild() {
	p.rows = map[row]*candidateRow{}
	ids := make([]willowwick.EndpointID, 0, len(p.endpoints))
	for id := range p.endpoints {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		m := p.endpoints[id]
		if m.endpoint.Service != "" {
			p.addTo(row{service: m.endpoint.Service}, m)
		}
		for _, version := range m.endpoint.Versions {
			p.addTo(row{version: version}, m)
		}
	}
	for _, r := range p.rows {
		sort.Slice(r.ring, func(i, j int) bool { return r.ring[i].hash < r.ring[j].hash })
	}
}

func (p *Pool) addTo(name row, m *member) {
	r := p.rows[name]
	if r == nil {
		r = &candidateRow{pool: p}
		p.rows[name] = r
	}
	for point := range ringPoints {
		hash := xxhash.Sum64String(string(m.endpoint.ID) + "#" + strconv.Itoa(point))
		r.ring = append(r.ring, ringPoint{hash: hash, index: len(r.members)})
	}
	r.members = append(r.members, m)
}

// Report takes a load report; older reports than the one known change nothing.
func (p *Pool) Report(load willowwick.EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.endpoints[load.Endpoint]
	if m == nil || load.At.Before(m.load.At) {
		return
	}
	m.load = load
	m.recent = 0
	m.said.leaving = m.said.leaving || load.Draining
}

// NoteReading takes what another box has sent to an endpoint.
func (p *Pool) NoteReading(now time.Time, reading Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byHash[reading.Endpoint]
	if m == nil {
		return
	}
	m.reader.note(now, reading)
	m.reader.keep(now, reading.Parts)
}

// Ahead is how long the endpoint will be reading what it was sent, as forecast; 0 if it is not known.
func (p *Pool) Ahead(now time.Time, id willowwick.EndpointID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.endpoints[id]; m != nil {
		return m.reader.ahead(now)
	}
	return 0
}

// LoadOf returns the newest load report of an endpoint.
func (p *Pool) LoadOf(id willowwick.EndpointID) (willowwick.EndpointLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.endpoints[id]
	if m == nil || m.load.At.IsZero() {
		return willowwick.EndpointLoad{}, false
	}
	return m.load, true
}

// Stays reports whether an endpoint is listed and may be given new work.
func (p *Pool) Stays(id willowwick.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.endpoints[id]
	return m != nil && m.stays()
}

// SetEvacuated leaves the endpoints of these halls without new work, and no others; running work goes on.
func (p *Pool) SetEvacuated(halls []willowwick.HallID) {
	evacuated := make(map[willowwick.HallID]bool, len(halls))
	for _, hall := range halls {
		evacuated[hall] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = evacuated
	for _, m := range p.endpoints {
		m.evacuated = evacuated[m.endpoint.Hall]
	}
}

// Endpoints lists the endpoints of the platform's list; each that is known to be leaving says so, whatever its entry says.
func (p *Pool) Endpoints() []willowwick.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]willowwick.Endpoint, 0, len(p.endpoints))
	for _, m := range p.endpoints {
		endpoint := m.endpoint
		endpoint.Leaving = m.said.leaving
		list = append(list, endpoint)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// InFlight returns the number of places taken.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// extra is how many requests beyond its slots the endpoint may hold.
func (m *member) extra(options PoolOptions) int {
	if options.QueueShare == 0 {
		return int(m.limit)
	}
	return int(min(m.limit, options.QueueShare*float64(m.load.Slots)))
}

// stays reports whether the endpoint may be given new work at all: it is where its entry says and not leaving, and its hall is
// not evacuated.
func (m *member) stays() bool {
	return !m.said.leaving && !m.said.misplaced && !m.evacuated
}

// isWithheld reports whether the endpoint takes no work now, whatever it has to do: it does not stay, or rests.
func (m *member) isWithheld(now time.Time) bool {
	return !m.stays() || m.said.isResting(now)
}

// isDoubtful reports whether the endpoint owes an answer for long, or is on trial after a suspicion.
func (m *member) isDoubtful(now time.Time, options PoolOptions) bool {
	if m.inFlight == 0 {
		return false
	}
	return m.trial || m.isQuiet(now, options)
}

// isQuiet reports whether the endpoint has said nothing for long, and is not reading what it was sent.
func (m *member) isQuiet(now time.Time, options PoolOptions) bool {
	heardAt := m.heardAt
	if until := m.reader.busyUntil(); until.After(heardAt) {
		heardAt = until
	}
	return now.Sub(heardAt) > options.QuietAfter
}

// AcquireVersion takes a place at a runner that serves the version; known tells
// whether any runner serves it at all.
func (p *Pool) AcquireVersion(now time.Time, version willowwick.VersionID, prefix uint64, exclude map[willowwick.EndpointID]bool) (place *Place, known bool) {
	return p.acquire(now, row{version: version}, Work{}, prefix, exclude, nil)
}

// AcquireService takes a place at an instance of a plain service.
func (p *Pool) AcquireService(now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool) (place *Place, known bool) {
	return p.acquire(now, row{service: service}, Work{}, 0, exclude, nil)
}

// AcquireAllowed takes a place at one of the service's endpoints that are allowed; known
// tells whether there is any such endpoint.
func (p *Pool) AcquireAllowed(
	now time.Time, service willowwick.ServiceID, work Work,
	exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) (place *Place, known bool) {
	return p.acquire(now, row{service: service}, work, 0, exclude, allow)
}

func (p *Pool) acquire(
	now time.Time, name row, work Work, prefix uint64,
	exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) (*Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[name]
	if r == nil {
		return nil, false
	}
	r.now, r.prompt, r.exclude, r.allow = now, p.readingOf(name.service, work), exclude, allow
	if len(exclude) > 0 && r.allExcluded() {
		// Every endpoint failed this request once; a second try beats none.
		r.exclude = nil
	}
	index := p.picker.Pick(now, r, prefix)
	if index == noneOpen && p.options.TrustLast {
		r.trusting = true
		index = p.picker.Pick(now, r, prefix)
		r.trusting = false
	}
	if index == noneOpen {
		return nil, r.anyServing()
	}
	m := r.members[index]
	if m.inFlight == 0 {
		m.heardAt = now
	}
	p.noteCold(now, m)
	permission := p.options.Limits.Acquire(now, m.endpoint.ID)
	m.inFlight++
	m.recent++
	p.busy[m] = true
	p.inFlight++
	return &Place{Endpoint: m.endpoint, pool: p, member: m, work: work, prompt: r.prompt, taken: now, permission: permission}, true
}

// readingOf is what the work's prompt asks of any of the service's endpoints.
func (p *Pool) readingOf(service willowwick.ServiceID, work Work) reading {
	if len(work.Prompt) == 0 {
		return reading{}
	}
	return reading{work.Prompt, work.parts(), p.speeds[speedKey{service, work.Model}].perToken()}
}

// HasOpen reports whether one of the service's endpoints that are allowed may be given work; those that name limits do not
// count, since a permit may be denied.
func (p *Pool) HasOpen(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.hasMember(service, func(m *member) bool {
		return p.availability(now, m).ground == mayUse && allow(m.endpoint) && !p.isPaused(now, m) && m.open(now, p.options, false)
	})
}

// hasMember reports whether one of the service's endpoints is as asked.
func (p *Pool) hasMember(service willowwick.ServiceID, is func(m *member) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rows[row{service: service}]
	return r != nil && slices.ContainsFunc(r.members, is)
}

// HasStaying reports whether one of the service's endpoints that are allowed is not leaving, in a hall that is not evacuated.
func (p *Pool) HasStaying(service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.hasMember(service, func(m *member) bool { return m.stays() && allow(m.endpoint) })
}

// InFlightWhere counts the places taken at those of the service's endpoints that are counted.
func (p *Pool) InFlightWhere(service willowwick.ServiceID, counts func(willowwick.Endpoint) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for m := range p.busy {
		if m.endpoint.Service == service && counts(m.endpoint) {
			n += m.inFlight
		}
	}
	return n
}

// knownLoad is the last report, or only the slots once the report is too old to count.
func (m *member) knownLoad(now time.Time, options PoolOptions) willowwick.EndpointLoad {
	if now.Sub(m.load.At) < options.LoadFresh {
		return m.load
	}
	return willowwick.EndpointLoad{Endpoint: m.endpoint.ID, Slots: max(m.load.Slots, m.endpoint.Slots)}
}

func (m *member) open(now time.Time, options PoolOptions, trusting bool) bool {
	if m.isWithheld(now) || !trusting && now.Before(m.suspectUntil) {
		return false
	}
	if !trusting && options.QuietAfter > 0 && m.isDoubtful(now, options) {
		return false
	}
	fresh := m.load.Slots > 0 && now.Sub(m.load.At) < options.LoadFresh
	if fresh {
		// The report counts everybody's requests; what was sent since is known only of oneself.
		return m.load.Running+m.load.Waiting+m.recent < m.load.Slots+m.extra(options) && float64(m.inFlight) < max(m.limit, options.StartLimit)
	}
	return float64(m.inFlight) < m.limit
}
