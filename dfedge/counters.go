package dfedge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
)

// maxFailureLines bounds the log lines about failed requests per second. Further
// lines are dropped and counted.
const maxFailureLines = 40

// counters has the metrics of one host.
type counters struct {
	set                 *metrics.Set
	latency             *metrics.Histogram
	retries             *metrics.Counter
	connectionsOpened   *metrics.Counter
	connectionFailures  *metrics.Counter
	probesFailed        *metrics.Counter
	leaderChanges       *metrics.Counter
	promotionOrders     *metrics.Counter
	writesHeld          *metrics.Counter
	commitsUnknown      *metrics.Counter
	transactionsExpired *metrics.Counter
	statementsForwarded *metrics.Counter
	statementsCarried   *metrics.Counter
	carriersLost        *metrics.Counter
	callersLeft         *metrics.Counter
	logLinesDropped     *metrics.Counter
	feedHistoryLost     *metrics.Counter
	entriesIgnored      *metrics.Counter
	upstreamsSetAside   *metrics.Counter
	upstreamTrials      *metrics.Counter
	upstreamsReturned   *metrics.Counter
	upstreamsPaced      *metrics.Counter
	reportsReceived     *metrics.Counter
	readsMoved          *metrics.Counter
	// logSecond and logLines limit the rate of failure lines; they are guarded by
	// Edge.mu.
	logSecond dfclock.Millis
	logLines  int
	// paceLogSecond and paceLogLines do the same for lines about the pace.
	paceLogSecond dfclock.Millis
	paceLogLines  int
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:                 set,
		latency:             set.NewHistogram("dragonflygrade_edge_statement_seconds"),
		retries:             set.NewCounter("dragonflygrade_edge_retries_total"),
		connectionsOpened:   set.NewCounter("dragonflygrade_edge_connections_opened_total"),
		connectionFailures:  set.NewCounter("dragonflygrade_edge_connection_failures_total"),
		probesFailed:        set.NewCounter("dragonflygrade_edge_probes_failed_total"),
		leaderChanges:       set.NewCounter("dragonflygrade_edge_leader_changes_total"),
		promotionOrders:     set.NewCounter("dragonflygrade_edge_promotion_orders_total"),
		writesHeld:          set.NewCounter("dragonflygrade_edge_holds_total"),
		commitsUnknown:      set.NewCounter("dragonflygrade_edge_commits_unknown_by_hold_total"),
		transactionsExpired: set.NewCounter("dragonflygrade_edge_transactions_expired_total"),
		statementsForwarded: set.NewCounter("dragonflygrade_edge_forwarded_total"),
		statementsCarried:   set.NewCounter("dragonflygrade_edge_carried_total"),
		carriersLost:        set.NewCounter("dragonflygrade_edge_carriers_lost_total"),
		callersLeft:         set.NewCounter("dragonflygrade_edge_callers_left_total"),
		logLinesDropped:     set.NewCounter("dragonflygrade_edge_log_lines_dropped_total"),
		feedHistoryLost:     set.NewCounter("dragonflygrade_edge_feed_history_lost_total"),
		entriesIgnored:      set.NewCounter("dragonflygrade_edge_fleet_entries_ignored_total"),
		upstreamsSetAside:   set.NewCounter("dragonflygrade_edge_upstreams_set_aside_total"),
		upstreamTrials:      set.NewCounter("dragonflygrade_edge_upstream_trials_total"),
		upstreamsReturned:   set.NewCounter("dragonflygrade_edge_upstreams_returned_total"),
		upstreamsPaced:      set.NewCounter("dragonflygrade_edge_upstreams_paced_total"),
		reportsReceived:     set.NewCounter("dragonflygrade_edge_carrier_reports_total"),
		readsMoved:          set.NewCounter("dragonflygrade_edge_reads_moved_by_reports_total"),
	}
}

// recordStatement counts a statement by its result code and records its latency.
func (c *counters) recordStatement(answer dfstatement.Answer, latency dfclock.Millis) {
	c.latency.Update(float64(latency) / float64(dfclock.Second))
	c.set.GetOrCreateCounter(fmt.Sprintf("dragonflygrade_edge_statements_total{code=\"%d\"}", int(answer.Code))).Inc()
}

// logFailure logs a request that was not served.
func (e *Edge) logFailure(call dfstatement.Call, route dfcatalog.Route, text string, code dfresult.Code, why, lastFailure string, retryAfter dfclock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if second := now / dfclock.Second; second != e.counters.logSecond {
		e.counters.logSecond, e.counters.logLines = second, 0
	}
	e.counters.logLines++
	if e.counters.logLines > maxFailureLines {
		e.counters.logLinesDropped.Inc()
		return
	}
	line := e.log.Warn().Str("Request", call.ID).Str("Database", route.Database).Uint64("Catalog", e.catalog.Version()).
		Stringer("Fleet", e.fleet.Version()).Int("Code", int(code)).Str("Why", why).Str("Last", lastFailure).
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
