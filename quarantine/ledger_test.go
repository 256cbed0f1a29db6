package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprintOf(body string) willowwick.Fingerprint {
	return willowwick.FingerprintOf("ada", "POST", "site.example", "/x/", []byte(body))
}

// crashAt returns a crash of an endpoint some milliseconds after testStart.
func crashAt(endpoint string, ms int) willowwick.EndpointCrash {
	return willowwick.EndpointCrash{
		Endpoint: willowwick.EndpointID(endpoint), Release: "v1", At: testStart.Add(time.Duration(ms) * time.Millisecond),
	}
}

// recordCrash records a crash under each of the requests.
func (l *Ledger) recordCrash(end willowwick.EndpointCrash, bodies ...string) {
	for _, body := range bodies {
		l.RecordCrash(willowwick.PoisonRequest{Request: fingerprintOf(body), Account: "ada"}, end)
	}
}

func detailsOf(body string) willowwick.PoisonRequest {
	return willowwick.PoisonRequest{Request: fingerprintOf(body), Account: "ada"}
}

func (l *Ledger) refuses(body string) bool {
	return l.Refuses(fingerprintOf(body))
}

func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	l := New()
	assert.True(t, l.IsEmpty())
	l.recordCrash(crashAt("a", 0), "harmful", "other")
	l.recordCrash(crashAt("b", 2000), "harmful")
	l.recordCrash(crashAt("b", 2001), "harmful") // reported twice
	assert.False(t, l.refuses("harmful"))
	l.recordCrash(crashAt("c", 4000), "harmful")
	assert.True(t, l.refuses("harmful"))
	assert.False(t, l.refuses("other"))
	again := crashAt("a", 5000)
	again.Incarnation = 2
	l.recordCrash(again, "other")
	_, refused := l.Counts()
	assert.Equal(t, 1, refused)
}

// A request that runs beside a poison request shares its crashes; the poison request also has crashes that the other
// one lacks.
func TestRequestsRunningBesidePoisonRequestAreNotRefused(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.recordCrash(crashAt(endpoint, 100*i), "harmful", "victim")
	}
	assert.True(t, l.refuses("victim"), "same crashes so far")
	l.recordCrash(crashAt("d", 400), "harmful")
	assert.True(t, l.refuses("harmful"))
	assert.False(t, l.refuses("victim"))
}

// Of two requests with the same three crashes one may be innocent: each gets one trial.
func TestRequestsWithSameCrashesGetOneTrial(t *testing.T) {
	l := New()
	releases := []willowwick.ReleaseID{"v1"}
	for i, endpoint := range []string{"a", "b", "c"} {
		l.recordCrash(crashAt(endpoint, 2000*i), "harmful", "victim")
	}
	later := testStart.Add(10 * time.Second)
	_, isAllowed := l.AllowTrial(detailsOf("victim"), releases, later)
	require.True(t, isAllowed)
	l.RecordAnswer(fingerprintOf("victim"), later)
	assert.False(t, l.refuses("victim"))
	assert.True(t, l.refuses("harmful"))
	_, isAllowed = l.AllowTrial(detailsOf("harmful"), releases, later)
	assert.False(t, isAllowed, "no other possible cause is left")
}

