package willowwick

import "context"

// StreamID names a stream of the platform's log.
type StreamID string

// Streams of the log.
const (
	// StreamConfig carries declarations, roll-out steps, withdrawals, leases, rosters and snapshots.
	StreamConfig StreamID = "config"
	// StreamUsage carries batches of usage records.
	StreamUsage StreamID = "usage"
)

// Entry is one record of a stream.
type Entry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read.
type Page struct {
	First   Offset  `json:"first"` // oldest retained offset
	Next    Offset  `json:"next"`  // offset of the next append
	Entries []Entry `json:"entries"`
}

// Log is the platform's append-only log service.
//
// After an error of Append the record may have been stored or not; only a read shows which.
type Log interface {
	Append(ctx context.Context, stream StreamID, data []byte) (Offset, error)
	Read(ctx context.Context, stream StreamID, from Offset, limit int) (Page, error)
}
