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
	// loadMaxAge is how long a load report counts.
	loadMaxAge = 10 * time.Second
)

type (
	// Pool knows the endpoints, their load and their health, and hands out places at them.
	Pool struct {
		mu         sync.Mutex
		picker     willowwick.Picker
		options    PoolOptions
		endpoints  map[willowwick.EndpointID]*member
		byHash     map[uint32]*member
		candidates map[workKey]*candidateSet
		inFlight   int
		occupied   map[*member]bool // endpoints with places taken, those gone from the list among them
		speeds     map[speedKey]*prefillSpeed
		lateness   map[speedKey]*Lateness // of first events against their forecasts
		evacuated  map[willowwick.HallID]bool
		reported   map[willowwick.EndpointID]*reportedState
		// coldPauses are lengths: between this box's requests to one cold endpoint of a service.
		coldPauses map[willowwick.ServiceID]time.Duration // setting
	}

	// PoolOptions set how much a pool gives to endpoints; zero values take the defaults.
	PoolOptions struct {
		StartLimit float64       // own requests at an endpoint before it is known
		LoadMaxAge time.Duration // setting: how long a load report counts
		// FallBackToEjected gives work to endpoints under suspicion where there are no others; the caller bounds its tries.
		FallBackToEjected bool
		// QueueShare bounds what an endpoint holds beyond its slots, as a share of them; what is more waits for its
		// fair turn here. 0 leaves it to the limit that adapts.
		QueueShare float64
		// SilentAfter is how long an endpoint with work may say nothing before others are preferred; 0 never.
		SilentAfter time.Duration // setting
		// Limits knows what endpoints take from all boxes together; nil if none names a limit.
		Limits willowwick.RateLimiter
	}

	// member is an endpoint with what the box knows of it.
	member struct {
		endpoint        willowwick.Endpoint
		reported        *reportedState
		load            willowwick.EndpointLoad
		inFlight        int
		sentSinceReport int
		failures        int
		ejectedUntil    time.Time
		evacuated       bool // its hall is
		limit           float64
		hash            uint64
		failureRateThen float64
		failureRateAt   time.Time
		lastAliveAt     time.Time // last sign of life, or when it was given work after having none
		nextColdSendAt  time.Time // while it is cold, when this box may send it its next request; zero if not chosen yet
		isProbing       bool      // the suspicion has run out, and one request is to show whether it was right
		prefills        prefillQueue
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
	if options.LoadMaxAge == 0 {
		options.LoadMaxAge = loadMaxAge
	}
	if options.Limits == nil {
		options.Limits = unlimited{}
	}
	return &Pool{
		picker: picker, options: options,
		endpoints: map[willowwick.EndpointID]*member{}, candidates: map[workKey]*candidateSet{}, occupied: map[*member]bool{},
		reported: map[willowwick.EndpointID]*reportedState{}, speeds: map[speedKey]*prefillSpeed{}, lateness: map[speedKey]*Lateness{},
	}
}

// Update takes the platform's list; endpoints that are gone get no new work.
func (p *Pool) Update(listing []willowwick.Endpoint) {
	p.options.Limits.Keep(listing)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[willowwick.EndpointID]*member, len(listing))
	byHash := make(map[uint32]*member, len(listing))
	for _, endpoint := range listing {
		m := p.endpoints[endpoint.ID]
		if m == nil || m.endpoint.Address != endpoint.Address || hasRestarted(m.endpoint, endpoint) {
			m = &member{limit: p.options.StartLimit, hash: xxhash.Sum64String(string(endpoint.ID))}
		}
		if IsColdAgain(m.endpoint.ColdUntil, endpoint.ColdUntil) {
			m.nextColdSendAt = time.Time{}
		}
		m.endpoint, m.reported = endpoint, p.reportedStateOf(endpoint)
		m.evacuated = p.evacuated[endpoint.Hall]
		known[endpoint.ID] = m
		byHash[uint32(m.hash)] = m
	}
	p.expireReportedStates(clock.Now(), known)
	p.endpoints, p.byHash = known, byHash
	p.rebuild()
}

// hasRestarted reports whether an entry is of a later life of its endpoint, of which nothing is known yet.
func hasRestarted(old, entry willowwick.Endpoint) bool {
	return old.Incarnation != 0 && old.Incarnation != entry.Incarnation
}

