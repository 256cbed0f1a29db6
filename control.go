package willowwick

import (
	"context"
	"time"
)

type (
	// Declarations is what a read of the operator's declarations brought.
	Declarations struct {
		Snapshot    bool          // all that stands was read; what is not in it was taken back
		Table       *RoutingTable // the newest one, or nil if there was none in what was read
		Orders      []ReleaseOrder
		Evacuations []Evacuation // those of one hall in the order in which they were declared
		Admissions  []Admission  // likewise
		Partial     bool         // more stood there than was read so far: an answer is long, or the newest table cannot be decoded
		Next        Position     // where the next read goes on; 0 reads everything anew
	}

	// Evacuation says that a hall's endpoints are to get no new work, or that the operator took this back.
	Evacuation struct {
		Hall    HallID
		Revoked bool
		At      Position // where it stands among the declarations
	}

	// Admission says that a request is to be sent to endpoints although it ended some, or that the operator took this back.
	Admission struct {
		Request Fingerprint
		Revoked bool
		At      Position // where it stands among the declarations
	}

	// EndpointChanges is what a read of the list of endpoints brought.
	EndpointChanges struct {
		Snapshot bool // Present is the whole list; what is not in it is gone
		Present  []Endpoint
		Gone     []EndpointID // they went before Present was written, also where they stand there again
		Invalid  []EndpointID // the newest entry under the name is none of an endpoint; another one may follow at any time
		Next     Position
	}

	// ReleaseStatuses are all states of roll-outs, and where their topic ends.
	ReleaseStatuses struct {
		Statuses []ReleaseStatus
		End      Position
	}

	// Membership is a box's part in the group of boxes.
	Membership struct {
		Generation uint64 // rises with each change of the group
		IsLeader   bool   // this box looks after the roll-outs
	}

	// Control is the platform's store as the exchange needs it.
	Control interface {
		// Declarations reads what was declared since an offset and waits for it up to the given time.
		Declarations(ctx context.Context, from Position, wait time.Duration) (Declarations, error)
		// Endpoints reads the changes of the list of endpoints since an offset, at once.
		Endpoints(ctx context.Context, from Position) (EndpointChanges, error)
		// Statuses reads all states of roll-outs.
		Statuses(ctx context.Context) (ReleaseStatuses, error)
		// SetStatus writes a state if the topic still ends at the offset; otherwise it returns ErrConflict.
		SetStatus(ctx context.Context, status ReleaseStatus, end Position) error
		// PoisonRequests reads the requests that are refused since they end endpoints. They may be the store's own: nobody changes them.
		PoisonRequests(ctx context.Context) ([]PoisonRequest, error)
		// SetPoisonRequest writes such a request; one without ends is not refused any more.
		SetPoisonRequest(ctx context.Context, request PoisonRequest) error
		// Join makes the box a member of the group, or keeps it one, and tells its part.
		Join(ctx context.Context, member string, generation uint64) (Membership, error)
		// Members lists the members of the group.
		Members(ctx context.Context) ([]string, error)
		// Leave takes the box out of the group.
		Leave(ctx context.Context, member string) error
	}
)
