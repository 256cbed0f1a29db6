package fleet

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
)

// unresponsiveBoxes is the number of listed boxes that accept connections and never respond.
const unresponsiveBoxes = 50

// newJoinNode returns a node that has no log and reaches other boxes through dial only.
func newJoinNode(t *testing.T, name string, dial Dialer) *Node {
	transport, closeTransport := NewTransport([]byte("key"), dial, nil)
	t.Cleanup(closeTransport)
	self := Identity{Box: willowwick.BoxID(name), Boot: willowwick.BootID(name + ".1"), Hall: "hall-a"}
	return NewNode(Settings{Self: self, Log: &fakeLog{fail: true}, OnRevision: func(*config.Revision) {}}, transport)
}

// A box that started while the log was down asked the listed boxes for their state one after the other. Each
// unresponsive box cost it a full call timeout, so with a hall of them it had no configuration for minutes.
func TestStartingBoxLoadsStateDespiteUnresponsivePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &stallableLink{accept: make(chan net.Conn), closed: make(chan struct{})}
		knowing := newJoinNode(t, "knowing", nil)
		require.NoError(t, knowing.Follower.Ingest([]willowwick.Entry{{Offset: 1, Data: cascadeRecord(t, "1", 0)}}))
		calls := rpc.NewServer()
		require.NoError(t, calls.RegisterName(rpcName, &peerService{node: knowing}))
		go knowing.Transport.Serve(link, calls)
		starting := newJoinNode(t, "starting", func(ctx context.Context, address string) (net.Conn, error) {
			if address == "knowing" {
				return link.dial(ctx, address)
			}
			own, _ := net.Pipe()
			return own, nil
		})
		for i := range unresponsiveBoxes {
			box := willowwick.Box{ID: willowwick.BoxID(fmt.Sprintf("silent-%d", i)), Peer: "silent"}
			starting.listing.Boxes = append(starting.listing.Boxes, box)
		}
		starting.listing.Boxes = append(starting.listing.Boxes, willowwick.Box{ID: "knowing", Peer: "knowing"})
		ctx, cancel := context.WithCancel(t.Context())
		joined := make(chan struct{})
		go func() {
			starting.loadStateFromPeers(ctx)
			close(joined)
		}()
		time.Sleep(10 * time.Second)
		offset := starting.Follower.Revision().Offset
		cancel()
		<-joined
		require.NoError(t, link.Close())
		require.Equal(t, willowwick.Offset(1), offset)
	})
}
