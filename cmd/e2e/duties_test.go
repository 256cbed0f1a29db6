package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
)

// takeoverTimeout bounds the time until another process has the lease: a membership expires, or a box starts.
const takeoverTimeout = 15 * time.Second

// newDutySite starts two boxes in each of three halls, whose settings assign a duty.
func newDutySite(t *testing.T) *testSite {
	s := newTestSite(t, 0)
	seeds := "seeds="
	for i := range 6 {
		box := newSiteBox(t, i, s.storeAddress, fmt.Sprintf("zone=hall-%d", i%3), "cloud.duties=usage", "cloud.address="+freeAddress(t), seeds)
		if i == 0 {
			seeds += box.peerAddress
		}
		s.boxes = append(s.boxes, box)
		box.start(t)
	}
	for _, box := range s.boxes {
		box.awaitReadiness(t, 200)
	}
	return s
}

// awaitGrant waits for a grant of the lease on the duties of another process than the former, and returns its holder.
func (s *testSite) awaitGrant(t *testing.T, former willowwick.BootID) (*siteBox, willowwick.DutyLease) {
	var grant willowwick.DutyLease
	require.Eventually(t, func() bool {
		data, found := s.store.Get("keyed.willowwick.duties", "lease")
		if !found || json.Unmarshal(data, &grant) != nil {
			return false
		}
		return grant.Boot != former
	}, takeoverTimeout, 20*time.Millisecond)
	for _, box := range s.boxes {
		if box.name == string(grant.Holder) {
			return box, grant
		}
	}
	require.Fail(t, "unknown holder", "%v", grant)
	return nil, grant
}

func TestLeaseOnTheDutiesMovesBetweenRealDaemons(t *testing.T) {
	s := newDutySite(t)
	time.Sleep(3 * time.Second) // until all readers are members
	suspended, first := s.awaitGrant(t, "")
	require.NoError(t, suspended.command.Process.Signal(syscall.SIGSTOP))
	stopped, second := s.awaitGrant(t, first.Boot)
	require.NotEqual(t, first.Holder, second.Holder)
	require.NoError(t, suspended.command.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool {
		return strings.Contains(suspended.output.text(), `"lease on the duties given up"`)
	}, takeoverTimeout, 20*time.Millisecond)

	require.NoError(t, stopped.command.Process.Signal(syscall.SIGTERM))
	killed, third := s.awaitGrant(t, second.Boot)
	require.NoError(t, killed.command.Process.Kill())
	_, fourth := s.awaitGrant(t, third.Boot)

	// The store is out of reach for longer than a membership lasts, and all processes are killed meanwhile.
	s.store.SetFaults(standin.StoreFaults{Down: true})
	for _, box := range s.boxes {
		_ = box.command.Process.Kill()
		_ = box.command.Wait()
	}
	for _, box := range s.boxes {
		box.start(t)
	}
	time.Sleep(time.Second)
	s.store.SetFaults(standin.StoreFaults{})
	s.awaitGrant(t, fourth.Boot)
}
