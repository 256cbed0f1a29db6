package ratelimit

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// ageTolerance is by how much the same moment may seem to differ between boxes: their ages grow by the time on the way.
	ageTolerance = 500 * time.Millisecond
	// neverMs is the age of what has not happened.
	neverMs = -1
)

type (
	// Row is the limit of an endpoint as boxes tell each other.
	Row struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
		Rate        willowwick.PerSecond
		NamedMs     int64 // ago
		EndedMs     int64 // ago; negative if it has not ended
	}

	// Updates is what boxes tell each other of limits: a sum over all that one knows, and all of it where the other's sum differs.
	Updates struct {
		Sum  uint64
		Rows []Row
	}

	// Call asks for permits.
	Call struct {
		Box    willowwick.BoxID // that asks
		Row    Row
		Wanted int
		// IsPassedOn says that another box was asked, which asks for it.
		IsPassedOn bool
	}

	// Reply answers a Call.
	Reply struct {
		Row     Row // as the box that grants knows the limit
		Permits int
		RetryMs int64 // until another question may be asked
	}
)

// unknownRow tells that nothing is known of an endpoint's limit.
func unknownRow(endpoint willowwick.EndpointID) Row {
	return Row{Endpoint: endpoint, NamedMs: neverMs, EndedMs: neverMs}
}

// row tells of a limit.
func (k *limit) row(endpoint willowwick.EndpointID, now time.Time) Row {
	row := Row{
		Endpoint: endpoint, Incarnation: k.incarnation, Rate: k.rate,
		NamedMs: now.Sub(k.namedAt).Milliseconds(), EndedMs: neverMs,
	}
	if !k.endedAt.IsZero() {
		row.EndedMs = now.Sub(k.endedAt).Milliseconds()
	}
	return row
}

// sum is the limit's part of a sum over limits. It leaves out times, which no two boxes know alike.
func (k *limit) sum(endpoint willowwick.EndpointID) uint64 {
	text := strconv.AppendInt([]byte(endpoint), int64(k.incarnation), 16)
	text = strconv.AppendUint(append(text, '/'), math.Float64bits(float64(k.rate)), 16)
	return xxhash.Sum64(strconv.AppendBool(append(text, '/'), k.isNamed()))
}

// UpdatesFor tells another box, whose sum is given, what this one knows.
func (l *Ledger) UpdatesFor(peerSum uint64, now time.Time) Updates {
	l.mu.Lock()
	defer l.mu.Unlock()
	updates := Updates{}
	for id, known := range l.limits {
		updates.Sum += known.sum(id)
	}
	if updates.Sum == peerSum {
		return updates
	}
	for id, known := range l.limits {
		updates.Rows = append(updates.Rows, known.row(id, now))
	}
	return updates
}

// Merge takes what another box told at the given time, and reports whether it is updates.
func (l *Ledger) Merge(updates Updates, source string, sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaitUntil = time.Time{}
	clear(l.awaitingFirstAnswer)
	isNew := false
	for _, row := range updates.Rows {
		isNew = l.mergeRow(row, source, sentAt) || isNew
	}
	return isNew
}

// mergeRow takes a row that was told at the given time; the caller holds the lock.
func (l *Ledger) mergeRow(row Row, source string, sentAt time.Time) bool {
	if row.Rate < 0 || row.NamedMs < 0 {
		return false // an unknownRow
	}
	known := l.limits[row.Endpoint]
	if known != nil && row.Incarnation < known.incarnation {
		return false
	}
	if known != nil && row.Incarnation > known.incarnation {
		delete(l.limits, row.Endpoint)
	}
	known = l.ensureLimit(row.Endpoint, row.Incarnation)
	before := *known
	known.mergeRate(row.Rate, sentAt.Add(-time.Duration(row.NamedMs)*time.Millisecond))
	if row.EndedMs >= 0 {
		if at := sentAt.Add(-time.Duration(row.EndedMs) * time.Millisecond); at.After(known.endedAt) {
			known.endedAt = at
		}
	}
	isNew := known.isNamed() != before.isNamed() || known.isNamed() && known.rate != before.rate
	if isNew {
		known.log(row.Endpoint, source)
	}
	return isNew
}

// mergeRate takes the rate that was named later; of two that were named at details the same time, the lower one.
func (k *limit) mergeRate(rate willowwick.PerSecond, at time.Time) {
	switch apart := at.Sub(k.namedAt); {
	case apart > ageTolerance:
		k.rate, k.namedAt = rate, at
	case apart >= -ageTolerance && rate < k.rate:
		k.rate = rate
	}
}
