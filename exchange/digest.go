package exchange

import (
	"log/slog"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/route"
)

// longestAge is told of what was never read, or not for longer: far above all limits on ages, and sums with it stay sums.
const longestAge = time.Hour

type (
	// Digest is what a box tells the others.
	Digest struct {
		Box           willowwick.BoxID
		Boot          willowwick.BootID
		Hall          willowwick.HallID
		Address       string
		LinkMbps      int
		StartedMs     int64  // Unix milliseconds; 0 from a box of an earlier release
		Granter       string // on a hub, the address of the box that it takes for the one that grants permits
		TableVersion  uint64
		TakesPacked   bool                // a box of an earlier release takes configurations as they are alone
		ReadAgeMs     int64               // since it last showed that the box can read the store
		StoreAgeMs    int64               // since what it knows of the endpoints was read there, by whichever box
		ConfigAgeMs   int64               // since its configuration was the newest for certain; 0 from a box of an earlier release
		RestoringMs   int64               // for so long the store may still lack what it lost as it came back from a copy; 0 if it lacks nothing
		EndpointsFrom willowwick.Position // where its list of endpoints last changed
		EndpointsRead willowwick.Position // up to where it knows all changes
		EndpointsSum  uint64              // over that list; 0 while entries are in doubt
		Evacuated     EvacuatedHalls
		Admitted      AdmittedRequests
		Leaving       []route.LeavingRow // endpoints that leave, of which its list does not say so yet
		Own           Report
		Halls         []HallReport // what a hub knows of all halls; empty on a box that has a hub
		Progress      []ProgressRow
		Verdicts      []verdictRow
		Speeds        []route.SpeedRow
	}

	// ProgressRow is a roll-out as a box believes it to be.
	ProgressRow struct {
		Status willowwick.ReleaseStatus
		Order  willowwick.ReleaseOrder
		AgeMs  int64 // since the order
	}

	// SwapCall is a digest with what the peer lacks, as far as is known.
	SwapCall struct {
		Digest       Digest
		Table        *willowwick.RoutingTable // to a box of an earlier release
		Packed       []byte                   // the configuration for all others
		KnownSum     uint64                   // over the boxes that the caller knows
		TakesChanges bool                     // of the list of endpoints; a box of an earlier release takes whole lists alone
		WantsList    bool                     // whole, since its own differs from what the peer told last
		Harm         quarantine.Call
		Limits       ratelimit.Updates
	}

	// SwapReply is a peer's digest with what the caller lacks.
	SwapReply struct {
		Digest    Digest
		Table     *willowwick.RoutingTable // likewise
		Packed    []byte
		Endpoints *EndpointList
		Known     []KnownRow // all boxes, if the caller knows others
		HallAges  []HallAge  // if it knows the same ones
		Harm      quarantine.Updates
		Limits    ratelimit.Updates
	}
)

// box is the box that the digest tells of.
func (d *Digest) box() KnownBox {
	return KnownBox{Address: d.Address, Hall: d.Hall, LinkMbps: d.LinkMbps}
}

// addAge makes what the digest tells of the store older by the time that it may have been under way.
func (d *Digest) addAge(underWay time.Duration) {
	d.ReadAgeMs += underWay.Milliseconds()
	d.StoreAgeMs += underWay.Milliseconds()
	if d.ConfigAgeMs > 0 {
		d.ConfigAgeMs += underWay.Milliseconds()
	}
}

// digest is this box's own.
func (p *peers) digest(now time.Time) Digest {
	x := p.router
	// Before the version: a configuration that comes into force in between is newer than the age tells, not older.
	configAge := max(x.sync.configAge(now).Milliseconds(), 1)
	digest := Digest{
		Box: x.settings.Box, Boot: x.settings.Boot, Hall: x.settings.Hall, Address: x.settings.Peers,
		LinkMbps: x.settings.LinkMbps, StartedMs: p.startedMs, TableVersion: x.configVersion(), TakesPacked: true, ConfigAgeMs: configAge,
		StoreAgeMs: x.sync.endpointsAge(now).Milliseconds(), ReadAgeMs: min(x.sync.readAge(now), longestAge).Milliseconds(),
		Evacuated: x.evacuations.set(), Admitted: x.admissions.set(), Leaving: x.pool.LeavingUnlisted(),
		Own: p.ownReport(), Verdicts: x.releases.ended(now), Speeds: x.pool.Speeds(),
	}
	digest.RestoringMs = x.sync.restoringFor(now).Milliseconds()
	digest.EndpointsFrom, digest.EndpointsRead, digest.EndpointsSum = x.sync.listedFrom()
	for _, own := range x.releases.progresses(now) {
		digest.Progress = append(digest.Progress, ProgressRow{Status: own.Status, Order: own.Order, AgeMs: own.AgeMs})
	}
	if _, hasHub := p.hub(now); !hasHub {
		digest.Halls = p.hallReports(now)
		digest.Granter = p.granterOfHubs(now)
	}
	p.noteGranting(now, digest.Granter == digest.Address)
	return digest
}

// takeTable takes the configuration that a box sent, if it sent one that is newer.
func (p *peers) takeTable(table *willowwick.RoutingTable, packed []byte, from *Digest) {
	if len(packed) > 0 && from.TableVersion > p.router.configVersion() {
		var err error
		if table, err = unpackTable(packed); err != nil {
			slog.Warn("configuration of another box cannot be read", "peer", from.Box, "version", from.TableVersion, "error", err)
		}
	}
	if table != nil {
		p.router.setTable(table, "peer "+string(from.Box))
	}
}

// tableFor returns the configuration for a box that has an older one, packed if it takes that.
func (p *peers) tableFor(version uint64, takesPacked bool) (table *willowwick.RoutingTable, packed []byte) {
	t := p.router.table.Load()
	if t == nil || t.Version <= version {
		return nil, nil
	}
	if takesPacked {
		return nil, t.packed()
	}
	return t.RoutingTable, nil
}