func (p *Pool) rebuild() {
	p.candidates = map[workKey]*candidateSet{}
	ids := make([]willowwick.EndpointID, 0, len(p.endpoints))
	for id := range p.endpoints {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		m := p.endpoints[id]
		if m.endpoint.Service != "" {
			p.addCandidate(workKey{service: m.endpoint.Service}, m)
		}
		for _, version := range m.endpoint.Versions {
			p.addCandidate(workKey{version: version}, m)
		}
	}
	for _, set := range p.candidates {
		sort.Slice(set.ring, func(i, j int) bool { return set.ring[i].hash < set.ring[j].hash })
	}
}

func (p *Pool) addCandidate(key workKey, m *member) {
	set := p.candidates[key]
	if set == nil {
		set = &candidateSet{pool: p}
		p.candidates[key] = set
	}
	for point := range ringPoints {
		hash := xxhash.Sum64String(string(m.endpoint.ID) + "#" + strconv.Itoa(point))
		set.ring = append(set.ring, ringPoint{hash: hash, index: len(set.members)})
	}
	set.members = append(set.members, m)
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
	m.sentSinceReport = 0
	m.reported.leaving = m.reported.leaving || load.Leaving
}

// ApplyPrefillUpdate takes what another box has sent to an endpoint.
func (p *Pool) ApplyPrefillUpdate(now time.Time, update PrefillUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byHash[update.Endpoint]
	if m == nil {
		return
	}
	m.prefills.applyUpdate(now, update)
	m.prefills.markCached(now, update.Parts)
}

