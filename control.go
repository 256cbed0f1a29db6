package willowwick

import (
	"context"
	"time"
)

type (
	// Declarations is the result of one read of the operator's declarations.
	Declarations struct {
		Snapshot    bool          // all current declarations were read; any that is missing here was revoked
		Table       *RoutingTable // the newest one, or nil if the read found none
		Orders      []ReleaseOrder
		Evacuations []Evacuation // those of one hall are in the order of their declaration
		Admissions  []Admission  // those of one request are in the order of their declaration
		Partial     bool         // the store holds more: the answer is long, or the newest table cannot be decoded
		Next        Position     // where to continue reading; 0 reads everything again
	}

	// Evacuation declares that a hall's endpoints get no new work, or revokes such a declaration.
	Evacuation struct {
		Hall    HallID
		Revoked bool
		At      Position // of this declaration in its topic
	}

	// Admission declares that a request is sent to endpoints although some crashed while running it, or revokes such a
	// declaration.
	Admission struct {
		Request Fingerprint
		Revoked bool
		At      Position // of this declaration in its topic
	}

	// EndpointChanges is the result of one read of the list of endpoints.
	EndpointChanges struct {
		Snapshot bool // Present is the complete list; any other endpoint is gone
		Present  []Endpoint
		Gone     []EndpointID // removed before Present was written, also if they are listed there again
		Invalid  []EndpointID // the newest entry under this id is not an endpoint's; a valid one may follow at any time
		Next     Position
	}

	// ReleaseStatuses are the states of all roll-outs and the end of their topic.
	ReleaseStatuses struct {
		Statuses []ReleaseStatus
		End      Position
	}

	// Membership is a box's role in the group of boxes.
	Membership struct {
		Generation uint64 // increases with each change of the group
		IsLeader   bool   // this box is the leader for roll-outs
	}

	// Control is the platform's store, as used by the exchange.
	Control interface {
		// Declarations reads the declarations since a position; if there are none, it waits for one up to the given duration.
		Declarations(ctx context.Context, from Position, wait time.Duration) (Declarations, error)
		// Endpoints reads the changes of the list of endpoints since a position, without waiting.
		Endpoints(ctx context.Context, from Position) (EndpointChanges, error)
		// Statuses reads the states of all roll-outs.
		Statuses(ctx context.Context) (ReleaseStatuses, error)
		// SetStatus writes a state if the topic still ends at the given position; otherwise it returns ErrConflict.
		SetStatus(ctx context.Context, status ReleaseStatus, end Position) error
		// PoisonRequests reads the requests that are refused because endpoints crash while running them. The result may
		// share memory with the store and must not be modified.
		PoisonRequests(ctx context.Context) ([]PoisonRequest, error)
		// SetPoisonRequest writes a poison request; one without crashes is no longer refused.
		SetPoisonRequest(ctx context.Context, request PoisonRequest) error
		// Join adds the box to the group, or renews its membership, and returns its role.
		Join(ctx context.Context, member string, generation uint64) (Membership, error)
		// Members lists the members of the group.
		Members(ctx context.Context) ([]string, error)
		// Leave removes the box from the group.
		Leave(ctx context.Context, member string) error
	}
)
