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
	// ringPoints is the number of points of an endpoint on the consistent-hashing ring.
	ringPoints = 16
	// startLimit is the default of PoolOptions.StartLimit.
	startLimit = 4
	// loadMaxAge is the default of PoolOptions.LoadMaxAge.
	loadMaxAge = 10 * time.Second
)

type (
	// Pool tracks the endpoints, their load and their health, and hands out slots at them.
	Pool struct {
		mu            sync.Mutex
		picker        willowwick.Picker
		options       PoolOptions
		endpoints     map[willowwick.EndpointID]*member
		byHash        map[uint32]*member
		candidates    map[workKey]*candidateSet
		inFlight      int
		occupied      map[*member]bool        // endpoints with slots in use, including unlisted ones
		lingering     map[*member][]time.Time // until when requests that were broken off count, where they do
		speeds        map[speedKey]*prefillSpeed
		lateness      map[speedKey]*Lateness // of first events against their forecasts
		evacuated     map[willowwick.HallID]bool
		reportedState map[willowwick.EndpointID]*reportedState
		// coldPauses holds the pause between this box's requests to one cold endpoint, by service.
		coldPauses map[willowwick.ServiceID]time.Duration
		// rank is this box's place among the fleet's boxes, of which there are as many; 0 if not known.
		rank, boxes int
	}

	// PoolOptions bound the work that a pool gives to endpoints. StartLimit and LoadMaxAge have defaults, which apply
	// if they are 0.
	PoolOptions struct {
		StartLimit float64       // initial limit of this box's concurrent requests at one endpoint
		LoadMaxAge time.Duration // how long a load report is valid
		// FallBackToEjected gives work to ejected, probed and silent endpoints if no other is open. Callers must bound
		// their attempts themselves.
		FallBackToEjected bool
		// QueueShare bounds the requests queued at an endpoint beyond its slots, as a share of the slots; the rest
		// waits in the fair queue of this box. If 0, only the adaptive limit bounds them.
		QueueShare float64
		// SilentAfter is how long an endpoint with work may be silent before others are preferred; 0 means forever.
		SilentAfter time.Duration
		// Limits tracks the endpoints' rate limits over all boxes; nil if no endpoint declares one.
		Limits willowwick.RateLimiter
		// Reservations says which endpoints need reservations; nil if none does.
		Reservations willowwick.Reserver
	}

	// member is an endpoint with what this box knows of it.
	member struct {
		endpoint          willowwick.Endpoint
		reportedState     *reportedState
		load              willowwick.EndpointLoad
		inFlight          int // slots in use by this box
		unreserved        int // those of them whose requests still wait for a reservation
		sentSinceReport   int // slots acquired since the last load report, without those released again
		failures          int // consecutive ones
		ejectedUntil      time.Time
		evacuated         bool    // its hall is evacuated
		limit             float64 // adaptive limit of this box's concurrent requests
		hash              uint64  // of the endpoint's ID
		lastFailureRate   float64
		lastFailureRateAt time.Time
		lastAliveAt       time.Time // when data last arrived, or when it got work after having none
		nextColdSendAt    time.Time // when this box may send a cold endpoint its next request; zero if not yet chosen
		hasAnswered       bool      // this box has had an answer of it
		isProbing         bool      // the ejection has run out, and one request probes the endpoint
		prefillQueue      prefillQueue
	}
)

// NewPool returns an empty pool that selects endpoints by the picker.
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
	if options.Reservations == nil {
		options.Reservations = unreserved{}
	}
	return &Pool{
		picker: picker, options: options,
		endpoints: map[willowwick.EndpointID]*member{}, candidates: map[workKey]*candidateSet{}, occupied: map[*member]bool{}, lingering: map[*member][]time.Time{},
		reportedState: map[willowwick.EndpointID]*reportedState{}, speeds: map[speedKey]*prefillSpeed{}, lateness: map[speedKey]*Lateness{},
	}
}

