package serve

import (
	"net/http"
	"time"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/clock"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/fleet"
)

// Paths of the operators' HTTP interface.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/ops/status"
	PathTrace   = "/ops/trace/"
)

type (
	// Status is the state that a daemon reports to operators.
	Status struct {
		Box          willowwick.BoxID        `json:"box"`
		Boot         willowwick.BootID       `json:"boot"`
		Hall         willowwick.HallID       `json:"hall"`
		Ready        bool                    `json:"ready"`
		Readiness    string                  `json:"why"`
		Offset       willowwick.Offset       `json:"offset"`
		Confirmed    bool                    `json:"confirmed"`
		ConfirmedAt  time.Time               `json:"confirmedAt"`
		Epoch        willowwick.Epoch        `json:"epoch"`
		LeaseHolder  willowwick.BoxID        `json:"leaseHolder"`
		HoldsLease   bool                    `json:"holdsLease"`
		Live         []fleet.LiveBox         `json:"live"`
		InFlight     int64                   `json:"inFlight"`
		Endpoints    []willowwick.EndpointID `json:"endpoints"` // as the platform last listed them
		UsageOwn     int                     `json:"usageOwn"`
		UsageHeld    int                     `json:"usageHeld"`
		Rollouts     []RolloutStatus         `json:"rollouts"`
		Withdrawn    []WithdrawnStatus       `json:"withdrawn"`
		Audit        []config.AuditEntry     `json:"audit,omitempty"`
		StateHash    uint64                  `json:"stateHash"`
		PeerSent     uint64                  `json:"peerSentBytes"`
		PeerReceived uint64                  `json:"peerReceivedBytes"`
	}

	// RolloutStatus is the progress of a roll-out.
	RolloutStatus struct {
		ID    willowwick.RolloutID `json:"id"`
		Model willowwick.ModelID   `json:"model"`
		From  willowwick.VersionID `json:"from"`
		To    willowwick.VersionID `json:"to"`
		Step  int                  `json:"step"`
		Steps int                  `json:"steps"`
		Share float64              `json:"sharePercent"`
	}

	// WithdrawnStatus is a withdrawn version.
	WithdrawnStatus struct {
		Version willowwick.VersionID `json:"version"`
		config.Withdrawn
	}
)

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) { d.metrics.write(w) })
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET "+PathReady, d.handleReady)
	mux.HandleFunc("GET "+PathStatus, d.handleStatus)
	mux.HandleFunc("GET "+PathTrace+"{id}", d.handleTrace)
	return mux
}

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	ok, reason := d.ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(reason + "\n"))
}

func (d *Daemon) handleStatus(w http.ResponseWriter, r *http.Request) {
	status := d.Status()
	if r.URL.Query().Get("audit") != "" {
		status.Audit = d.node.Follower.Revision().Audit
	}
	writeJSON(w, http.StatusOK, status)
}

// Status returns the state of the daemon and its view of the fleet.
func (d *Daemon) Status() Status {
	now := clock.Now()
	r := d.node.Follower.Revision()
	ready, readiness := d.ready()
	own, held := d.node.Usage.Backlog()
	_, holds := d.node.Lease.Fence(now)
	hash, _ := r.Hash()
	status := Status{
		Box: d.settings.Box, Boot: d.settings.Boot, Hall: d.settings.Hall, Ready: ready, Readiness: readiness,
		Offset: r.Offset, Confirmed: d.node.IsConfigCurrent(now), ConfirmedAt: d.node.Follower.ConfirmedAt(),
		Epoch: r.Roster.Epoch, LeaseHolder: r.Lease.Box, HoldsLease: holds, Live: d.node.Table.Live(now),
		InFlight: d.inFlight.Load(), UsageOwn: own, UsageHeld: held, StateHash: hash,
		PeerSent: d.node.Transport.Sent.Load(), PeerReceived: d.node.Transport.Received.Load(),
	}
	for _, endpoint := range d.pool.Endpoints() {
		status.Endpoints = append(status.Endpoints, endpoint.ID)
	}
	for _, active := range r.Rollouts() {
		status.Rollouts = append(status.Rollouts, RolloutStatus{
			ID: active.ID, Model: active.Model, From: active.From, To: active.To,
			Step: active.Progress.Step, Steps: len(active.Steps), Share: active.Share,
		})
	}
	for version, withdrawn := range r.Withdrawn {
		status.Withdrawn = append(status.Withdrawn, WithdrawnStatus{Version: version, Withdrawn: withdrawn})
	}
	return status
}

func (d *Daemon) handleTrace(w http.ResponseWriter, r *http.Request) {
	trace, ok := d.traces.find(willowwick.RequestID(r.PathValue("id")))
	if !ok {
		http.Error(w, "this box has no trace of the request; it keeps the newest 4096", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, trace.clone())
}
