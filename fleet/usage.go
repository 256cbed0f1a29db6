package fleet

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
)

const (
	// MaxUsageBacklog bounds the usage records in one box's memory, its own and those it holds for others.
	MaxUsageBacklog = 200_000

	maxBatchRecords      = 500 // records in one entry of the usage stream
	minAppendInterval    = 250 * time.Millisecond
	appendIntervalPerBox = 10 * time.Millisecond // limits the whole fleet to about 100 batches per second
	holdTimeout          = 2 * time.Second       // maximum delay of a response by the replication of its record
	holdCallTimeout      = time.Second
	heldAppendDelay      = 10 * time.Second // time that the owner of a held record has to append it
	appendRetryInterval  = time.Second
	appendTimeout        = 3 * time.Second
	holdRetryInterval    = 50 * time.Millisecond
	maxHoldRecords       = 1000 // records in one call of Hold
)

type (
	// UsageBatch is one entry of the usage stream.
	UsageBatch struct {
		Records []willowwick.UsageRecord `json:"records"`
	}

	// HoldArgs asks another box to hold replicas of usage records. Boot is the sender, which is not the owner of all
	// records if it hands over those that it held itself.
	HoldArgs struct {
		Boot    willowwick.BootID
		Records []willowwick.UsageRecord
	}

	// SettleArgs lists the records of a box that are on the log, so that the replica can remove them.
	SettleArgs struct {
		Boot willowwick.BootID
		Seqs []uint64
	}

	// UsageReplicator replicates usage records to another box, the replica. Hold sends records to it, and returns alone
	// if there is no other box; Settle sends it the records that it need not hold any more.
	UsageReplicator interface {
		Hold(ctx context.Context, args HoldArgs) (alone bool, err error)
		Settle(ctx context.Context, args SettleArgs)
	}

	// Usage brings the usage record of each request onto the log. A record is replicated to a second box before the
	// response ends, and appended in batches by this box or, if it crashes, by the second box. It may be appended more
	// than once; Ledger counts it once.
	Usage struct {
		log         willowwick.Log
		replicator  UsageReplicator
		boot        willowwick.BootID
		fleetSize   func() int
		mu          sync.Mutex
		seq         uint64
		own         map[uint64]*ownRecord // by sequence number; not on the log yet
		ownOrder    []uint64
		held        map[recordKey]heldRecord // records of other boxes
		wake        chan struct{}            // wakes runReplication
		wasFull     bool                     // state last logged
		handingOver bool                     // a planned stop hands all records over, so held ones are due at once

		unreplicated uint64 // records that only this box had when their response ended
	}

	// ownRecord is a record of this box that is not on the log yet.
	ownRecord struct {
		record    willowwick.UsageRecord
		durable   chan struct{} // closed once the record is replicated or on the log
		isDurable bool
	}

	recordKey struct {
		boot willowwick.BootID
		seq  uint64
	}

	// heldRecord is a record of another box.
	heldRecord struct {
		record   willowwick.UsageRecord
		appendAt time.Time // when this box appends it unless its owner has
	}
)

var (
	// ErrUsageFull is returned when no more usage records are accepted until the log accepts appends again.
	ErrUsageFull = errors.New("usage record backlog is full")
	// ErrUsageHandedOver is returned by a box that is about to end, and hands its own records to another box.
	ErrUsageHandedOver = errors.New("the box is about to end and holds no usage records of others")
)

// NewUsage returns an empty Usage; fleetSize returns the number of boxes in the fleet.
func NewUsage(log willowwick.Log, replicator UsageReplicator, boot willowwick.BootID, fleetSize func() int) *Usage {
	return &Usage{
		log: log, replicator: replicator, boot: boot, fleetSize: fleetSize,
		own: map[uint64]*ownRecord{}, held: map[recordKey]heldRecord{}, wake: make(chan struct{}, 1),
	}
}

// IsFull reports whether the backlog has reached MaxUsageBacklog, so that new billable work must be refused.
func (u *Usage) IsFull() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isFull()
}

// isFull is IsFull, and logs changes. The caller holds the lock.
func (u *Usage) isFull() bool {
	full := len(u.own)+len(u.held) >= MaxUsageBacklog
	if full != u.wasFull {
		slog.Error("usage backlog changed", "full", full, "records", len(u.own)+len(u.held))
		u.wasFull = full
	}
	return full
}

// Backlog returns the number of own and of held records that are not on the log yet.
func (u *Usage) Backlog() (own, held int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.own), len(u.held)
}

// Unreplicated returns the number of records that only this box had when Record returned after holdTimeout.
func (u *Usage) Unreplicated() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unreplicated
}

