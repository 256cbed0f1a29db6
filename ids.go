package willowwick

// Identifiers of declared objects and of the platform's boxes and endpoints.
type (
	// AccountID names a client account.
	AccountID string
	// ModelID names a model.
	ModelID string
	// VersionID names one version of a model; no two models share a version name.
	VersionID string
	// CascadeID names a cascade.
	CascadeID string
	// PolicyID names a policy.
	PolicyID string
	// RolloutID names a roll-out.
	RolloutID string
	// ServiceID names a plain service.
	ServiceID string
	// BoxID names a box that runs the daemon.
	BoxID string
	// BootID identifies one start of a daemon; a restarted box has a new one.
	BootID string
	// HallID names a hall.
	HallID string
	// EndpointID names a runner or an instance of a plain service.
	EndpointID string
	// RequestID identifies one request of a caller.
	RequestID string
	// SessionID is the caller's name for a session.
	SessionID string
	// ChangeID identifies one published change and makes appending it idempotent.
	ChangeID string
	// Class is the caller's class of a request, such as "scan".
	Class string
)

// Positions in the log.
type (
	// Offset is the position of a record in a stream of the log; the first is 1.
	Offset uint64
	// Epoch is the offset of the current roster record.
	Epoch uint64
	// Fence is the offset at which a lease was first granted to its holder.
	Fence uint64
)
