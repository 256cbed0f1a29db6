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

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func requestOf(body string) willowwick.Fingerprint {
	return willowwick.FingerprintOf("ada", "POST", "site.example", "/x/", []byte(body))
}

// endAt is the end of an endpoint some milliseconds after the begin.
func endAt(endpoint string, ms int) willowwick.EndpointEnd {
	return willowwick.EndpointEnd{
		Endpoint: willowwick.EndpointID(endpoint), Release: "v1", At: began.Add(time.Duration(ms) * time.Millisecond),
	}
}

// note notes the end of an endpoint under each of the requests.
func (l *Ledger) note(end willowwick.EndpointEnd, bodies ...string) {
	for _, body := range bodies {
		l.RecordCrash(willowwick.HarmfulRequest{Request: requestOf(body), Account: "ada"}, end)
	}
}

func aboutOf(body string) willowwick.HarmfulRequest {
	return willowwick.HarmfulRequest{Request: requestOf(body), Account: "ada"}
}

func (l *Ledger) refuses(body string) bool {
	return l.Refuses(requestOf(body))
}

func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	l := New()
	assert.True(t, l.IsEmpty())
	l.note(endAt("a", 0), "harmful", "other")
	l.note(endAt("b", 2000), "harmful")
	l.note(endAt("b", 2001), "harmful") // seen twice
	assert.False(t, l.refuses("harmful"))
	l.note(endAt("c", 4000), "harmful")
	assert.True(t, l.refuses("harmful"))
	assert.False(t, l.refuses("other"))
	again := endAt("a", 5000)
	again.Incarnation = 2
	l.note(again, "other")
	_, refused := l.Counts()
	assert.Equal(t, 1, refused)
}

// The requests at work beside a harmful one are at each of the ends that they were sent to anew; what they have no end of, it has.
func TestRequestsRunningBesidePoisonRequestAreNotRefused(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.note(endAt(endpoint, 100*i), "harmful", "victim")
	}
	assert.True(t, l.refuses("victim"), "nothing tells them apart yet")
	l.note(endAt("d", 400), "harmful")
	assert.True(t, l.refuses("harmful"))
	assert.False(t, l.refuses("victim"))
}

// Of two requests that were at the same three ends one may be as good as any other: each is tried once.
func TestRequestsWithSameCrashesGetOneTrial(t *testing.T) {
	l := New()
	releases := []willowwick.ReleaseID{"v1"}
	for i, endpoint := range []string{"a", "b", "c"} {
		l.note(endAt(endpoint, 2000*i), "harmful", "victim")
	}
	later := began.Add(10 * time.Second)
	_, isAllowed := l.AllowTrial(aboutOf("victim"), releases, later)
	require.True(t, isAllowed)
	l.RecordAnswer(requestOf("victim"), later)
	assert.False(t, l.refuses("victim"))
	assert.True(t, l.refuses("harmful"))
	_, isAllowed = l.AllowTrial(aboutOf("harmful"), releases, later)
	assert.False(t, isAllowed, "nothing else is left that may have done it")
}

func TestCompleteAnswerClearsRequest(t *testing.T) {
	l := New()
	l.note(endAt("a", 0), "popular")
	l.note(endAt("b", 1), "popular")
	l.RecordAnswer(requestOf("popular"), began.Add(20*time.Millisecond))
	l.note(endAt("c", 2), "popular")
	assert.False(t, l.refuses("popular"), "an end before the answer")
	for i, endpoint := range []string{"d", "e", "f"} {
		l.note(endAt(endpoint, 3000+i), "popular")
	}
	require.True(t, l.refuses("popular"))
	for _, record := range l.PendingWrites() {
		l.MarkWritten(record)
	}
	other := New()
	other.Merge(l.UpdatesSince(Position{}, "boot", "other", began.Add(3010*time.Millisecond)), "own", began.Add(3010*time.Millisecond))
	require.True(t, other.refuses("popular"))
	l.RecordAnswer(requestOf("popular"), began.Add(3100*time.Millisecond))
	assert.False(t, l.refuses("popular"), "one that was under way elsewhere was answered")
	due := l.PendingWrites()
	require.Len(t, due, 1)
	assert.Empty(t, due[0].Ends, "the store is told")
	other.Merge(l.UpdatesSince(Position{}, "boot", "other", began.Add(3110*time.Millisecond)), "own", began.Add(3110*time.Millisecond))
	assert.False(t, other.refuses("popular"))
	assert.Empty(t, other.PendingWrites(), "by the box that told it before")
}

