package dfedge

import (
	"fmt"

	"github.com/phuslu/log"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfpace"
)

// maxPaceLines bounds the log lines about the pace per second. A loss of power that
// restarts all upstreams of 8 services takes 24 lines.
const maxPaceLines = 30

// reportPace counts and logs the changes of a service's pace and updates the gauges of
// its limits. e.mu must be held.
func (e *Edge) reportPace(now dfclock.Millis, s *service) {
	s.placer.SetHosts(e.neighbours.HostCount(now))
	for _, event := range s.placer.Events() {
		e.countPace(event)
		if line := e.paceLine(now); line != nil {
			logPace(line.Str("Service", s.name), event)
		}
	}
	e.counters.readsMoved.Add(s.placer.MovedReads())
	for id := range s.pools {
		e.updateLimitGauge(s, id)
	}
}

func (e *Edge) countPace(event dfpace.Event) {
	switch event.(type) {
	case dfpace.SetAside:
		e.counters.upstreamsSetAside.Inc()
	case dfpace.TrialStarted:
		e.counters.upstreamTrials.Inc()
	case dfpace.Returned:
		e.counters.upstreamsReturned.Inc()
	case dfpace.Paced:
		e.counters.upstreamsPaced.Inc()
	}
}

// paceLine returns a log line, or nil if enough were logged in this second.
func (e *Edge) paceLine(now dfclock.Millis) *log.Entry {
	if second := now / dfclock.Second; second != e.counters.paceLogSecond {
		e.counters.paceLogSecond, e.counters.paceLogLines = second, 0
	}
	e.counters.paceLogLines++
	if e.counters.paceLogLines > maxPaceLines {
		e.counters.logLinesDropped.Inc()
		return nil
	}
	return e.log.Info()
}

func logPace(line *log.Entry, event dfpace.Event) {
	switch v := event.(type) {
	case dfpace.SetAside:
		line.Str("Upstream", string(v.ID)).Int64("Millis", int64(v.Span)).Int("Answers", v.Answers).Int("Failed", v.Failed).
			Int("OtherAnswers", v.OtherAnswers).Int("OtherFailed", v.OtherFailed).Int64("MedianMillis", int64(v.Latency)).
			Int64("OtherMedianMillis", int64(v.OtherLatency)).Msg("pace: upstream set aside")
	case dfpace.TrialStarted:
		line.Str("Upstream", string(v.ID)).Msg("pace: trial")
	case dfpace.Returned:
		line.Str("Upstream", string(v.ID)).Msg("pace: upstream back")
	case dfpace.Paced:
		line.Str("Upstream", string(v.ID)).Float64("Limit", v.Limit).Stringer("Cause", v.Cause).Msg("pace: limit in force")
	case dfpace.LimitLifted:
		line.Str("Upstream", string(v.ID)).Float64("Limit", v.Limit).Msg("pace: limit lifted")
	}
}

// updateLimitGauge sets the gauge of an upstream's limit. It exists only while a limit
// is in force.
func (e *Edge) updateLimitGauge(s *service, id dffleet.ID) {
	name := fmt.Sprintf("dragonflygrade_edge_pace_limit{service=%q,upstream=%q}", s.name, id)
	limit, ok := s.placer.Limit(id)
	_, shown := s.limitGauges[id]
	switch {
	case ok:
		if s.limitGauges == nil {
			s.limitGauges = map[dffleet.ID]struct{}{}
		}
		s.limitGauges[id] = struct{}{}
		e.counters.set.GetOrCreateFloatCounter(name).Set(limit)
	case shown:
		delete(s.limitGauges, id)
		e.counters.set.UnregisterMetric(name)
	}
}
