package fleet

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"pgregory.net/rapid"
)

// fakeLog is a log whose reads can fail, lag, and return entries unordered and duplicated.
type fakeLog struct {
	entries []willowwick.Entry
	first   willowwick.Offset
	fail    bool
	lag     int
	shuffle func([]willowwick.Entry) []willowwick.Entry
}

func (l *fakeLog) Append(_ context.Context, _ willowwick.StreamID, data []byte) (willowwick.Offset, error) {
	offset := willowwick.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, willowwick.Entry{Offset: offset, Data: data})
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, _ willowwick.StreamID, from willowwick.Offset, limit int) (willowwick.Page, error) {
	if l.fail {
		return willowwick.Page{}, errors.New("log is down")
	}
	visible := l.entries[:max(0, len(l.entries)-l.lag)]
	page := willowwick.Page{First: max(l.first, 1), Next: willowwick.Offset(len(visible) + 1)}
	if from >= page.First && from < page.Next {
		rest := visible[from-1:]
		page.Entries = append(page.Entries, rest[:min(limit, len(rest))]...)
	}
	if l.shuffle != nil {
		page.Entries = l.shuffle(page.Entries)
	}
	return page, nil
}

func cascadeRecord(t require.TestingT, id string, basis willowwick.Offset) []byte {
	object, err := config.NewObject(config.KindService, "service-"+id, &config.Service{Operations: []config.Operation{{Method: "GET", Prefix: "/"}}})
	require.NoError(t, err)
	data, err := config.Record{Kind: config.RecordChange, Change: &config.Change{
		ID: willowwick.ChangeID(id), Basis: basis, Objects: []config.Object{object},
	}}.Encode()
	require.NoError(t, err)
	return data
}

// TestFollowerOffsetNeverDecreases checks that under any order of reads, pulls, joins, lags and failures every
// follower's state is the fold of a prefix of the log, and that its offset never decreases.
func TestFollowerOffsetNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := &fakeLog{}
		states := []*config.State{config.NewState()} // expected state, by offset
		log.shuffle = func(entries []willowwick.Entry) []willowwick.Entry {
			if len(entries) == 0 {
				return entries
			}
			mixed := rapid.Permutation(entries).Draw(rt, "order")
			return append(mixed, rapid.SampledFrom(entries).Draw(rt, "repeated"))
		}
		followers := []*Follower{
			NewFollower(log, func(*config.Revision) {}), NewFollower(log, func(*config.Revision) {}),
		}
		offsets := make([]willowwick.Offset, len(followers))
		pick := func() *Follower { return rapid.SampledFrom(followers).Draw(rt, "follower") }
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				id := fmt.Sprint("c", rapid.IntRange(0, 20).Draw(rt, "id"))
				basis := willowwick.Offset(rapid.IntRange(0, len(log.entries)).Draw(rt, "basis"))
				_, err := log.Append(context.Background(), willowwick.StreamConfig, cascadeRecord(rt, id, basis))
				require.NoError(rt, err)
				next, err := config.Fold(states[len(states)-1], log.entries[len(log.entries)-1])
				require.NoError(rt, err)
				states = append(states, next)
			},
			"read": func(rt *rapid.T) {
				log.fail = rapid.IntRange(0, 4).Draw(rt, "fail") == 0
				log.lag = rapid.IntRange(0, 3).Draw(rt, "lag")
				_ = pick().ReadLog(context.Background())
			},
			"pull": func(rt *rapid.T) {
				from, to := pick(), pick()
				entries, ok := from.Since(to.Revision().Offset, 3)
				if ok {
					require.NoError(rt, to.Ingest(entries))
				}
			},
			"stray entries": func(rt *rapid.T) {
				if len(log.entries) > 0 {
					require.NoError(rt, pick().Ingest([]willowwick.Entry{rapid.SampledFrom(log.entries).Draw(rt, "entry")}))
				}
			},
			"join": func(rt *rapid.T) {
				pick().Install(rapid.SampledFrom(states).Draw(rt, "state"))
			},
			"": func(rt *rapid.T) {
				for i, f := range followers {
					state := f.Revision().State
					require.GreaterOrEqual(rt, state.Offset, offsets[i])
					offsets[i] = state.Offset
					own, err := state.Hash()
					require.NoError(rt, err)
					oracle, err := states[state.Offset].Hash()
					require.NoError(rt, err)
					require.Equal(rt, oracle, own, "at offset %d", state.Offset)
				}
			},
		})
	})
}

// TestNewerSchemaBlocksFollowerAndKeepsState checks that a record of a newer build stops the fold and keeps the
// configuration in force.
func TestNewerSchemaBlocksFollowerAndKeepsState(t *testing.T) {
	log := &fakeLog{}
	f := NewFollower(log, func(*config.Revision) {})
	_, err := log.Append(context.Background(), willowwick.StreamConfig, cascadeRecord(t, "one", 0))
	require.NoError(t, err)
	_, err = log.Append(context.Background(), willowwick.StreamConfig, []byte(`{"schema":99,"kind":"change"}`))
	require.NoError(t, err)
	require.ErrorIs(t, f.ReadLog(context.Background()), config.ErrNewerSchema)
	require.True(t, f.IsBlocked())
	require.Equal(t, willowwick.Offset(1), f.Revision().Offset)
}
