package dfpace

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfreport"
)

// answerSource tells whether an answer to a statement of this host is in the counts of a
// carrier's report as well.
type answerSource int

const (
	ownAnswer answerSource = iota
	carriedAnswer
)

// RecordCarriedGood records a good answer that a carrier's report counts.
func (p *Pace) RecordCarriedGood(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis) {
	p.recordGood(now, id, latency, carriedAnswer)
}

// RecordReport records answers that a carrier saw, to statements of all hosts. They count
// for the comparison of failures and for a probation, but do not end a trial.
func (p *Pace) RecordReport(now dfclock.Millis, id dffleet.ID, observed []dfreport.Observation) {
	p.now = now
	u := p.upstreams[id]
	if u == nil || u.isAside() {
		return
	}
	good, failed := 0, 0
	for _, o := range observed {
		if o.BeganAt < u.countsFrom {
			continue
		}
		failures := o.Counts.Failed
		if o.Counts.Lost > 0 && p.countsReportedLoss(now, u) {
			failures++
		}
		u.reported.addCounts(now, o.BeganAt+dfreport.SlotSpan/2, o.Counts.Good, failures)
		good, failed = good+o.Counts.Good, failed+failures
	}
	if s, ok := u.state.(*paced); ok {
		if s.probation > 0 && float64(failed) > minExcessShare*float64(failed+good) {
			p.setAside(now, u, p.others(u, false))
			return
		}
		s.probation = max(0, s.probation-good)
	}
	if failed > 0 {
		p.compareReported(now, u)
	}
}

// isReported reports whether carriers report the answers of an upstream.
func (u *upstream) isReported(now dfclock.Millis) bool {
	return now < u.reported.heardAt.Add(reportedTTL)
}

// compareReported compares the failures that carriers reported with those at the other
// upstreams.
func (p *Pace) compareReported(now dfclock.Millis, u *upstream) {
	others := p.otherWindows(u, false, func(other *upstream) *window { return &other.reported })
	if failsMore(withoutOnset(strata(now, &u.reported, others, hasReports)), reportedDeviations) {
		p.setAside(now, u, others)
	}
}

// countsReportedLoss reports whether losses that a carrier reported count as a failure.
// As for this host's own, those within lossSpan count once.
func (p *Pace) countsReportedLoss(now dfclock.Millis, u *upstream) bool {
	if u.lossReportedSince(now - lossSpan) {
		return false
	}
	u.reportedLossAt, u.lossReported = now, true
	return !p.lossIsShared(now, u)
}

// RecordLoad records the wait for a further statement and the mean latency after it, as
// carriers reported them. A limit grows by them instead of by the latency of this host's
// answers, of which a host with little traffic has too few to see a queue.
func (p *Pace) RecordLoad(now dfclock.Millis, id dffleet.ID, wait, latency dfclock.Millis) {
	u := p.upstreams[id]
	if u == nil {
		return
	}
	s, ok := u.state.(*paced)
	if !ok || !s.awaitsLoad {
		return
	}
	s.awaitsLoad = false
	binding := s.delayedAt >= s.answeredAt
	if wait > 0 {
		s.queuedAt = now
	}
	if !binding && wait == 0 {
		s.answeredAt = now
		return
	}
	s.latency += (float64(wait+latency) - s.latency) / 4
	next := sample{limit: s.limit, start: s.start, elapsed: now - s.answeredAt}
	if _, follows := p.growth.(Gradient); follows {
		s.limit = max(s.least(), next.follow(wait > 0))
	} else {
		s.limit = max(s.least(), p.growth.next(next))
	}
	s.answeredAt = now
}

// emptyWindow forgets the answers so far, also those that carriers will report.
func (u *upstream) emptyWindow(now dfclock.Millis) {
	u.window = newWindow()
	u.reported.buckets = [bucketCount]bucket{}
	u.countsFrom = now
}

// lossReportedSince reports whether a carrier reported a loss after the given instant.
func (u *upstream) lossReportedSince(since dfclock.Millis) bool {
	return u.lossReported && u.reportedLossAt > since
}
