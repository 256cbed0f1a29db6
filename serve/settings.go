package serve

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/fleet"
)

// Defaults of the settings.
const (
	DefaultMaxBody        = 4 << 20
	DefaultMaxRequests    = 4096
	DefaultDrainDelay     = 5 * time.Second
	DefaultDrainTimeout   = 10 * time.Minute
	DefaultSlowFirstToken = 1800 * time.Millisecond
	DefaultSlowTokenGap   = 39 * time.Millisecond
	DefaultStallTimeout   = 5 * time.Second
	// DefaultCallerTimeout is half of the 60 s after which balancers commonly close an idle connection.
	DefaultCallerTimeout = 30 * time.Second
)

type (
	// Settings configure a daemon; zero values of limits and durations stand for their defaults.
	Settings struct {
		Box            willowwick.BoxID
		Boot           willowwick.BootID
		Hall           willowwick.HallID
		PeerAddress    string // host:port at which other boxes reach this one
		Key            []byte // shared by all boxes; signs peers' connections and session tokens
		CallerTLS      *tls.Config
		PeerTLS        *tls.Config
		MaxBody        int64
		MaxRequests    int
		DrainDelay     time.Duration // from reporting not ready to refusing requests, for the balancer to notice
		DrainTimeout   time.Duration // maximum duration of a planned stop
		SlowFirstToken time.Duration // an answer whose first token takes longer is slow
		SlowTokenGap   time.Duration // an answer whose mean time between tokens is longer is slow
		StallTimeout   time.Duration // a stream without a chunk for this long is resumed at another runner
		CallerTimeout  time.Duration // a caller that neither reads nor sends for this long is disconnected
	}

	// Dependencies are the services that a daemon uses and the listeners that it serves.
	Dependencies struct {
		Log      willowwick.Log
		Live     willowwick.LiveList
		Rater    willowwick.Rater
		Engine   willowwick.Engine
		Services willowwick.ServiceCaller
		Dial     fleet.Dialer
		Callers  net.Listener
		Peers    net.Listener
		Admin    net.Listener
	}
)

// WithDefaults returns the settings with defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.MaxBody, DefaultMaxBody)
	setDefault(&s.MaxRequests, DefaultMaxRequests)
	setDefault(&s.DrainDelay, DefaultDrainDelay)
	setDefault(&s.DrainTimeout, DefaultDrainTimeout)
	setDefault(&s.SlowFirstToken, DefaultSlowFirstToken)
	setDefault(&s.SlowTokenGap, DefaultSlowTokenGap)
	setDefault(&s.StallTimeout, DefaultStallTimeout)
	setDefault(&s.CallerTimeout, DefaultCallerTimeout)
	return s
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
