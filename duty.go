package willowwick

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Duties that the platform can give to the fleet.
const (
	DutyUsage DutyID = "usage" // report what each client account has used
	DutyScale DutyID = "scale" // order the number of runners of each hall
)

var (
	// ErrFenced means that the receiver has seen a higher fencing token on the same subject.
	ErrFenced = errors.New("a higher fencing token was used")
	// ErrNoCapacity means that the platform has no runners of the ordered kind in that hall now.
	ErrNoCapacity = errors.New("no runners of this kind are available now")
	// ErrNotHolder means that this box doesn't hold the lease on the duties, and that nothing was sent.
	ErrNotHolder = errors.New("this box does not hold the lease on the duties")
	// ErrThrottled means that the platform takes no further calls now and has not executed this one.
	ErrThrottled = errors.New("the platform's API rejects calls now")
)

type (
	// DutyID names a duty: calls to the platform's API that one box makes for the whole fleet.
	DutyID string

	// FencingToken orders the holders of the duties: each grant of the lease has a higher one than all before.
	//
	// It is the position of the grant in the store, so two holders can't share it, also after the store was restored from a
	// copy.
	FencingToken = Position

	// DutyLease is a grant of the lease on the duties to a box, as stored.
	DutyLease struct {
		Holder  BoxID  `json:"holder"`
		Boot    BootID `json:"boot"`
		Address string `json:"address"` // host:port under which other boxes reach the holder
		Claim   uint64 `json:"claim"`   // numbers the grants that one start of the holder tries to write
		// ActsAt is the time of day, by the holder's clock, before which it makes no calls.
		ActsAt time.Time `json:"acts_at,omitzero"`
		// Former are the holders before, the latest last, without repeats; only the latest few are kept.
		Former []BoxID `json:"former,omitempty"`
	}

	// DutyState is what the store holds on the duties.
	DutyState struct {
		Lease   *DutyLease    // nil if none was granted yet
		Token   FencingToken  // of Lease
		Reports []UsageReport // written by holders before they were sent
		End     Position      // of the topic
	}

	// DutyLog is the topic of the platform's store that holds the lease and the usage reports.
	//
	// Writes are conditional: they return ErrConflict, and write nothing, if the topic doesn't end at the given position.
	// After any other error the record may be written now or later, while the topic still ends there.
	DutyLog interface {
		// ReadDuties reads the newest records.
		ReadDuties(ctx context.Context) (DutyState, error)
		// WriteLease writes a grant and returns its position, which is its token.
		WriteLease(ctx context.Context, lease DutyLease, end Position) (FencingToken, error)
		// WriteUsageReport writes a report, replacing an older one, and returns the new end of the topic.
		WriteUsageReport(ctx context.Context, report UsageReport, end Position) (Position, error)
	}

	// DutyAPI is the platform's API for the duties.
	//
	// A call returns ErrFenced, ErrNoCapacity or ErrThrottled if the platform rejected it; after any other error it may
	// still be executed, also after later calls.
	DutyAPI interface {
		ReportUsage(ctx context.Context, holder BoxID, token FencingToken, report UsageReport) error
		OrderRunners(ctx context.Context, holder BoxID, token FencingToken, order RunnerOrder) error
	}

	// DutySubject names what the platform compares fencing tokens on: all usage reports together, or a service in a hall.
	DutySubject string

	// DutyCall makes one call to a DutyAPI for the holder, with its fencing token.
	DutyCall func(ctx context.Context, holder BoxID, token FencingToken) error

	// DutyHolder makes the calls of the duties on the box that holds the lease.
	DutyHolder interface {
		// Holds reports whether this box may make calls now.
		Holds(now time.Time) bool
		// Call makes one call on a subject, or returns ErrNotHolder. If the outcome of the previous call on the subject is
		// unknown, it takes a new token first, so that the previous call can't be executed after this one.
		Call(ctx context.Context, subject DutySubject, call DutyCall) error
		// WriteUsageReport stores a report; only a stored one may be sent, also by later holders.
		WriteUsageReport(ctx context.Context, report UsageReport) error
		// UsageReports returns the stored reports as this box knows them.
		UsageReports() []UsageReport
	}

	// UsageWindow is the number of a window of time: window k begins k window lengths after the start of 1970.
	UsageWindow int64

	// UsageReport is the number of requests of each client account that began to run in a window.
	UsageReport struct {
		Window UsageWindow       `json:"window"`
		Counts map[AccountID]int `json:"counts"`
		// Boxes are those whose counts it holds and that go on counting, for holders that have not heard of them.
		Boxes []BoxID `json:"boxes,omitempty"`
	}

	// RunnerOrder orders the number of runners of one kind in a hall.
	RunnerOrder struct {
		Service ServiceID
		Hall    HallID
		Spot    bool // runners that the platform may take away at short notice
		Runners int
	}

	// Autoscaling are the limits and prices within which the fleet orders the runners of a service.
	Autoscaling struct {
		Min        int           // runners of a hall, of both kinds together
		Max        int           // of a hall, of both kinds together
		BootTime   time.Duration // from an order until its runners take requests
		SpotPrice  float64       // of a spot runner, as a share of another runner's price; 0 if there are none
		HallPrices map[HallID]float64
	}
)

// Total returns the number of requests of all accounts.
func (r UsageReport) Total() int {
	total := 0
	for _, count := range r.Counts {
		total += count
	}
	return total
}
