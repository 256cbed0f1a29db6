package serve

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/fleet"
)

const (
	// configRefreshInterval is the minimum time between two reads of the log that runners gave reason for.
	configRefreshInterval = time.Second
	// configRefreshTimeout bounds such a read: the request that waits for it can be refused as not run.
	configRefreshTimeout = 500 * time.Millisecond
)

// configRefresher reads the log at once when an endpoint knows more than this box.
type configRefresher struct {
	follower *fleet.Follower

	mu         sync.Mutex // held during a read, whose result the others wait for
	nextReadAt time.Time
}

func newConfigRefresher(follower *fleet.Follower) *configRefresher {
	return &configRefresher{follower: follower}
}

// refresh reads the log to its end, unless it was read a moment ago. A caller that leaves doesn't end the read.
func (f *configRefresher) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if clock.Now().Before(f.nextReadAt) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), configRefreshTimeout)
	defer cancel()
	if err := f.follower.ReadLog(ctx); err != nil {
		slog.Info("reading the log failed", "error", err)
	}
	f.nextReadAt = clock.Now().Add(configRefreshInterval)
}