func TestCompleteAnswerClearsRequest(t *testing.T) {
	l := New()
	l.recordCrash(crashAt("a", 0), "popular")
	l.recordCrash(crashAt("b", 1), "popular")
	l.RecordAnswer(fingerprintOf("popular"), testStart.Add(20*time.Millisecond))
	l.recordCrash(crashAt("c", 2), "popular")
	assert.False(t, l.refuses("popular"), "crashed before the answer")
	for i, endpoint := range []string{"d", "e", "f"} {
		l.recordCrash(crashAt(endpoint, 3000+i), "popular")
	}
	require.True(t, l.refuses("popular"))
	for _, record := range l.PendingWrites() {
		l.MarkWritten(record)
	}
	other := New()
	other.Merge(l.UpdatesSince(Position{}, "boot", "other", testStart.Add(3010*time.Millisecond)), "own", testStart.Add(3010*time.Millisecond))
	require.True(t, other.refuses("popular"))
	l.RecordAnswer(fingerprintOf("popular"), testStart.Add(3100*time.Millisecond))
	assert.False(t, l.refuses("popular"), "a request under way elsewhere was answered")
	due := l.PendingWrites()
	require.Len(t, due, 1)
	assert.Empty(t, due[0].Crashes, "the stored record is dropped")
	other.Merge(l.UpdatesSince(Position{}, "boot", "other", testStart.Add(3110*time.Millisecond)), "own", testStart.Add(3110*time.Millisecond))
	assert.False(t, other.refuses("popular"))
	assert.Empty(t, other.PendingWrites(), "the box that wrote the record drops it")
}

// Many endpoints that crash at once rather point to a failure of their own, and a popular request runs on all of
// them.
func TestRequestWithSimultaneousCrashesGetsOneTrial(t *testing.T) {
	l := New()
	releases := []willowwick.ReleaseID{"v1"}
	for i, endpoint := range []string{"a", "b", "c", "d"} {
		l.recordCrash(crashAt(endpoint, i), "popular")
		l.recordCrash(crashAt("other-"+endpoint, 900*i), "harmful")
	}
	_, isAllowed := l.AllowTrial(detailsOf("popular"), releases, testStart.Add(time.Second))
	assert.False(t, isAllowed, "some boxes may not refuse it yet")
	later := testStart.Add(8 * time.Second)
	_, isAllowed = l.AllowTrial(detailsOf("popular"), releases, later)
	assert.True(t, isAllowed)
	_, isAllowed = l.AllowTrial(detailsOf("popular"), releases, later)
	assert.False(t, isAllowed, "once")
	_, isAllowed = l.AllowTrial(detailsOf("harmful"), releases, later)
	assert.False(t, isAllowed, "crashes came one after the other")
	l.RecordAnswer(fingerprintOf("popular"), later)
	assert.False(t, l.refuses("popular"))
}

func TestRefusedRequestGetsOneTrialOnNewRelease(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.recordCrash(crashAt(endpoint, 1000*i), "harmful")
	}
	releases := []willowwick.ReleaseID{"v1", "v2"}
	later := testStart.Add(10 * time.Second)
	release, isAllowed := l.AllowTrial(detailsOf("harmful"), releases, later)
	assert.True(t, isAllowed)
	assert.Equal(t, willowwick.ReleaseID("v2"), release)
	end := crashAt("d", 10_100)
	end.Release = "v2"
	l.recordCrash(end, "harmful")
	_, isAllowed = l.AllowTrial(detailsOf("harmful"), releases, later.Add(time.Minute))
	assert.False(t, isAllowed)
	assert.True(t, l.refuses("harmful"))
	restarted := New()
	restarted.Restore(l.PendingWrites(), later)
	_, isAllowed = restarted.AllowTrial(detailsOf("harmful"), releases, later.Add(time.Minute))
	assert.False(t, isAllowed, "a restarted box knows the trial")
}

