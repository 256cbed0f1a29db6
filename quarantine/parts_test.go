package quarantine

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
)

const testService = willowwick.ServiceID("lm")

// promptOf returns the description of a request with its own body and a prompt with these shared parts.
func promptOf(account willowwick.AccountID, body string, parts ...string) willowwick.PoisonRequest {
	return willowwick.PoisonRequest{
		Request: willowwick.FingerprintOf(account, "POST", "site.example", "/x/", []byte(body)), Account: account, Service: testService,
		Parts: willowwick.PartFingerprintsOf(account, testService, parts),
	}
}

// recordPrompt records a crash under a request of its own with these parts.
func (l *Ledger) recordPrompt(crash willowwick.EndpointCrash, parts ...string) {
	l.RecordCrash(promptOf("ada", "body at "+string(crash.Endpoint), parts...), crash)
}

// refusesPrompt reports whether a new request of ada with these parts is refused.
func (l *Ledger) refusesPrompt(parts ...string) bool {
	return l.RefusesParts(willowwick.PartFingerprintsOf("ada", testService, parts))
}

// answerPrompt records an answer that began some milliseconds after testStart, and went on.
func (l *Ledger) answerPrompt(ms int, parts ...string) {
	began := testStart.Add(time.Duration(ms) * time.Millisecond)
	run := Run{Endpoint: "sound", BeganAt: began}
	l.RecordRun(willowwick.PartFingerprintsOf("ada", testService, parts), run, began.Add(HarmlessRunTime))
}

// Guards against requests that differ in all but one part of their prompts having three endpoints each.
func TestPartIsRefusedAfterThreeCrashes(t *testing.T) {
	l := New()
	l.answerPrompt(-1000, "first", "second")
	l.recordPrompt(crashAt("a", 0), "first", "deadly", "x")
	l.recordPrompt(crashAt("b", 100), "first", "deadly", "y")
	assert.False(t, l.refusesPrompt("first", "deadly"))
	l.recordPrompt(crashAt("c", 200), "first", "deadly", "z")
	assert.True(t, l.refusesPrompt("first", "deadly"))
	assert.True(t, l.refusesPrompt("deadly", "other"), "whatever else the prompt holds")
	assert.False(t, l.refusesPrompt("first", "second"))
	assert.False(t, l.refusesPrompt("first", "x"))
}

// Guards against sound parts being refused because hardly any answer comes to its end while endpoints crash.
func TestPartThatWasAnsweredBeforeIsNotRefused(t *testing.T) {
	l := New()
	l.answerPrompt(0, "first")
	for i := range 12 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 1000*i), "first", "deadly")
	}
	assert.True(t, l.refusesPrompt("first", "deadly"))
	assert.False(t, l.refusesPrompt("first"), "the other part accounts for all its crashes")
}

// A part that endpoints have answered for long may become harmful, with a new release for example.
func TestPartThatBecomesHarmfulIsRefused(t *testing.T) {
	l := New()
	l.answerPrompt(0, "first", "second")
	l.answerPrompt(9000, "first")
	for i := range 12 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 2000+1000*i), "first", "second")
	}
	assert.True(t, l.refusesPrompt("first", "second"))
	assert.False(t, l.refusesPrompt("first"))
}

// Guards against the parts of many requests being refused when a rack fails.
func TestPartIsSentAgainWhenAnswersGoOn(t *testing.T) {
	l := New()
	for i := range 4 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 10*i), "first")
	}
	require.True(t, l.refusesPrompt("first"))
	l.answerPrompt(-300, "first")
	assert.False(t, l.refusesPrompt("first"), "an answer that was under way went on")
}

// Guards against an answer that ended just before its endpoint crashed counting as a sign that its parts are harmless.
func TestFinishedAnswerCountsOnlyIfItsEndpointLives(t *testing.T) {
	parts := willowwick.PartFingerprintsOf("ada", testService, []string{"deadly"})
	for _, crashes := range []bool{false, true} {
		l := New()
		for i := range 3 {
			l.recordPrompt(crashAt(fmt.Sprint("e", i), 1000*i), "deadly")
		}
		began := testStart.Add(3 * time.Second)
		l.RecordRun(parts, Run{Endpoint: "last", BeganAt: began}, began.Add(10*time.Millisecond))
		if crashes {
			l.recordPrompt(crashAt("last", 3060), "other")
		}
		l.UpdatesSince(Position{}, "boot", "b", began.Add(finishedRunDelay))
		assert.Equal(t, crashes, l.refusesPrompt("deadly"))
	}
}