// Record adds a record and returns once a second box or the log has it, or when the context ends.
//
// After holdTimeout it returns all the same, and counts the record as unreplicated; replication goes on.
func (u *Usage) Record(ctx context.Context, record willowwick.UsageRecord) {
	u.mu.Lock()
	u.seq++
	record.Boot, record.Seq = u.boot, u.seq
	own := &ownRecord{record: record, durable: make(chan struct{})}
	u.own[record.Seq] = own
	u.ownOrder = append(u.ownOrder, record.Seq)
	u.mu.Unlock()
	u.wakeReplication()
	timer := time.NewTimer(holdTimeout)
	defer timer.Stop()
	select {
	case <-own.durable:
	case <-timer.C:
		u.mu.Lock()
		u.unreplicated++
		u.mu.Unlock()
	case <-ctx.Done():
	}
}

func (u *Usage) wakeReplication() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// Run replicates and appends records until the context ends.
func (u *Usage) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { u.runReplication(ctx) })
	workers.Go(func() { u.runAppending(ctx) })
	workers.Wait()
}

// runReplication replicates own records as they arrive. Without another box it appends them to the log at once.
func (u *Usage) runReplication(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		}
		for ctx.Err() == nil {
			records := u.undurableRecords()
			if len(records) == 0 {
				break
			}
			callCtx, cancel := context.WithTimeout(ctx, holdCallTimeout)
			alone, err := u.replicator.Hold(callCtx, HoldArgs{Boot: u.boot, Records: records})
			cancel()
			if err == nil && !alone {
				u.markDurable(records)
				continue
			}
			if alone {
				u.AppendNow(ctx)
			}
			clock.Sleep(ctx, holdRetryInterval)
		}
	}
}

// undurableRecords returns up to maxHoldRecords own records that are neither replicated nor on the log.
func (u *Usage) undurableRecords() []willowwick.UsageRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	var records []willowwick.UsageRecord
	for _, seq := range u.ownOrder {
		if own := u.own[seq]; own != nil && !own.isDurable {
			records = append(records, own.record)
			if len(records) == maxHoldRecords {
				break
			}
		}
	}
	return records
}

func (u *Usage) markDurable(records []willowwick.UsageRecord) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, record := range records {
		u.setDurable(record.Seq)
	}
}

// setDurable ends the wait of Record for an own record. The caller holds the lock.
func (u *Usage) setDurable(seq uint64) {
	if own := u.own[seq]; own != nil && !own.isDurable {
		own.isDurable = true
		close(own.durable)
	}
}

// ReplicaLost marks all own records as unreplicated, so that they are sent to another box.
func (u *Usage) ReplicaLost() {
	u.mu.Lock()
	for _, own := range u.own {
		if own.isDurable {
			own.isDurable = false
			own.durable = make(chan struct{})
		}
	}
	u.mu.Unlock()
	u.wakeReplication()
}

// runAppending appends due records at an interval that grows with the fleet.
func (u *Usage) runAppending(ctx context.Context) {
	for {
		period := max(minAppendInterval, time.Duration(u.fleetSize())*appendIntervalPerBox)
		clock.Sleep(ctx, period)
		if ctx.Err() != nil {
			return
		}
		if !u.AppendNow(ctx) {
			clock.Sleep(ctx, appendRetryInterval)
		}
	}
}

// AppendNow appends all due records in batches and reports whether the log accepted them all.
func (u *Usage) AppendNow(ctx context.Context) bool {
	for {
		records := u.dueRecords(clock.Now())
		if len(records) == 0 {
			return true
		}
		data, err := json.Marshal(UsageBatch{Records: records})
		if err != nil {
			slog.Error("failed to encode usage batch", "error", err)
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = u.log.Append(callCtx, willowwick.StreamUsage, data)
		cancel()
		if err != nil {
			return false
		}
		u.removeAppended(ctx, records)
	}
}

// HandOver moves every record out of this box's memory before a planned stop: onto the log or, while the log is down,
// into the memory of another box. It returns false if the context ended first.
func (u *Usage) HandOver(ctx context.Context) bool {
	u.mu.Lock()
	u.handingOver = true
	u.mu.Unlock()
	for ctx.Err() == nil {
		if u.AppendNow(ctx) || u.transferAll(ctx) {
			return true
		}
		clock.Sleep(ctx, holdRetryInterval)
	}
	return false
}

// transferAll replicates all records, own and held, to another box.
func (u *Usage) transferAll(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	alone, err := u.replicator.Hold(callCtx, HoldArgs{Boot: u.boot, Records: u.allRecords()})
	return err == nil && !alone
}

func (u *Usage) allRecords() []willowwick.UsageRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	records := make([]willowwick.UsageRecord, 0, len(u.own)+len(u.held))
	for _, own := range u.own {
		records = append(records, own.record)
	}
	for _, held := range u.held {
		records = append(records, held.record)
	}
	return records
}