// Boxes must come to the same decisions in whatever order updates arrive, also through a third box and across restarts.
func TestBoxesConvergeForAnyUpdateOrder(t *testing.T) {
	const boxes, steps = 4, 120
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, seed))
		ledgers, peers, boots := make([]*Ledger, boxes), make([]*Peers, boxes), make([]int, boxes)
		start := func(box int) {
			boots[box]++
			ledgers[box] = New()
			peers[box] = NewPeers(ledgers[box], willowwick.BootID(fmt.Sprint(box, "-", boots[box])))
		}
		for box := range boxes {
			start(box)
		}
		now := testStart
		exchange := func(from, to int, isLost bool) {
			call := peers[from].NewCall(fmt.Sprint(to), now)
			answer, _ := peers[to].Answer(call, fmt.Sprint(from), now)
			if !isLost {
				peers[from].HandleAnswer(call, answer, fmt.Sprint(to), peers[to].boot, now)
			}
		}
		for step := range steps {
			now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			at := random.IntN(boxes)
			body := fmt.Sprint("body ", random.IntN(3))
			switch random.IntN(10) {
			case 0:
				ledgers[at].RecordAnswer(fingerprintOf(body), now)
			case 1, 2, 3:
				ledgers[at].recordCrash(crashAt(fmt.Sprint("e", step), int(now.Sub(testStart).Milliseconds())), body)
			case 4:
				if random.IntN(5) == 0 {
					// Its neighbors know all that it knew.
					for to := range ledgers {
						exchange(at, to, false)
					}
					start(at)
				}
			default:
				exchange(at, random.IntN(boxes), random.IntN(4) == 0)
			}
		}
		for range 3 {
			for from := range ledgers {
				for to := range ledgers {
					exchange(from, to, false)
				}
			}
		}
		for _, l := range ledgers[1:] {
			assert.Equal(t, ledgers[0].refused, l.refused, "seed %d", seed)
		}
	}
}

func TestUpdatesAreSentOnce(t *testing.T) {
	a, b := New(), New()
	a.recordCrash(crashAt("a", 0), "one", "two")
	updates := a.UpdatesSince(Position{}, "boot", "b", testStart)
	require.Len(t, updates.Ends, 1)
	assert.Len(t, updates.Ends[0].Requests, 2, "one row per crash, not per request")
	assert.True(t, b.Merge(updates, "a", testStart))
	assert.False(t, b.Merge(updates, "a", testStart))
	assert.Empty(t, b.UpdatesSince(Position{}, "", "a", testStart).Ends, "not sent back to the sender")
	assert.Empty(t, a.UpdatesSince(updates.Position, "boot", "b", testStart).Ends)
	assert.Equal(t, Updates{}, New().UpdatesSince(Position{}, "boot", "b", testStart), "empty without crashes")
}

// A caller can fill the ledger with requests that have one crash, but must not evict a request that has more.
func TestLedgerSizeIsBounded(t *testing.T) {
	l := New()
	l.recordCrash(crashAt("a", 0), "harmful")
	l.recordCrash(crashAt("b", 1000), "harmful")
	for i := range 2 * maxSuspects {
		l.recordCrash(crashAt("c", 2000+i), fmt.Sprint("body ", i))
	}
	suspected, _ := l.Counts()
	assert.Equal(t, maxSuspects, suspected)
	assert.LessOrEqual(t, len(l.history.entries), maxHistory)
	l.recordCrash(crashAt("d", 3000), "harmful")
	assert.True(t, l.refuses("harmful"))
	l.Expire(testStart)
	l.Expire(testStart.Add(2 * suspectTTL))
	suspected, refused := l.Counts()
	assert.Equal(t, 1, suspected)
	assert.Equal(t, 1, refused)
	l.Expire(testStart.Add(2 * refusedTTL))
	assert.True(t, l.IsEmpty())
	assert.False(t, l.refuses("harmful"))
}

func TestRestartedBoxRefusesStoredRequests(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.recordCrash(crashAt(endpoint, 1000*i), "harmful")
	}
	due := l.PendingWrites()
	require.Len(t, due, 1)
	assert.Len(t, due[0].Crashes, 3)
	assert.Equal(t, willowwick.AccountID("ada"), due[0].Account)
	l.MarkWritten(due[0])
	assert.Empty(t, l.PendingWrites())
	restarted := New()
	restarted.Restore(due, testStart.Add(time.Minute))
	assert.True(t, restarted.refuses("harmful"))
	assert.Empty(t, restarted.PendingWrites())
	late := New()
	late.Restore(due, testStart.Add(2*refusedTTL))
	assert.False(t, late.refuses("harmful"))
	require.Len(t, late.PendingWrites(), 1)
	assert.Empty(t, late.PendingWrites()[0].Crashes, "expired records are dropped from the store")
}