// Two parts that came together at each crash are equally suspect: prompts that have one of them show which it is.
func TestPartsWithSameCrashesAreRefusedTogether(t *testing.T) {
	l := New()
	for i := range 3 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 2000*i), "deadly", "companion")
	}
	assert.True(t, l.refusesPrompt("deadly", "companion"))
	assert.False(t, l.refusesPrompt("companion"))
	assert.False(t, l.refusesPrompt("deadly"))
	l.recordPrompt(crashAt("d", 6000), "deadly")
	assert.True(t, l.refusesPrompt("deadly"))
	assert.False(t, l.refusesPrompt("companion"))
}

// Guards against a caller who has a part refused that others use, by requests whose bodies crash endpoints.
func TestPartOfOneAccountIsNotRefusedForOthers(t *testing.T) {
	l := New()
	l.recordPrompt(crashAt("a", 0), "common")
	l.recordPrompt(crashAt("b", 2000), "common")
	l.recordPrompt(crashAt("c", 4000), "common")
	assert.True(t, l.refusesPrompt("common"))
	ofBob := willowwick.PartFingerprintsOf("bob", testService, []string{"common"})
	assert.False(t, l.RefusesParts(ofBob))
	l.RecordCrash(promptOf("bob", "body", "common"), crashAt("d", 6000))
	assert.True(t, l.RefusesParts(ofBob), "requests of several accounts crash endpoints")
	assert.False(t, l.RefusesParts(willowwick.PartFingerprintsOf("bob", "other service", []string{"common"})))
}

// Guards against the parts of a request that crashes endpoints by its whole content being refused.
func TestPartOfOneHarmfulRequestIsNotRefused(t *testing.T) {
	l := New()
	request := promptOf("ada", "always the same", "first")
	for i := range 5 {
		l.RecordCrash(request, crashAt(fmt.Sprint("e", i), 1000*i))
	}
	assert.True(t, l.Refuses(request.Request))
	assert.False(t, l.refusesPrompt("first"))
}

// Several parts may crash endpoints at once, beside a rack that fails.
func TestSeveralHarmfulPartsAreFound(t *testing.T) {
	l := New()
	l.answerPrompt(0, "first", "second", "third")
	for i := range 12 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 300*i), "first", fmt.Sprint("deadly-", i%3), "second")
		l.recordPrompt(crashAt(fmt.Sprint("rack", i), 1500+10*i), "first", "third")
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 300*i+1), "first", "third") // at work there
	}
	for i := range 3 {
		assert.True(t, l.refusesPrompt("first", fmt.Sprint("deadly-", i)))
	}
	assert.False(t, l.refusesPrompt("first", "second", "third"))
}

// Each trial of a part may crash one more endpoint: of three sends that operators allow, two may be trials.
func TestTrialsOfPartBackOff(t *testing.T) {
	l := New()
	for i := range 3 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 100*i), "deadly")
	}
	tried := 0
	for second := range 90 {
		details := promptOf("ada", fmt.Sprint("body ", second), "deadly")
		now := testStart.Add(time.Duration(second) * time.Second)
		if _, isAllowed := l.AllowTrial(details, []willowwick.ReleaseID{"v1"}, now); isAllowed {
			tried++
			l.RecordCrash(details, crashAt(fmt.Sprint("trial ", second), 1000*second+60))
		}
	}
	assert.Equal(t, 1, tried, "later crashes leave no doubt")
	assert.True(t, l.refusesPrompt("deadly"))
}

func TestOperatorAdmitsPart(t *testing.T) {
	l := New()
	for i := range 3 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 100*i), "deadly")
	}
	part := willowwick.PartFingerprintsOf("ada", testService, []string{"deadly"})
	l.SetAdmitted(map[willowwick.Fingerprint]willowwick.Position{part.OfAccount[0]: 1})
	assert.False(t, l.refusesPrompt("deadly"))
	l.SetAdmitted(nil)
	assert.True(t, l.refusesPrompt("deadly"))
}

func TestRestartedBoxRefusesStoredParts(t *testing.T) {
	l := New()
	for i := range 3 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 1000*i), "deadly")
	}
	due := l.PendingWrites()
	require.Len(t, due, 1)
	assert.Equal(t, willowwick.ScopeAccountPart, due[0].Scope)
	assert.Equal(t, testService, due[0].Service)
	l.MarkWritten(due[0])
	restarted := New()
	restarted.Restore(due, testStart.Add(time.Minute))
	assert.True(t, restarted.refusesPrompt("deadly"))
	restarted.answerPrompt(3000, "deadly")
	due = restarted.PendingWrites()
	require.Len(t, due, 1)
	assert.Equal(t, willowwick.ScopeAccountPart, due[0].Scope, "names the record to be dropped")
	assert.Empty(t, due[0].Crashes)
}

