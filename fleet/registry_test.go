package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

func rosterOf(epoch willowwick.Epoch, boots ...willowwick.BootID) config.Roster {
	roster := config.Roster{Epoch: epoch}
	for _, boot := range boots {
		roster.Members = append(roster.Members, config.Member{Boot: boot, Hall: willowwick.HallID("hall of " + boot)})
	}
	return roster
}

// Guards against calls that run twice: a box that joins the pair of a key refuses the key for others once the surviving
// member of the former pair has handed it the claim.
func TestHandedOverClaimIsHeld(t *testing.T) {
	now := time.Now()
	none, former, next := config.Roster{}, rosterOf(1, "a", "b"), rosterOf(2, "b", "c")
	survivor, joined := NewRegistry("b"), NewRegistry("c")
	survivor.Adopt(now, former, none)
	claim := PutArgs{Epoch: 1, Strict: true, Entry: RegistryEntry{Key: "key", Value: "first", Deadline: clock.SystemTime(now).Add(time.Hour)}}
	require.Equal(t, PutGranted, survivor.Put(now, claim).Status)
	for _, registry := range []*Registry{survivor, joined} {
		registry.Adopt(now, next, former)
	}
	claim.Epoch, claim.Entry.Value = 2, "second"
	assert.Equal(t, PutSyncing, joined.Put(now, claim).Status, "it does not know yet")
	reply := survivor.Export(now, ExportArgs{Epoch: 2, For: "c"})
	require.True(t, reply.Ready && reply.Complete)
	joined.Import(2, "b", reply)
	again := joined.Put(now, claim)
	assert.Equal(t, PutHeld, again.Status)
	assert.Equal(t, "first", again.Value)
}

// Guards against a promise that an earlier call disproves: a replica that knows of another request's claim says so
// whatever roster the asking box goes by.
func TestClaimOfAnotherRequestIsHeldUnderEachRoster(t *testing.T) {
	now := time.Now()
	replica := NewRegistry("a")
	replica.Adopt(now, rosterOf(1, "a", "b"), config.Roster{})
	claim := PutArgs{Epoch: 1, Strict: true, Entry: RegistryEntry{Key: "key", Value: "first", Deadline: clock.SystemTime(now).Add(time.Hour)}}
	require.Equal(t, PutGranted, replica.Put(now, claim).Status)
	claim.Epoch = 2
	assert.Equal(t, PutWrongEpoch, replica.Put(now, claim).Status, "the request itself must ask by the current roster")
	claim.Entry.Value = "second"
	assert.Equal(t, PutHeld, replica.Put(now, claim).Status)
}
