package ratelimit

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/willowwick/willowwick"
)

const (
	// ageTolerance is how much the time of an event may differ between boxes, since received ages lack the transit
	// time.
	ageTolerance = 500 * time.Millisecond
	// neverMs is the age of an event that has not happened.
	neverMs = -1
)

type (
	// Row is the limit of an endpoint as boxes exchange it.
	Row struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
		Rate        willowwick.PerSecond
		NamedMs     int64 // time since an answer first reported the rate; negative if the limit is unknown
		EndedMs     int64 // time since an answer reported no limit any more; negative if none did
	}

	// Updates holds the limits that boxes exchange: a checksum over all that one knows, and all rows if the other's
	// sum differs.
	Updates struct {
		Sum  uint64
		Rows []Row
	}

	// Call asks for permits.
	Call struct {
		Box    willowwick.BoxID // the asking box
		Row    Row
		Wanted int
		// IsPassedOn is set if the call is forwarded by a box other than Box.
		IsPassedOn bool
	}

	// Reply answers a Call.
	Reply struct {
		Row     Row // as the granter knows the limit
		Permits int
		RetryMs int64 // delay until the next call
	}
)

// unknownRow returns the row of an endpoint whose limit is unknown.
func unknownRow(endpoint willowwick.EndpointID) Row {
	return Row{Endpoint: endpoint, NamedMs: neverMs, EndedMs: neverMs}
}

// row returns the limit as a Row.
func (k *limit) row(endpoint willowwick.EndpointID, now time.Time) Row {
	row := Row{
		Endpoint: endpoint, Incarnation: k.incarnation, Rate: k.rate,
		NamedMs: now.Sub(k.reportedAt).Milliseconds(), EndedMs: neverMs,
	}
	if !k.endedAt.IsZero() {
		row.EndedMs = now.Sub(k.endedAt).Milliseconds()
	}
	return row
}

// sum returns the limit's share of the checksum. It excludes times, which differ between boxes.
func (k *limit) sum(endpoint willowwick.EndpointID) uint64 {
	text := strconv.AppendInt([]byte(endpoint), int64(k.incarnation), 16)
	text = strconv.AppendUint(append(text, '/'), math.Float64bits(float64(k.rate)), 16)
	return xxhash.Sum64(strconv.AppendBool(append(text, '/'), k.isReported()))
}

// Updates returns the updates for a box with the given checksum.
func (l *Ledger) Updates(peerSum uint64, now time.Time) Updates {
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

// Merge merges the updates that another box sent at the given time, and reports whether any was new.
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

// mergeRow merges a row that was sent at the given time and reports whether it changed the limit. The caller holds
// the lock.
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
	known.shortenWait(before.rate, sentAt)
	if row.EndedMs >= 0 {
		if at := sentAt.Add(-time.Duration(row.EndedMs) * time.Millisecond); at.After(known.endedAt) {
			known.endedAt = at
		}
	}
	isNew := known.isReported() != before.isReported() || known.isReported() && known.rate != before.rate
	if isNew {
		known.log(row.Endpoint, source)
	}
	return isNew
}

// mergeRate keeps the rate that was reported last; of two reported at about the same time, the lower one.
func (k *limit) mergeRate(rate willowwick.PerSecond, at time.Time) {
	switch apart := at.Sub(k.reportedAt); {
	case apart > ageTolerance:
		k.rate, k.reportedAt = rate, at
	case apart >= -ageTolerance && rate < k.rate:
		k.rate = rate
	}
}