// Boxes of the release before know no parts: they pass over them, and their own updates have none.
func TestEarlierReleaseReadsUpdates(t *testing.T) {
	type earlierRow struct {
		Endpoint    willowwick.EndpointID
		Incarnation willowwick.Incarnation
		Release     willowwick.ReleaseID
		AgeMs       int64
		Requests    []willowwick.Fingerprint
	}
	type earlierUpdates struct {
		Position Position
		Ends     []earlierRow
		Answers  []AnswerRow
		Trials   []TrialRow
	}
	l := New()
	l.recordPrompt(crashAt("a", 0), "deadly")
	var wire bytes.Buffer
	require.NoError(t, gob.NewEncoder(&wire).Encode(l.UpdatesSince(Position{}, "boot", "b", testStart)))
	var earlier earlierUpdates
	require.NoError(t, gob.NewDecoder(&wire).Decode(&earlier))
	require.Len(t, earlier.Ends, 1)
	assert.Len(t, earlier.Ends[0].Requests, 1, "the whole request alone")
	require.NoError(t, gob.NewEncoder(&wire).Encode(earlier))
	var updates Updates
	require.NoError(t, gob.NewDecoder(&wire).Decode(&updates))
	assert.True(t, New().Merge(updates, "b", testStart))
}

// Boxes must come to the same decisions on parts in whatever order crashes and answers arrive, and refuse the harmful one.
func TestBoxesAgreeOnParts(t *testing.T) {
	const boxes, steps = 4, 150
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, seed+7))
		ledgers, peers := make([]*Ledger, boxes), make([]*Peers, boxes)
		for box := range boxes {
			ledgers[box] = New()
			peers[box] = NewPeers(ledgers[box], willowwick.BootID(fmt.Sprint(box)))
		}
		now := testStart
		exchange := func(from, to int) {
			call := peers[from].NewCall(fmt.Sprint(to), now)
			answer, _ := peers[to].Answer(call, fmt.Sprint(from), now)
			peers[from].HandleAnswer(call, answer, fmt.Sprint(to), peers[to].boot, now)
		}
		ledgers[0].answerPrompt(-1000, "first", "part 0", "part 1", "part 2", "part 3") // without it, any of them may be harmful
		for step := range steps {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			at, ms := random.IntN(boxes), int(now.Sub(testStart).Milliseconds())
			other := fmt.Sprint("part ", random.IntN(4))
			switch random.IntN(6) {
			case 0:
				ledgers[at].answerPrompt(ms, "first", other)
			case 1:
				endpoint := fmt.Sprint("e", step)
				ledgers[at].recordPrompt(crashAt(endpoint, ms), "first", "deadly", other)
				ledgers[random.IntN(boxes)].recordPrompt(crashAt(endpoint, ms), "first", fmt.Sprint("part ", random.IntN(4)))
			case 2:
				ledgers[at].recordPrompt(crashAt(fmt.Sprint("other ", step), ms), "first", other)
			default:
				exchange(at, random.IntN(boxes))
			}
		}
		now = now.Add(HarmlessRunTime)
		for range 3 {
			for from := range ledgers {
				for to := range ledgers {
					exchange(from, to)
				}
			}
		}
		for box, l := range ledgers {
			assert.Equal(t, ledgers[0].refused, l.refused, "seed %d", seed)
			assert.True(t, l.refusesPrompt("first", "deadly"), "seed %d, box %d", seed, box)
			assert.False(t, l.refusesPrompt("first", "part 0", "part 1", "part 2", "part 3"), "seed %d, box %d", seed, box)
		}
	}
}

// Guards against a part that is not refused because many requests that were at work beside it are.
func TestPartIsRefusedBesideManyRequests(t *testing.T) {
	l := New()
	for i := range 3 {
		for victim := range maxRefused {
			l.recordCrash(crashAt(fmt.Sprint("e", i), 1000*i), fmt.Sprint("victim ", victim))
		}
	}
	for i := range 4 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 1000*i), "deadly")
	}
	assert.True(t, l.refusesPrompt("deadly"))
}

// Guards against a part that nearly all requests have taking the blame for the crashes of a harmful one, because it was at more.
func TestHarmfulPartIsFoundBesideAnsweredPartWithMoreCrashes(t *testing.T) {
	l := New()
	l.answerPrompt(0, "first")
	for i := range 6 {
		l.recordPrompt(crashAt(fmt.Sprint("other ", i), 6000+500*i), "first")
	}
	for i := range 3 {
		l.recordPrompt(crashAt(fmt.Sprint("e", i), 9000+100*i), "first", "deadly")
	}
	assert.True(t, l.refusesPrompt("first", "deadly"))
	assert.False(t, l.refusesPrompt("first"))
}
