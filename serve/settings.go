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
	// DefaultCallerWait is half of the minute after which balancers commonly give up a silent side.
	DefaultCallerTimeout = 30 * time.Second
)

type (
	// Settings are what a daemon is told at its start.
	Settings struct {
		Box            willowwick.BoxID
		Boot           willowwick.BootID
		Hall           willowwick.HallID
		PeerAddress    string // under which other boxes reach this one
		Key            []byte // shared by all boxes; signs peers' connections and session tokens
		CallerTLS      *tls.Config
		PeerTLS        *tls.Config
		MaxBody        int64
		MaxRequests    int
		DrainDelay     time.Duration // setting: how long the balancer takes to turn away
		DrainTimeout   time.Duration // setting: how long a planned stop waits for answers
		SlowFirstToken time.Duration // setting: a first token later than this is slow
		SlowTokenGap   time.Duration // setting: tokens further apart than this are slow
		StallTimeout   time.Duration // setting: a stream silent for this long is resumed elsewhere
		CallerTimeout  time.Duration // setting: a caller that takes or brings nothing for this long is given up
	}

	// Outside is what a daemon reaches and is reached by.
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

// WithDefaults fills in what was left out.
func (s Settings) WithDefaults() Settings {
	fill(&s.MaxBody, DefaultMaxBody)
	fill(&s.MaxRequests, DefaultMaxRequests)
	fill(&s.DrainDelay, DefaultDrainDelay)
	fill(&s.DrainTimeout, DefaultDrainTimeout)
	fill(&s.SlowFirstToken, DefaultSlowFirstToken)
	fill(&s.SlowTokenGap, DefaultSlowTokenGap)
	fill(&s.StallTimeout, DefaultStallTimeout)
	fill(&s.CallerTimeout, DefaultCallerTimeout)
	return s
}

func fill[T comparable](value *T, otherwise T) {
	var none T
	if *value == none {
		*value = otherwise
	}
}
