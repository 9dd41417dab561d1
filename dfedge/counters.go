package dfedge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// failureLines bounds the lines about failed requests in one second. The rest
// is counted.
const failureLines = 40

// counters has the figures of one host.
type counters struct {
	set           *metrics.Set
	latency       *metrics.Histogram
	retries       *metrics.Counter
	opened        *metrics.Counter
	openFailures  *metrics.Counter
	probesFailed  *metrics.Counter
	leaderChanges *metrics.Counter
	orders        *metrics.Counter
	expired       *metrics.Counter
	forwarded     *metrics.Counter
	carried       *metrics.Counter
	carriersLost  *metrics.Counter
	linesDropped  *metrics.Counter
	// second and lines count failure lines; they are guarded by the host's mutex.
	second dfclock.Millis
	lines  int
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:           set,
		latency:       set.NewHistogram("dragonflygrade_edge_statement_seconds"),
		retries:       set.NewCounter("dragonflygrade_edge_retries_total"),
		opened:        set.NewCounter("dragonflygrade_edge_connections_opened_total"),
		openFailures:  set.NewCounter("dragonflygrade_edge_connection_failures_total"),
		probesFailed:  set.NewCounter("dragonflygrade_edge_probes_failed_total"),
		leaderChanges: set.NewCounter("dragonflygrade_edge_leader_changes_total"),
		orders:        set.NewCounter("dragonflygrade_edge_promotion_orders_total"),
		expired:       set.NewCounter("dragonflygrade_edge_transactions_expired_total"),
		forwarded:     set.NewCounter("dragonflygrade_edge_forwarded_total"),
		carried:       set.NewCounter("dragonflygrade_edge_carried_total"),
		carriersLost:  set.NewCounter("dragonflygrade_edge_carriers_lost_total"),
		linesDropped:  set.NewCounter("dragonflygrade_edge_log_lines_dropped_total"),
	}
}

// answered counts a statement by its result.
func (c *counters) answered(answer dfstatement.Answer, span dfclock.Millis) {
	c.latency.Update(float64(span) / float64(dfclock.Second))
	c.set.GetOrCreateCounter(fmt.Sprintf("dragonflygrade_edge_statements_total{code=\"%d\"}", int(answer.Code))).Inc()
}

// logFailure writes the line of a request that was not served.
func (e *Edge) logFailure(call dfstatement.Call, route dfcatalog.Route, text string, code dfresult.Code, why, last string, retryAfter dfclock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if second := now / dfclock.Second; second != e.counters.second {
		e.counters.second, e.counters.lines = second, 0
	}
	e.counters.lines++
	if e.counters.lines > failureLines {
		e.counters.linesDropped.Inc()
		return
	}
	line := e.log.Warn().Str("Request", call.ID).Str("Database", route.Database).Uint64("Catalog", e.catalog.Version()).
		Uint64("Fleet", e.fleet.Version()).Int("Code", int(code)).Str("Why", why).Str("Last", last).
		Int64("RetryAfterMillis", int64(retryAfter))
	if s := e.services[route.Service]; s != nil {
		line = line.Str("Service", s.name).Str("Leader", string(s.leader)).Int64("LeaderHeardMillis", int64(now-s.successor.AnsweredAt())).
			Bool("Suspected", s.successor.Suspected())
		if proof, ok := s.timeline.Newest(); ok {
			line = line.Int64("ProofMillis", int64(now-proof.At))
		}
	}
	line.Msg(text)
}