// dueRecords returns a batch of own records and of held records that their owner hasn't appended within
// heldAppendDelay; during a hand-over, of all held records.
func (u *Usage) dueRecords(now time.Time) []willowwick.UsageRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	var records []willowwick.UsageRecord
	for _, seq := range u.ownOrder {
		if own := u.own[seq]; own != nil && len(records) < maxBatchRecords {
			records = append(records, own.record)
		}
	}
	for _, held := range u.held {
		if (u.handingOver || !now.Before(held.appendAt)) && len(records) < maxBatchRecords {
			records = append(records, held.record)
		}
	}
	return records
}

// removeAppended removes records that are on the log, and has the replica remove its copies of the own ones.
func (u *Usage) removeAppended(ctx context.Context, records []willowwick.UsageRecord) {
	var seqs []uint64
	u.mu.Lock()
	for _, record := range records {
		if record.Boot != u.boot {
			delete(u.held, recordKey{record.Boot, record.Seq})
			continue
		}
		u.setDurable(record.Seq)
		delete(u.own, record.Seq)
		seqs = append(seqs, record.Seq)
	}
	kept := u.ownOrder[:0]
	for _, seq := range u.ownOrder {
		if u.own[seq] != nil {
			kept = append(kept, seq)
		}
	}
	u.ownOrder = kept
	u.mu.Unlock()
	if len(seqs) > 0 {
		u.replicator.Settle(ctx, SettleArgs{Boot: u.boot, Seqs: seqs})
	}
}

// Hold stores records that another box sent, as their replica. A box that hands over its own records takes none: what
// comes later would end with it.
func (u *Usage) Hold(now time.Time, args HoldArgs) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.handingOver {
		return ErrUsageHandedOver
	}
	if u.isFull() {
		return ErrUsageFull
	}
	for _, record := range args.Records {
		if record.Boot == u.boot {
			// A box that stops also hands the records that it held to their owner, which has them already or has
			// appended them. Stored as held records, they would be due again after every append.
			continue
		}
		u.held[recordKey{record.Boot, record.Seq}] = heldRecord{record: record, appendAt: now.Add(heldAppendDelay)}
	}
	return nil
}

// Settle removes held records that their owner has appended.
func (u *Usage) Settle(args SettleArgs) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, seq := range args.Seqs {
		delete(u.held, recordKey{args.Boot, seq})
	}
}

// Ledger is the fold of the usage stream; it counts each record once, however often it was appended.
type Ledger struct {
	Records    map[recordKey]willowwick.UsageRecord
	Duplicates int // appends of records that were already counted
	ByAccount  map[willowwick.AccountID]willowwick.MicroUnits
	ByRequest  map[willowwick.RequestID]int
	TotalCost  willowwick.MicroUnits
	TotalCount int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		Records:   map[recordKey]willowwick.UsageRecord{},
		ByAccount: map[willowwick.AccountID]willowwick.MicroUnits{},
		ByRequest: map[willowwick.RequestID]int{},
	}
}

// Fold adds one entry of the usage stream.
func (l *Ledger) Fold(entry willowwick.Entry) error {
	var batch UsageBatch
	if err := json.Unmarshal(entry.Data, &batch); err != nil {
		return errors.Wrapf(err, "usage at offset %d", entry.Offset)
	}
	for _, record := range batch.Records {
		key := recordKey{record.Boot, record.Seq}
		if _, known := l.Records[key]; known {
			l.Duplicates++
			continue
		}
		l.Records[key] = record
		l.ByAccount[record.Account] += record.Cost
		l.ByRequest[record.Request]++
		l.TotalCost += record.Cost
		l.TotalCount++
	}
	return nil
}

// BilledTwice returns the number of requests with more than one record.
func (l *Ledger) BilledTwice() int {
	twice := 0
	for _, records := range l.ByRequest {
		if records > 1 {
			twice++
		}
	}
	return twice
}

// ReadLedger reads and folds the whole usage stream.
func ReadLedger(ctx context.Context, log willowwick.Log) (*Ledger, error) {
	ledger := NewLedger()
	for from := willowwick.Offset(1); ; {
		page, err := log.Read(ctx, willowwick.StreamUsage, from, maxEntriesPerRead)
		if err != nil {
			return nil, errors.Wrap(err, "read usage")
		}
		for _, entry := range page.Entries {
			if err := ledger.Fold(entry); err != nil {
				return nil, err
			}
			from = entry.Offset + 1
		}
		if len(page.Entries) == 0 {
			if page.First > from {
				from = page.First
				continue
			}
			return ledger, nil
		}
	}
}
