package serve

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/willowwick/willowwick"
)

// daemonMetrics are the metrics of one daemon.
type daemonMetrics struct {
	set                    *metrics.Set
	retries                *metrics.Counter
	resumes                *metrics.Counter
	repeatedChunks         *metrics.Counter
	policyFailures         *metrics.Counter
	ratings                *metrics.Counter
	ratingFailures         *metrics.Counter
	badWithoutReplacement  *metrics.Counter
	withdrawalsNotAppended *metrics.Counter
	ordersFencedOff        *metrics.Counter
	firstToken             *metrics.Histogram
	wholeAnswer            *metrics.Histogram
}

func newDaemonMetrics(d *Daemon) *daemonMetrics {
	set := metrics.NewSet()
	m := &daemonMetrics{
		set:                    set,
		retries:                set.NewCounter("willowwick_retries_total"),
		resumes:                set.NewCounter("willowwick_stream_resumes_total"),
		repeatedChunks:         set.NewCounter("willowwick_repeated_chunks_total"),
		policyFailures:         set.NewCounter("willowwick_policy_failures_total"),
		ratings:                set.NewCounter("willowwick_ratings_total"),
		ratingFailures:         set.NewCounter("willowwick_rating_failures_total"),
		badWithoutReplacement:  set.NewCounter("willowwick_bad_version_without_replacement_total"),
		withdrawalsNotAppended: set.NewCounter("willowwick_withdrawals_not_appended_total"),
		ordersFencedOff:        set.NewCounter("willowwick_orders_fenced_off_total"),
		firstToken:             set.NewHistogram("willowwick_first_token_seconds"),
		wholeAnswer:            set.NewHistogram("willowwick_whole_answer_seconds"),
	}
	m.addGauges(d)
	return m
}

func (m *daemonMetrics) addGauges(d *Daemon) {
	gauge := func(name string, read func() float64) {
		m.set.NewGauge(name, read)
	}
	gauge("willowwick_config_offset", func() float64 { return float64(d.node.Follower.Revision().Offset) })
	gauge("willowwick_requests_in_flight", func() float64 { return float64(d.inFlight.Load()) })
	gauge("willowwick_requests_waiting", func() float64 { return float64(d.gate.WaitingCount()) })
	gauge("willowwick_registry_entries", func() float64 { return float64(d.node.Registry.Len()) })
	gauge("willowwick_usage_backlog_own", func() float64 { own, _ := d.node.Usage.Backlog(); return float64(own) })
	gauge("willowwick_usage_backlog_held", func() float64 { _, held := d.node.Usage.Backlog(); return float64(held) })
	gauge("willowwick_usage_unreplicated", func() float64 { return float64(d.node.Usage.Unreplicated()) })
	gauge("willowwick_peer_sent_bytes", func() float64 { return float64(d.node.Transport.Sent.Load()) })
	gauge("willowwick_peer_received_bytes", func() float64 { return float64(d.node.Transport.Received.Load()) })
	gauge("willowwick_peers_refused", func() float64 { return float64(d.node.Transport.Refused.Load()) })
	gauge("willowwick_ready", func() float64 {
		if ready, _ := d.ready(); ready {
			return 1
		}
		return 0
	})
}

func (m *daemonMetrics) recordAnswer(account willowwick.AccountID, version willowwick.VersionID, cost willowwick.MicroUnits) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_answers_total{account=%q,version=%q}", account, version)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_cost_micro_units_total{account=%q}", account)).Add(int(cost))
}

func (m *daemonMetrics) recordRefusal(r *willowwick.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf("willowwick_refusals_total{kind=%q,code=%q}", r.Kind, r.Code)).Inc()
}

func (m *daemonMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
}
