package exchange

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// superseded: a later order replaced the one to this release, which was not known to have ended.
	superseded verdict = iota + 1
	// rolledBack: the release was found to be bad.
	rolledBack
	// completed: all requests of the service moved to the release.
	completed
)

// supersedeDelay is how long a release stays in use after a later order, while an update may arrive that its roll-out
// was completed: digests reach all boxes of a region within two gossip exchanges.
const supersedeDelay = 2 * time.Second

type (
	// verdict is the outcome of the roll-out to a release.
	verdict uint8

	// verdictRow is a verdict as sent to other boxes.
	verdictRow struct {
		Key     releaseKey
		Verdict verdict
	}

	// verdicts keep the outcomes of ended orders, whatever is ordered after them.
	verdicts map[releaseKey]datedVerdict

	// datedVerdict is a verdict with the time from which it applies, zero for immediately.
	datedVerdict struct {
		verdict verdict
		from    time.Time
	}
)

// set records a verdict that this box knows for certain.
func (v verdicts) set(key releaseKey, what verdict) {
	v[key] = datedVerdict{verdict: what}
}

// supersede records that a later order replaced the one to a release, which applies from a time on; a known outcome takes
// precedence.
func (v verdicts) supersede(key releaseKey, from time.Time) {
	if _, known := v[key]; !known {
		v[key] = datedVerdict{superseded, from}
	}
}

// merge takes the verdict of another box; an outcome takes precedence over superseded, and the first outcome over later
// ones.
func (v verdicts) merge(row verdictRow) {
	if held, known := v[row.Key]; !known || held.verdict == superseded && row.Verdict != superseded {
		v.set(row.Key, row.Verdict)
	}
}

// bannedReleases lists the releases of a service that get no requests.
func (v verdicts) bannedReleases(service willowwick.ServiceID, now time.Time) []willowwick.ReleaseID {
	var list []willowwick.ReleaseID
	for key, held := range v {
		if key.Service == service && held.verdict != completed && !now.Before(held.from) {
			list = append(list, key.Release)
		}
	}
	return list
}

// effectiveRows returns the verdicts that apply now, for other boxes.
func (v verdicts) effectiveRows(now time.Time) []verdictRow {
	var list []verdictRow
	for key, held := range v {
		if !now.Before(held.from) {
			list = append(list, verdictRow{Key: key, Verdict: held.verdict})
		}
	}
	return list
}