// Many endpoints that end at once are rather a failure of theirs, and a popular request is at all of them.
func TestRequestWithSimultaneousCrashesGetsOneTrial(t *testing.T) {
	l := New()
	releases := []willowwick.ReleaseID{"v1"}
	for i, endpoint := range []string{"a", "b", "c", "d"} {
		l.note(endAt(endpoint, i), "popular")
		l.note(endAt("other-"+endpoint, 900*i), "harmful")
	}
	_, isAllowed := l.AllowTrial(aboutOf("popular"), releases, began.Add(time.Second))
	assert.False(t, isAllowed, "some boxes may not refuse it yet")
	later := began.Add(8 * time.Second)
	_, isAllowed = l.AllowTrial(aboutOf("popular"), releases, later)
	assert.True(t, isAllowed)
	_, isAllowed = l.AllowTrial(aboutOf("popular"), releases, later)
	assert.False(t, isAllowed, "once")
	_, isAllowed = l.AllowTrial(aboutOf("harmful"), releases, later)
	assert.False(t, isAllowed, "its ends came one after the other")
	l.RecordAnswer(requestOf("popular"), later)
	assert.False(t, l.refuses("popular"))
}

func TestRefusedRequestGetsOneTrialOnNewRelease(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.note(endAt(endpoint, 1000*i), "harmful")
	}
	releases := []willowwick.ReleaseID{"v1", "v2"}
	later := began.Add(10 * time.Second)
	release, isAllowed := l.AllowTrial(aboutOf("harmful"), releases, later)
	assert.True(t, isAllowed)
	assert.Equal(t, willowwick.ReleaseID("v2"), release)
	end := endAt("d", 10_100)
	end.Release = "v2"
	l.note(end, "harmful")
	_, isAllowed = l.AllowTrial(aboutOf("harmful"), releases, later.Add(time.Minute))
	assert.False(t, isAllowed)
	assert.True(t, l.refuses("harmful"))
	anew := New()
	anew.Restore(l.PendingWrites(), later)
	_, isAllowed = anew.AllowTrial(aboutOf("harmful"), releases, later.Add(time.Minute))
	assert.False(t, isAllowed, "nor by a box that starts anew")
}

