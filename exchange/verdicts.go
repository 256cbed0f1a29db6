package exchange

import (
	"time"

	"github.com/willowwick/willowwick"
)

const (
	// givenUp: a later order took the place of the one to this release, which was not known to have ended.
	superseded verdict = iota + 1
	// rolledBack: it was found to be bad.
	rolledBack
	// completed: all of the service's requests moved to it.
	completed
)

// givenUpAfter is how long a release stays in use after a later order, while news may come that its roll-out was completed:
// digests are everywhere within two swaps.
const supersedeDelay = 2 * time.Second

type (
	// verdict is what became of a release.
	verdict uint8

	// verdictRow tells other boxes of one.
	verdictRow struct {
		Key     releaseKey
		Verdict verdict
	}

	// verdicts keep what became of releases whose orders have ended, whatever is ordered after them.
	verdicts map[releaseKey]datedVerdict

	// heldVerdict is a verdict with the time from which it holds, zero for one that does at once.
	datedVerdict struct {
		verdict verdict
		from    time.Time
	}
)

// set takes what this box knows for sure.
func (v verdicts) set(key releaseKey, what verdict) {
	v[key] = datedVerdict{verdict: what}
}

// giveUp notes that a later order came; what the release's own came to goes before that.
func (v verdicts) supersede(key releaseKey, now time.Time) {
	if _, known := v[key]; !known {
		v[key] = datedVerdict{superseded, now.Add(supersedeDelay)}
	}
}

// hear takes what another box knows; that a roll-out ended goes before that it was given up, and the first news of how
// before other ones.
func (v verdicts) merge(row verdictRow) {
	if held, known := v[row.Key]; !known || held.verdict == superseded && row.Verdict != superseded {
		v.set(row.Key, row.Verdict)
	}
}

// banned lists the releases of a service that get nothing.
func (v verdicts) bannedReleases(service willowwick.ServiceID, now time.Time) []willowwick.ReleaseID {
	var list []willowwick.ReleaseID
	for key, held := range v {
		if key.Service == service && held.verdict != completed && !now.Before(held.from) {
			list = append(list, key.Release)
		}
	}
	return list
}

// rows are the verdicts in force, for other boxes.
func (v verdicts) effectiveRows(now time.Time) []verdictRow {
	var list []verdictRow
	for key, held := range v {
		if !now.Before(held.from) {
			list = append(list, verdictRow{Key: key, Verdict: held.verdict})
		}
	}
	return list
}