// A request may be answered completely while its refusal is being written to the store.
func TestChangeDuringStoreWriteIsWrittenToo(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.recordCrash(crashAt(endpoint, 1000*i), "popular")
	}
	due := l.PendingWrites()
	require.Len(t, due, 1)
	l.RecordAnswer(fingerprintOf("popular"), testStart.Add(5*time.Second))
	l.MarkWritten(due[0])
	due = l.PendingWrites()
	require.Len(t, due, 1)
	assert.Empty(t, due[0].Crashes)
	l.MarkWritten(due[0])
	assert.Empty(t, l.PendingWrites())
}

func TestFingerprintsDifferBetweenCallersAndRequests(t *testing.T) {
	same := willowwick.FingerprintOf("ada", "POST", "host", "/x", []byte("b"))
	assert.Equal(t, same, willowwick.FingerprintOf("ada", "POST", "host", "/x", []byte("b")))
	for _, other := range []willowwick.Fingerprint{
		willowwick.FingerprintOf("bob", "POST", "host", "/x", []byte("b")),
		willowwick.FingerprintOf("ada", "POST", "hos", "t/x", []byte("b")),
		willowwick.FingerprintOf("ada", "POST", "host", "/", []byte("xb")),
		willowwick.FingerprintOf("ada", "POST", "host", "/x", []byte("c")),
	} {
		assert.NotEqual(t, same, other)
	}
	parsed, err := willowwick.ParseFingerprint(same.String())
	require.NoError(t, err)
	assert.Equal(t, same, parsed)
	_, err = willowwick.ParseFingerprint("12")
	assert.Error(t, err)
}

// Each trial may crash one more endpoint with all its requests, and a fleet may move to a new release several times a
// day.
func TestTrialsBackOff(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.recordCrash(crashAt(endpoint, 1000*i), "harmful")
	}
	tried := 0
	const most = 2 // of the three sends that operators allow, one is left for boxes that have not received the updates yet
	try := func(at int) {
		release := willowwick.ReleaseID(fmt.Sprint("v", 2+at/10))
		if _, isAllowed := l.AllowTrial(detailsOf("harmful"), []willowwick.ReleaseID{"v1", release}, testStart.Add(time.Duration(at)*time.Second)); isAllowed {
			tried++
			end := crashAt(fmt.Sprint("end ", at), 1000*at+100)
			end.Release = release
			l.recordCrash(end, "harmful")
		}
	}
	for second := range 90 {
		try(second)
	}
	assert.Equal(t, most, tried)
	try(3 * 3600)
	assert.Equal(t, most+1, tried, "a later release gets a trial")
}

// Slots are scarce after a rack failure: a trial may get none, or no answer in time.
func TestInconclusiveTrialIsRepeated(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.recordCrash(crashAt(endpoint, i), "popular")
	}
	releases := []willowwick.ReleaseID{"v1"}
	_, isAllowed := l.AllowTrial(detailsOf("popular"), releases, testStart.Add(3*time.Second))
	require.True(t, isAllowed)
	_, isAllowed = l.AllowTrial(detailsOf("popular"), releases, testStart.Add(10*time.Second))
	assert.False(t, isAllowed)
	_, isAllowed = l.AllowTrial(detailsOf("popular"), releases, testStart.Add(time.Minute))
	assert.True(t, isAllowed)
	restarted := New()
	restarted.Restore(l.PendingWrites(), testStart.Add(time.Minute))
	_, isAllowed = restarted.AllowTrial(detailsOf("popular"), releases, testStart.Add(2*time.Minute))
	assert.False(t, isAllowed, "a restarted box knows the number of trials")
}