// PrefillBacklog is how long the endpoint will be reading what it was sent, as forecast; 0 if it is not known.
func (p *Pool) PrefillBacklog(now time.Time, id willowwick.EndpointID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.endpoints[id]; m != nil {
		return m.prefills.backlog(now)
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

// IsInService reports whether an endpoint is listed and may be given new work.
func (p *Pool) IsInService(id willowwick.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.endpoints[id]
	return m != nil && m.isInService()
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
		endpoint.Leaving = m.reported.leaving
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

// queueAllowance is how many requests beyond its slots the endpoint may hold.
func (m *member) queueAllowance(options PoolOptions) int {
	if options.QueueShare == 0 {
		return int(m.limit)
	}
	return int(min(m.limit, options.QueueShare*float64(m.load.Slots)))
}

// isInService reports whether the endpoint may be given new work at all: it is where its entry says and not leaving, and its hall is
// not evacuated.
func (m *member) isInService() bool {
	return !m.reported.leaving && !m.reported.misplaced && !m.evacuated
}

// refusesWork reports whether the endpoint takes no work now, whatever it has to do: it does not stay, or rests.
func (m *member) refusesWork(now time.Time) bool {
	return !m.isInService() || m.reported.isInBackoff(now)
}

// isSilentOrProbing reports whether the endpoint owes an answer for long, or is on trial after a suspicion.
func (m *member) isSilentOrProbing(now time.Time, options PoolOptions) bool {
	if m.inFlight == 0 {
		return false
	}
	return m.isProbing || m.isSilent(now, options)
}

// isSilent reports whether the endpoint has said nothing for long, and is not reading what it was sent.
func (m *member) isSilent(now time.Time, options PoolOptions) bool {
	heardAt := m.lastAliveAt
	if until := m.prefills.busyUntil(); until.After(heardAt) {
		heardAt = until
	}
	return now.Sub(heardAt) > options.SilentAfter
}

// AcquireVersion takes a place at a runner that serves the version; known tells
// whether any runner serves it at all.
func (p *Pool) AcquireVersion(now time.Time, version willowwick.VersionID, prefix uint64, exclude map[willowwick.EndpointID]bool) (slot *Slot, known bool) {
	return p.acquire(now, workKey{version: version}, Work{}, prefix, exclude, nil)
}

// AcquireService takes a place at an instance of a plain service.
func (p *Pool) AcquireService(now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool) (slot *Slot, known bool) {
	return p.acquire(now, workKey{service: service}, Work{}, 0, exclude, nil)
}

// AcquireAllowed takes a place at one of the service's endpoints that are allowed; known
// tells whether there is any such endpoint.
func (p *Pool) AcquireAllowed(
	now time.Time, service willowwick.ServiceID, work Work,
	exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) (slot *Slot, known bool) {
	return p.acquire(now, workKey{service: service}, work, 0, exclude, allow)
}

func (p *Pool) acquire(
	now time.Time, key workKey, work Work, prefix uint64,
	exclude map[willowwick.EndpointID]bool, allow func(willowwick.Endpoint) bool,
) (*Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.candidates[key]
	if set == nil {
		return nil, false
	}
	set.now, set.estimator, set.exclude, set.allow = now, p.estimatorFor(key.service, work), exclude, allow
	if len(exclude) > 0 && set.allExcluded() {
		// Every endpoint failed this request once; a second try beats none.
		set.exclude = nil
	}
	index := p.picker.Pick(now, set, prefix)
	if index == noCandidate && p.options.FallBackToEjected {
		set.allowEjected = true
		index = p.picker.Pick(now, set, prefix)
		set.allowEjected = false
	}
	if index == noCandidate {
		return nil, set.hasInService()
	}
	m := set.members[index]
	if m.inFlight == 0 {
		m.lastAliveAt = now
	}
	p.startColdPause(now, m)
	permission := p.options.Limits.Use(now, m.endpoint.ID)
	m.inFlight++
	m.sentSinceReport++
	p.occupied[m] = true
	p.inFlight++
	return &Slot{Endpoint: m.endpoint, pool: p, member: m, work: work, estimator: set.estimator, acquiredAt: now, permission: permission}, true
}

// estimatorFor is what the work's prompt asks of any of the service's endpoints.
func (p *Pool) estimatorFor(service willowwick.ServiceID, work Work) prefillEstimator {
	if len(work.Prompt) == 0 {
		return prefillEstimator{}
	}
	return prefillEstimator{work.Prompt, work.partHashes(), p.speeds[speedKey{service, work.Model}].secondsPerToken()}
}

// HasOpen reports whether one of the service's endpoints that are allowed may be given work; those that name limits do not
// count, since a permit may be denied.
func (p *Pool) HasOpen(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.anyMember(service, func(m *member) bool {
		return p.availability(now, m).reason == reasonNone && allow(m.endpoint) && !p.isColdPaused(now, m) && m.isOpen(now, p.options, false)
	})
}

// anyMember reports whether one of the service's endpoints is as asked.
func (p *Pool) anyMember(service willowwick.ServiceID, matches func(m *member) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.candidates[workKey{service: service}]
	return set != nil && slices.ContainsFunc(set.members, matches)
}

// HasInService reports whether one of the service's endpoints that are allowed is not leaving, in a hall that is not evacuated.
func (p *Pool) HasInService(service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.anyMember(service, func(m *member) bool { return m.isInService() && allow(m.endpoint) })
}

// InFlightWhere counts the places taken at those of the service's endpoints that are counted.
func (p *Pool) InFlightWhere(service willowwick.ServiceID, counts func(willowwick.Endpoint) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for m := range p.occupied {
		if m.endpoint.Service == service && counts(m.endpoint) {
			n += m.inFlight
		}
	}
	return n
}

// knownLoad is the last report, or only the slots once the report is too old to count.
func (m *member) knownLoad(now time.Time, options PoolOptions) willowwick.EndpointLoad {
	if now.Sub(m.load.At) < options.LoadMaxAge {
		return m.load
	}
	return willowwick.EndpointLoad{Endpoint: m.endpoint.ID, Slots: max(m.load.Slots, m.endpoint.Slots)}
}

func (m *member) isOpen(now time.Time, options PoolOptions, trusting bool) bool {
	if m.refusesWork(now) || !trusting && now.Before(m.ejectedUntil) {
		return false
	}
	if !trusting && options.SilentAfter > 0 && m.isSilentOrProbing(now, options) {
		return false
	}
	fresh := m.load.Slots > 0 && now.Sub(m.load.At) < options.LoadMaxAge
	if fresh {
		// The report counts everybody's requests; what was sent since is known only of oneself.
		return m.load.Running+m.load.Waiting+m.sentSinceReport < m.load.Slots+m.queueAllowance(options) && float64(m.inFlight) < max(m.limit, options.StartLimit)
	}
	return float64(m.inFlight) < m.limit
}