// Update replaces the list of endpoints; endpoints that are no longer listed get no new work.
func (p *Pool) Update(listing []willowwick.Endpoint) {
	p.options.Limits.Retain(listing)
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
		m.endpoint, m.reportedState = endpoint, p.reportedStateOf(endpoint)
		m.evacuated = p.evacuated[endpoint.Hall]
		known[endpoint.ID] = m
		byHash[uint32(m.hash)] = m
	}
	p.expireReportedStates(clock.Now(), known)
	p.endpoints, p.byHash = known, byHash
	p.rebuild()
}

// hasRestarted reports whether an entry is of another incarnation of its endpoint, so that what is known of the old
// one doesn't apply.
func hasRestarted(old, entry willowwick.Endpoint) bool {
	return old.Incarnation != 0 && old.Incarnation != entry.Incarnation
}

// rebuild rebuilds the candidate sets from the endpoints. The caller holds the lock.
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

// ForgetFailures drops what failed requests told of the endpoints: the fault was not theirs.
func (p *Pool) ForgetFailures() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.endpoints {
		m.failures, m.ejectedUntil, m.isProbing, m.lastFailureRate = 0, time.Time{}, false, 0
		m.limit = max(m.limit, p.options.StartLimit)
	}
}

// Report applies a load report, unless it is older than the last one.
func (p *Pool) Report(load willowwick.EndpointLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.endpoints[load.Endpoint]
	if m == nil || load.At.Before(m.load.At) {
		return
	}
	m.load = load
	m.sentSinceReport = 0
	m.reportedState.draining = m.reportedState.draining || load.Draining
}

// ApplyPrefillUpdate applies another box's prefill update to its endpoint.
func (p *Pool) ApplyPrefillUpdate(now time.Time, update PrefillUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byHash[update.Endpoint]
	if m == nil {
		return
	}
	m.prefillQueue.applyUpdate(now, update)
	m.prefillQueue.markCached(now, update.Parts)
}

// PrefillBacklog returns the forecast time until the endpoint has read all prompts sent to it; 0 if the endpoint is
// unknown.
func (p *Pool) PrefillBacklog(now time.Time, id willowwick.EndpointID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.endpoints[id]; m != nil {
		return m.prefillQueue.backlog(now)
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

// SetEvacuated replaces the set of evacuated halls, whose endpoints get no new work; running work continues.
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

// Endpoints lists the endpoints; those known to be draining have Leaving set, whatever their entries say.
func (p *Pool) Endpoints() []willowwick.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]willowwick.Endpoint, 0, len(p.endpoints))
	for _, m := range p.endpoints {
		endpoint := m.endpoint
		endpoint.Leaving = m.reportedState.draining
		list = append(list, endpoint)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// InFlight returns the number of slots in use.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// queueAllowance returns how many requests beyond its slots the endpoint may hold.
func (m *member) queueAllowance(options PoolOptions) int {
	if options.QueueShare == 0 {
		return int(m.limit)
	}
	return int(min(m.limit, options.QueueShare*float64(m.load.Slots)))
}

// isInService reports whether the endpoint may be given new work at all: it is not draining, no other endpoint
// answers at its address, and its hall is not evacuated.
func (m *member) isInService() bool {
	return !m.reportedState.draining && !m.reportedState.misplaced && !m.evacuated
}

// refusesWork reports whether the endpoint accepts no work now, whatever its load: it is out of service or in
// backoff.
func (m *member) refusesWork(now time.Time) bool {
	return !m.isInService() || m.reportedState.isInBackoff(now)
}

// isSilentOrProbing reports whether the endpoint has work and is silent, or is being probed after an ejection.
func (m *member) isSilentOrProbing(now time.Time, options PoolOptions) bool {
	if m.inFlight == 0 {
		return false
	}
	return m.isProbing || m.isSilent(now, options)
}

// isSilent reports whether the endpoint has been silent for longer than SilentAfter while it is not reading a prompt.
func (m *member) isSilent(now time.Time, options PoolOptions) bool {
	lastAliveAt := m.lastAliveAt
	if until := m.prefillQueue.busyUntil(); until.After(lastAliveAt) {
		lastAliveAt = until
	}
	return now.Sub(lastAliveAt) > options.SilentAfter
}

// AcquireVersion acquires a slot at a runner that serves the version. If none is open, slot is nil, and known reports
// whether any runner that serves the version is in service.
func (p *Pool) AcquireVersion(now time.Time, version willowwick.VersionID, prefix uint64, exclude map[willowwick.EndpointID]bool) (slot *Slot, known bool) {
	return p.acquire(now, workKey{version: version}, Work{}, prefix, exclude, nil)
}

// AcquireService acquires a slot at an instance of a plain service; the results are those of AcquireVersion.
func (p *Pool) AcquireService(now time.Time, service willowwick.ServiceID, exclude map[willowwick.EndpointID]bool) (slot *Slot, known bool) {
	return p.acquire(now, workKey{service: service}, Work{}, 0, exclude, nil)
}

// AcquireAllowed acquires a slot at one of the service's allowed endpoints; the results are those of AcquireVersion.
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
		// The request has already failed at every endpoint in service; a second attempt is better than none.
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
	slot := &Slot{pool: p, work: work, estimator: set.estimator, acquiredAt: now}
	slot.occupy(now, m)
	if p.options.Reservations.IsRequired(now, m.endpoint.Service) {
		slot.isUnreserved = true
		m.unreserved++
	}
	return slot, true
}

