package config

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/examples"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const goldenFile = "testdata/problems.golden"

// TestProblemsNameFileLineAndRemedy compares the problems of a folder with many errors with a golden file.
func TestProblemsNameFileLineAndRemedy(t *testing.T) {
	folder, err := ReadFolder(os.DirFS("testdata/broken"))
	require.NoError(t, err)
	var lines []string
	for _, problem := range folder.Problems {
		lines = append(lines, problem.Error())
	}
	text := strings.Join(lines, "\n") + "\n"
	if *update {
		require.NoError(t, os.WriteFile(goldenFile, []byte(text), 0o600))
	}
	want, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	require.Equal(t, string(want), text)
}

func TestExamplesAreValid(t *testing.T) {
	folder, err := ReadFolder(examples.Declarations)
	require.NoError(t, err)
	require.Empty(t, folder.Problems)
}

func TestBrokenYAMLIsReportedWithItsLine(t *testing.T) {
	folder, err := ReadFolder(fstest.MapFS{"a.yaml": {Data: []byte("kind: Model\nname: x\nspec: [\n")}})
	require.NoError(t, err)
	require.Len(t, folder.Problems, 1)
	require.Positive(t, folder.Problems[0].Line)
}

func encodeEntry(t require.TestingT, offset willowwick.Offset, record Record) willowwick.Entry {
	data, err := record.Encode()
	require.NoError(t, err)
	return willowwick.Entry{Offset: offset, Data: data}
}

func serviceObject(t require.TestingT, name string, prefix int) Object {
	object, err := NewObject(KindService, name, &Service{Operations: []Operation{{Method: "GET", Prefix: fmt.Sprintf("/%d", prefix)}}})
	require.NoError(t, err)
	return object
}

// TestFoldAgainstModel compares the fold of random records with a simple model: a change ID applies once, a change
// is rejected if an object that it touches changed after its basis, withdrawals are permanent, and a lease claim
// is granted only if it refers to the last record of the lease.
func TestFoldAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		state := NewState()
		values, modified := map[string]int{}, map[string]willowwick.Offset{}
		seen, withdrawn := map[willowwick.ChangeID]bool{}, map[willowwick.VersionID]bool{}
		holder, renewed := willowwick.BootID(""), willowwick.Offset(0)
		for offset := willowwick.Offset(1); offset <= willowwick.Offset(rapid.IntRange(1, 60).Draw(rt, "records")); offset++ {
			id := willowwick.ChangeID(fmt.Sprint("id", rapid.IntRange(0, 25).Draw(rt, "id")))
			name := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(rt, "name"))
			var record Record
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				version := willowwick.VersionID(name)
				record = Record{Kind: RecordWithdraw, Withdraw: &Withdraw{ID: id, Version: version}}
				withdrawn[version] = withdrawn[version] || !seen[id]
				seen[id] = true
			case 1:
				boot := willowwick.BootID(name)
				after := willowwick.Offset(rapid.IntRange(0, int(offset)).Draw(rt, "after"))
				record = Record{Kind: RecordLease, Lease: &LeaseClaim{Boot: boot, After: after}}
				if after == renewed {
					holder, renewed = boot, offset
				}
			default:
				basis := willowwick.Offset(rapid.IntRange(0, int(offset)-1).Draw(rt, "basis"))
				value := rapid.IntRange(0, 9).Draw(rt, "value")
				record = Record{Kind: RecordChange, Change: &Change{ID: id, Basis: basis, Objects: []Object{serviceObject(rt, name, value)}}}
				if !seen[id] && modified[name] <= basis {
					values[name], modified[name] = value, offset
				}
				seen[id] = true
			}
			next, err := Fold(state, encodeEntry(rt, offset, record))
			require.NoError(rt, err)
			again, err := Fold(next, encodeEntry(rt, offset, record))
			require.NoError(rt, err)
			require.Same(rt, next, again, "folding an entry twice changes nothing")
			state = next
		}
		revision := NewRevision(state)
		for name, value := range values {
			service, ok := revision.Service(willowwick.ServiceID(name))
			require.True(rt, ok)
			require.Equal(rt, fmt.Sprintf("/%d", value), service.Operations[0].Prefix)
		}
		require.Len(rt, state.Objects, len(values))
		for version, gone := range withdrawn {
			require.Equal(rt, gone, revision.IsWithdrawn(version))
		}
		require.Equal(rt, holder, state.Lease.Boot)
		encoded, err := state.Encode()
		require.NoError(rt, err)
		decoded, err := DecodeState(encoded)
		require.NoError(rt, err)
		require.True(rt, equalStates(state, decoded), "a snapshot holds the whole state")
	})
}

// FuzzFold folds arbitrary bytes of a log entry.
func FuzzFold(f *testing.F) {
	f.Add([]byte(`{"schema":1,"kind":"change","change":{"id":"a","objects":[{"key":"Model/x","spec":{}}]}}`))
	f.Add([]byte(`{"schema":1,"kind":"snapshot","snapshot":{"offset":0}}`))
	f.Add([]byte(`nonsense`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := Fold(NewState(), willowwick.Entry{Offset: 1, Data: data})
		if err != nil {
			return
		}
		NewRevision(state)
		if _, err := state.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkFold folds 10,000 changes over 200 objects.
func BenchmarkFold(b *testing.B) {
	var entries []willowwick.Entry
	for n := range 10_000 {
		offset := willowwick.Offset(n + 1)
		change := &Change{ID: willowwick.ChangeID(fmt.Sprint(n)), Basis: offset - 1, Objects: []Object{serviceObject(b, fmt.Sprint("s", n%200), n)}}
		entries = append(entries, encodeEntry(b, offset, Record{Kind: RecordChange, Change: change}))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := FoldAll(NewState(), entries); err != nil {
			b.Fatal(err)
		}
	}
}
