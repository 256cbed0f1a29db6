package fleet

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
)

const importedAfter = time.Second

// claimAtJoiningBox claims a key at a box that has just joined the roster, and gets the other member's claims only
// importedAfter later. With held, an earlier request has the key.
func claimAtJoiningBox(t *testing.T, held bool) (status ClaimStatus, took time.Duration) {
	link := &stallableLink{accept: make(chan net.Conn), closed: make(chan struct{})}
	survivor := newJoinNode(t, "survivor", nil)
	joining := newJoinNode(t, "joining", func(ctx context.Context, address string) (net.Conn, error) { return link.dial(ctx, address) })
	calls := rpc.NewServer()
	require.NoError(t, calls.RegisterName(rpcName, &peerService{node: survivor}))
	go survivor.Transport.Serve(link, calls)
	now := clock.Now()
	former, next := rosterOf(1, survivor.Self.Boot, "gone.1"), rosterOf(2, survivor.Self.Boot, joining.Self.Boot)
	survivor.Registry.Adopt(now, former, config.Roster{})
	if held {
		entry := RegistryEntry{Key: "key", Value: "earlier", Deadline: clock.TimeOfDay().Add(ClaimWindow)}
		require.Equal(t, PutGranted, survivor.Registry.Put(now, PutArgs{Epoch: 1, Strict: true, Entry: entry}).Status)
	}
	for _, node := range []*Node{survivor, joining} {
		node.Follower.Confirm(0, now)
		node.Registry.Adopt(now, next, former)
	}
	timer := time.AfterFunc(importedAfter, func() {
		args := ExportArgs{Epoch: 2, For: joining.Self.Boot}
		joining.Registry.Import(2, survivor.Self.Boot, survivor.Registry.Export(clock.Now(), args))
		survivor.Follower.Confirm(0, clock.Now())
		joining.Follower.Confirm(0, clock.Now())
	})
	defer timer.Stop()
	status = joining.Claim(t.Context(), "key", "request")
	took = clock.Since(now)
	require.NoError(t, link.Close())
	return status, took
}

// Guards against calls with a key that are refused while a box joins the roster, though it soon has the claims.
func TestClaimWaitsForTheClaimsOfABoxThatJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		status, took := claimAtJoiningBox(t, false)
		assert.Equal(t, ClaimGranted, status)
		assert.Less(t, took, importedAfter+2*claimRetryInterval)
	})
}

// Guards against a call that is refused as not run, with a box that joins as one replica of its key, though the other
// replica knows that an earlier call had the key.
func TestEarlierClaimIsKnownWhileABoxJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		status, took := claimAtJoiningBox(t, true)
		assert.Equal(t, ClaimHeld, status)
		assert.Less(t, took, importedAfter, "the other replica is asked at once")
	})
}