// estimatorFor returns the prefill estimator for work at the endpoints of a service.
func (p *Pool) estimatorFor(service willowwick.ServiceID, work Work) prefill {
	if len(work.Prompt) == 0 {
		return prefill{}
	}
	return prefill{work.Prompt, work.partHashes(), p.speeds[speedKey{service, work.Model}].secondsPerToken()}
}

// HasOpen reports whether one of the service's allowed endpoints is open; those with rate limits do not count, since
// a permit may be denied.
func (p *Pool) HasOpen(now time.Time, service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.anyMember(service, func(m *member) bool {
		return p.availability(now, m).reason == reasonNone && allow(m.endpoint) && !p.isColdPaused(now, m) && m.isOpen(now, p.options, false)
	})
}

// anyMember reports whether one of the service's endpoints matches; it acquires the lock.
func (p *Pool) anyMember(service willowwick.ServiceID, matches func(m *member) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.candidates[workKey{service: service}]
	return set != nil && slices.ContainsFunc(set.members, matches)
}

// HasInService reports whether one of the service's allowed endpoints is in service.
func (p *Pool) HasInService(service willowwick.ServiceID, allow func(willowwick.Endpoint) bool) bool {
	return p.anyMember(service, func(m *member) bool { return m.isInService() && allow(m.endpoint) })
}

// InFlightWhere counts the slots in use at the service's endpoints for which counts returns true.
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

// knownLoad returns the last load report, or one with only the number of slots if the report is too old.
func (m *member) knownLoad(now time.Time, options PoolOptions) willowwick.EndpointLoad {
	if now.Sub(m.load.At) < options.LoadMaxAge {
		return m.load
	}
	return willowwick.EndpointLoad{Endpoint: m.endpoint.ID, Slots: max(m.load.Slots, m.endpoint.Slots)}
}

// isOpen reports whether the endpoint may be given one more request of this box now, apart from rate limits and the
// pauses of cold endpoints. If allowEjected, ejected, probed and silent endpoints count as well.
func (m *member) isOpen(now time.Time, options PoolOptions, allowEjected bool) bool {
	if m.refusesWork(now) || !allowEjected && now.Before(m.ejectedUntil) {
		return false
	}
	if !allowEjected && options.SilentAfter > 0 && m.isSilentOrProbing(now, options) {
		return false
	}
	fresh := m.load.Slots > 0 && now.Sub(m.load.At) < options.LoadMaxAge
	if fresh {
		// The report counts the requests of all boxes; of those sent since, only this box's own are known.
		return m.load.Running+m.load.Waiting+m.sentSinceReport < m.load.Slots+m.queueAllowance(options) && float64(m.inFlight) < max(m.limit, options.StartLimit)
	}
	return float64(m.inFlight) < m.limit
}