// Boxes come to the same opinion in whatever order they hear of each other, also through a third one, and although some are
// started anew.
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
		now := began
		tell := func(from, to int, isLost bool) {
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
				ledgers[at].RecordAnswer(requestOf(body), now)
			case 1, 2, 3:
				ledgers[at].note(endAt(fmt.Sprint("e", step), int(now.Sub(began).Milliseconds())), body)
			case 4:
				if random.IntN(5) == 0 {
					// Its neighbours know what it knew, all of it told before.
					for to := range ledgers {
						tell(at, to, false)
					}
					start(at)
				}
			default:
				tell(at, random.IntN(boxes), random.IntN(4) == 0)
			}
		}
		for range 3 {
			for from := range ledgers {
				for to := range ledgers {
					tell(from, to, false)
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
	a.note(endAt("a", 0), "one", "two")
	news := a.UpdatesSince(Position{}, "boot", "b", began)
	require.Len(t, news.Ends, 1)
	assert.Len(t, news.Ends[0].Requests, 2, "a row for each end, not for each request")
	assert.True(t, b.Merge(news, "a", began))
	assert.False(t, b.Merge(news, "a", began))
	assert.Empty(t, b.UpdatesSince(Position{}, "", "a", began).Ends, "not told back to where it came from")
	assert.Empty(t, a.UpdatesSince(news.Position, "boot", "b", began).Ends)
	assert.Equal(t, Updates{}, New().UpdatesSince(Position{}, "boot", "b", began), "nothing on a calm day")
}

// A caller can fill the ledger with requests that were at an endpoint that ended once, and forces out nothing that counts.
func TestLedgerSizeIsBounded(t *testing.T) {
	l := New()
	l.note(endAt("a", 0), "harmful")
	l.note(endAt("b", 1000), "harmful")
	for i := range 2 * maxSuspects {
		l.note(endAt("c", 2000+i), fmt.Sprint("body ", i))
	}
	suspected, _ := l.Counts()
	assert.Equal(t, maxSuspects, suspected)
	assert.LessOrEqual(t, len(l.history.entries), maxHistory)
	l.note(endAt("d", 3000), "harmful")
	assert.True(t, l.refuses("harmful"))
	l.Expire(began)
	l.Expire(began.Add(2 * suspectTTL))
	suspected, refused := l.Counts()
	assert.Equal(t, 1, suspected)
	assert.Equal(t, 1, refused)
	l.Expire(began.Add(2 * refusedTTL))
	assert.True(t, l.IsEmpty())
	assert.False(t, l.refuses("harmful"))
}

func TestRestartedBoxRefusesStoredRequests(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.note(endAt(endpoint, 1000*i), "harmful")
	}
	due := l.PendingWrites()
	require.Len(t, due, 1)
	assert.Len(t, due[0].Ends, 3)
	assert.Equal(t, willowwick.AccountID("ada"), due[0].Account)
	l.MarkWritten(due[0])
	assert.Empty(t, l.PendingWrites())
	anew := New()
	anew.Restore(due, began.Add(time.Minute))
	assert.True(t, anew.refuses("harmful"))
	assert.Empty(t, anew.PendingWrites())
	late := New()
	late.Restore(due, began.Add(2*refusedTTL))
	assert.False(t, late.refuses("harmful"))
	require.Len(t, late.PendingWrites(), 1)
	assert.Empty(t, late.PendingWrites()[0].Ends, "what is too old is dropped at the store")
}

// A request may be answered whole while the store is told that it is refused.
func TestChangeDuringStoreWriteIsWrittenToo(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.note(endAt(endpoint, 1000*i), "popular")
	}
	due := l.PendingWrites()
	require.Len(t, due, 1)
	l.RecordAnswer(requestOf("popular"), began.Add(5*time.Second))
	l.MarkWritten(due[0])
	due = l.PendingWrites()
	require.Len(t, due, 1)
	assert.Empty(t, due[0].Ends)
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

// Each trial may end one more endpoint with all that is at work there, and a fleet may move to a new release several times a day.
func TestTrialsBackOff(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.note(endAt(endpoint, 1000*i), "harmful")
	}
	tried := 0
	const most = 2 // of the three sends that operators allow, one is left for boxes that have not been told
	try := func(at int) {
		release := willowwick.ReleaseID(fmt.Sprint("v", 2+at/10))
		if _, isAllowed := l.AllowTrial(aboutOf("harmful"), []willowwick.ReleaseID{"v1", release}, began.Add(time.Duration(at)*time.Second)); isAllowed {
			tried++
			end := endAt(fmt.Sprint("end ", at), 1000*at+100)
			end.Release = release
			l.note(end, "harmful")
		}
	}
	for second := range 90 {
		try(second)
	}
	assert.Equal(t, most, tried)
	try(3 * 3600)
	assert.Equal(t, most+1, tried, "it may bear a later release")
}

// Places are scarce after a rack has failed: a trial may find none, or get no answer in time.
func TestInconclusiveTrialIsRepeated(t *testing.T) {
	l := New()
	for i, endpoint := range []string{"a", "b", "c"} {
		l.note(endAt(endpoint, i), "popular")
	}
	releases := []willowwick.ReleaseID{"v1"}
	_, isAllowed := l.AllowTrial(aboutOf("popular"), releases, began.Add(3*time.Second))
	require.True(t, isAllowed)
	_, isAllowed = l.AllowTrial(aboutOf("popular"), releases, began.Add(10*time.Second))
	assert.False(t, isAllowed)
	_, isAllowed = l.AllowTrial(aboutOf("popular"), releases, began.Add(time.Minute))
	assert.True(t, isAllowed)
	anew := New()
	anew.Restore(l.PendingWrites(), began.Add(time.Minute))
	_, isAllowed = anew.AllowTrial(aboutOf("popular"), releases, began.Add(2*time.Minute))
	assert.False(t, isAllowed, "a box that starts anew knows how often it was tried")
}
