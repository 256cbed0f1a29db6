package exchange

import (
	"log/slog"
	"slices"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/quarantine"
	"github.com/willowwick/willowwick/ratelimit"
	"github.com/willowwick/willowwick/reservation"
	"github.com/willowwick/willowwick/route"
)

// maxReportedAge is reported for what was never read, or not for longer: far above all limits on ages, and small enough
// that sums of ages don't overflow.
const maxReportedAge = time.Hour

type (
	// Digest is the state of a box that it sends to the others.
	Digest struct {
		Box           willowwick.BoxID
		Boot          willowwick.BootID
		Hall          willowwick.HallID
		Address       string
		LinkMbps      int
		IsStopping    bool   // during its planned stop
		StartedMs     int64  // Unix milliseconds; 0 from a box of an earlier release
		Granter       string // on a hub, the address of the box that it considers the granter of permits
		TableVersion  uint64
		TakesPacked   bool                // false from a box of an earlier release, which accepts unpacked configurations only
		ReadAgeMs     int64               // since it last showed that the box can read the store
		StoreAgeMs    int64               // age of its data on endpoints, whichever box read it
		ConfigAgeMs   int64               // since its configuration was last known to be the newest; 0 from a box of an earlier release
		RestoringMs   int64               // for how long the store may still lack what it lost in a restore from a copy; 0 if it lacks nothing
		EndpointsFrom willowwick.Position // where its list of endpoints last changed
		EndpointsRead willowwick.Position // up to where it knows all changes
		EndpointsSum  uint64              // checksum of that list; 0 while entries have lapsed or changes are pending
		Evacuated     EvacuatedHalls
		Admitted      AdmittedRequests
		Leaving       []route.DrainingRow // draining endpoints that its list doesn't show as such yet
		Own           Report
		Halls         []HallReport // what a hub knows of all halls; empty on a box that has a hub
		Progress      []ProgressRow
		Verdicts      []verdictRow
		Speeds        []route.SpeedRow
		CutOff        []willowwick.RegionID // on a hub, the other regions that it is cut off from
		Rejections    []reservation.Row     // limits on rejections that endpoints name
	}

	// ProgressRow is the state of a roll-out as a box knows it.
	ProgressRow struct {
		Status willowwick.ReleaseStatus
		Order  willowwick.ReleaseOrder
		AgeMs  int64 // since the order
	}

	// SwapCall is the request of a gossip exchange: a digest with what the peer lacks, as far as is known.
	SwapCall struct {
		Digest       Digest
		Table        *willowwick.RoutingTable // for a box of an earlier release
		Packed       []byte                   // the configuration for all others
		KnownSum     uint64                   // checksum of the caller's roster
		Known        []KnownRow               // some boxes of the caller's roster that the peer's lacked in its last reply
		TakesChanges bool                     // accepts changes of the list of endpoints; a box of an earlier release accepts whole lists only
		WantsList    bool                     // requests a whole list, since its own differs from the peer's last digest
		Harm         quarantine.Call
		Limits       ratelimit.Updates
		Usage        []byte // see package usage; empty if the fleet doesn't report it
	}

	// SwapReply is the reply of a gossip exchange: the peer's digest with what the caller lacks.
	SwapReply struct {
		Digest    Digest
		Table     *willowwick.RoutingTable // for a caller of an earlier release
		Packed    []byte
		Endpoints *EndpointList
		Known     []KnownRow // the whole roster, if the caller's differs
		HallAges  []HallAge  // if the rosters are equal
		Harm      quarantine.Updates
		Limits    ratelimit.Updates
		Usage     []byte // as in SwapCall
	}
)

// knownBox returns the box that sent the digest.
func (d *Digest) knownBox() KnownBox {
	return KnownBox{Address: d.Address, Hall: d.Hall, LinkMbps: d.LinkMbps, IsStopping: d.IsStopping}
}

// addTransitTime adds the time that the digest may have been in transit to the ages of the store's data in it.
func (d *Digest) addTransitTime(transit time.Duration) {
	d.ReadAgeMs += transit.Milliseconds()
	d.StoreAgeMs += transit.Milliseconds()
	if d.ConfigAgeMs > 0 {
		d.ConfigAgeMs += transit.Milliseconds()
	}
}

// ownDigest returns this box's digest.
func (p *peers) ownDigest(now time.Time) Digest {
	x := p.router
	// Taken before the version: a configuration that comes into force in between is then newer than the reported age,
	// not older.
	configAge := max(x.sync.configAge(now).Milliseconds(), 1)
	digest := Digest{
		Box: x.settings.Box, Boot: x.settings.Boot, Hall: x.settings.Hall, Address: x.settings.Peers,
		LinkMbps: x.settings.LinkMbps, IsStopping: x.stopping.Load(), StartedMs: p.startedMs, TableVersion: x.configVersion(), TakesPacked: true, ConfigAgeMs: configAge,
		StoreAgeMs: x.sync.endpointsAge(now).Milliseconds(), ReadAgeMs: min(x.sync.storeReadAge(now), maxReportedAge).Milliseconds(),
		Evacuated: x.evacuations.set(), Admitted: x.admissions.set(), Leaving: x.pool.DrainingNotInEntries(),
		Rejections: x.reservations.Rows(now), Own: p.ownReport(), Verdicts: x.releases.verdictRows(now), Speeds: x.pool.Speeds(),
	}
	digest.RestoringMs = x.sync.restoringTimeLeft(now).Milliseconds()
	digest.EndpointsFrom, digest.EndpointsRead, digest.EndpointsSum = x.sync.listPositions()
	for _, own := range x.releases.progressList(now) {
		digest.Progress = append(digest.Progress, ProgressRow{Status: own.Status, Order: own.Order, AgeMs: own.AgeMs})
	}
	if _, hasHub := p.hub(now); !hasHub {
		digest.Halls = p.hallReports(now)
		digest.Granter, digest.CutOff = p.granterOfHubs(now), p.cutOffRegions()
	}
	p.setGranting(now, digest.Granter == digest.Address)
	return digest
}

// digestFor returns this box's digest for a box of a hall. Another region gets the reports of this one only, and not that
// of this box, which is part of them.
func (p *peers) digestFor(hall willowwick.HallID, now time.Time) Digest {
	digest := p.ownDigest(now)
	if p.isInOtherRegion(hall) {
		digest.Own = Report{}
		digest.Halls = slices.DeleteFunc(digest.Halls, func(report HallReport) bool { return p.isInOtherRegion(report.Hall) })
	}
	return digest
}

// applyPeerTable applies the configuration that a box sent, if there is one and it is newer.
func (p *peers) applyPeerTable(table *willowwick.RoutingTable, packed []byte, from *Digest) {
	if len(packed) > 0 && from.TableVersion > p.router.configVersion() {
		var err error
		if table, err = unpackTable(packed); err != nil {
			slog.Warn("decoding the configuration of another box failed", "peer", from.Box, "version", from.TableVersion, "error", err)
		}
	}
	if table != nil {
		p.router.setTable(table, "peer "+string(from.Box))
	}
}

// tableForPeer returns the configuration for a box that has an older one, packed if the box accepts that.
func (p *peers) tableForPeer(version uint64, takesPacked bool) (table *willowwick.RoutingTable, packed []byte) {
	t := p.router.table.Load()
	if t == nil || t.Version <= version {
		return nil, nil
	}
	if takesPacked {
		return nil, t.packed()
	}
	return t.RoutingTable, nil
}
