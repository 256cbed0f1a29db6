package reservation

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// maxLimit is the number of rejections a second from which on a limit is ignored: no endpoint gets as many requests.
	maxLimit willowwick.PerSecond = 10_000
	// endDelay is how long reservations are needed after the limit was last named: the endpoints of a service cease to name it one
	// after the other.
	endDelay = time.Second
)

type (
	// Ledger holds the limits on rejections that services' endpoints name, as one box knows them.
	Ledger struct {
		// mayBeLimited is false until a limit is known. It is read for each candidate of each request.
		mayBeLimited atomic.Bool

		mu       sync.Mutex
		services map[willowwick.ServiceID]*limit
	}

	// limit is the limit of one service's endpoints.
	limit struct {
		rate    willowwick.PerSecond // rejections a second that an endpoint bears
		namedAt time.Time            // when an answer last named it
		endedAt time.Time            // when an answer to a later request named none; counts if after namedAt
	}

	// Row is a service's limit as boxes send it to each other.
	Row struct {
		Service willowwick.ServiceID
		Rate    willowwick.PerSecond
		NamedMs int64 // time since an answer last named the limit
		EndedMs int64 // time since an answer named none any more; negative if none did
	}
)

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{services: map[willowwick.ServiceID]*limit{}}
}

// Observe records the limit in an answer of one of the service's endpoints to a request that was sent at the given time, and
// reports whether reservations are needed from now on or no longer. An answer without a limit ends one only if its request was
// sent after the limit was last named.
func (l *Ledger) Observe(now, sentAt time.Time, service willowwick.ServiceID, named willowwick.RateLimit) (isChanged bool) {
	if !named.IsSet && !l.mayBeLimited.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.services[service]
	switch {
	case named.Unreadable != "":
		slog.Debug("cannot parse limit on rejections", "service", service, "text", named.Unreadable)
		return false
	case named.IsSet:
		wasNamed := known != nil && known.isNamed()
		known = l.ensure(service)
		known.rate, known.namedAt = named.Rate, now
		if !wasNamed {
			slog.Info("endpoints name a limit on rejections", "service", service, "per_second", float64(named.Rate), "source", "answer")
		}
		return !wasNamed
	case known != nil && known.isNamed() && sentAt.After(known.namedAt):
		known.endedAt = now
		slog.Info("endpoints name no limit on rejections any more", "service", service, "source", "answer")
		return true
	}
	return false
}

// ensure returns the service's limit and creates it if there is none; the caller holds the lock.
func (l *Ledger) ensure(service willowwick.ServiceID) *limit {
	known := l.services[service]
	if known == nil {
		known = &limit{}
		l.services[service] = known
		l.mayBeLimited.Store(true)
	}
	return known
}

// isNamed reports whether the newest answers name the limit.
func (k *limit) isNamed() bool {
	return k.namedAt.After(k.endedAt)
}

// isInForce reports whether requests need reservations.
func (k *limit) isInForce(now time.Time) bool {
	return k.rate < maxLimit && !k.namedAt.IsZero() && (k.isNamed() || now.Sub(k.namedAt) < endDelay)
}

// IsRequired reports whether requests to the service's endpoints need reservations.
func (l *Ledger) IsRequired(now time.Time, service willowwick.ServiceID) bool {
	if !l.mayBeLimited.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.services[service]
	return known != nil && known.isInForce(now)
}

// Required lists the services whose endpoints need reservations.
func (l *Ledger) Required(now time.Time) []willowwick.ServiceID {
	if !l.mayBeLimited.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []willowwick.ServiceID
	for service, known := range l.services {
		if known.isInForce(now) {
			list = append(list, service)
		}
	}
	return list
}

// Rows returns the limits for other boxes.
func (l *Ledger) Rows(now time.Time) []Row {
	if !l.mayBeLimited.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := make([]Row, 0, len(l.services))
	for service, known := range l.services {
		row := Row{Service: service, Rate: known.rate, NamedMs: now.Sub(known.namedAt).Milliseconds(), EndedMs: -1}
		if !known.endedAt.IsZero() {
			row.EndedMs = now.Sub(known.endedAt).Milliseconds()
		}
		rows = append(rows, row)
	}
	return rows
}

// Merge applies the limits that another box sent at the given time, and reports whether reservations are needed from now on or
// no longer.
func (l *Ledger) Merge(rows []Row, source string, sentAt time.Time) (isChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		if row.NamedMs < 0 || row.Rate < 0 {
			continue
		}
		known := l.ensure(row.Service)
		wasNamed := known.isNamed()
		if at := sentAt.Add(-time.Duration(row.NamedMs) * time.Millisecond); at.After(known.namedAt) {
			known.rate, known.namedAt = row.Rate, at
		}
		if at := sentAt.Add(-time.Duration(row.EndedMs) * time.Millisecond); row.EndedMs >= 0 && at.After(known.endedAt) {
			known.endedAt = at
		}
		if known.isNamed() != wasNamed {
			isChanged = true
			slog.Info("limit on rejections changed", "service", row.Service, "per_second", float64(row.Rate), "named", known.isNamed(), "source", source)
		}
	}
	return isChanged
}
