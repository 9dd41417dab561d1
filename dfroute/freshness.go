package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// freshnessReport states that a log containing position has every write that was
// acknowledged before freshAt.
type freshnessReport struct {
	freshAt  dfclock.Millis
	position dfposition.Position
}

// FreshnessHistory gives an upper bound on the age of an upstream's data. It keeps
// a bounded history of reports from confirmed primaries. It is immutable; the
// zero value is an empty history.
//
// A primary's report is valid as of the time it was requested, and only with a
// majority of upstreams that accepted its term: the time is lowered to the
// earliest request of the reports that make up that majority. A write
// acknowledged under a higher term before that time would have needed one of
// these upstreams, so a replaced primary that still reports proves no freshness.
type FreshnessHistory struct {
	// reports is in ascending order of freshAt and has at most maxReports items.
	reports []freshnessReport
}

// With returns the history extended by the primary's report in a newer view. It
// is unchanged if no primary is confirmed.
func (h FreshnessHistory) With(view dfgroup.View) FreshnessHistory {
	freshAt, position, confirmed := confirmedReport(view)
	if !confirmed {
		return h
	}
	if count := len(h.reports); count > 0 && freshAt <= h.reports[count-1].freshAt {
		return h
	}
	next := make([]freshnessReport, 0, maxReports+1)
	next = append(next, h.reports...)
	next = append(next, freshnessReport{freshAt: freshAt, position: position})
	if len(next) > maxReports {
		next = downsample(next)
	}
	return FreshnessHistory{reports: next}
}

// FreshAt returns the latest known time such that a log with the given history
// and end contains every write acknowledged before it.
func (h FreshnessHistory) FreshAt(history dfposition.History, end dfposition.Offset) (dfclock.Millis, bool) {
	for i := len(h.reports) - 1; i >= 0; i-- {
		if history.Locate(end, h.reports[i].position) == dfposition.Contained {
			return h.reports[i].freshAt, true
		}
	}
	return 0, false
}

// confirmedReport returns the freshness time and the log end of the view's primary
// if a majority accepted its term.
func confirmedReport(view dfgroup.View) (dfclock.Millis, dfposition.Position, bool) {
	primary, found := view.Find(view.Primary)
	if !found || !hasAcceptedTerm(primary, view.Term) || primary.Status.Role != dfgroup.RolePrimary {
		return 0, dfposition.Position{}, false
	}
	var askedAt [maxUpstreams]dfclock.Millis
	count := 0
	for _, upstream := range view.Upstreams {
		if upstream.ID != primary.ID && hasAcceptedTerm(upstream, view.Term) && count < maxUpstreams {
			askedAt[count] = upstream.AskedAt
			count++
		}
	}
	needed := view.Majority() - 1
	if count < needed {
		return 0, dfposition.Position{}, false
	}
	freshAt := primary.AskedAt
	for rank := range needed {
		latest := rank
		for i := rank + 1; i < count; i++ {
			if askedAt[i] > askedAt[latest] {
				latest = i
			}
		}
		askedAt[rank], askedAt[latest] = askedAt[latest], askedAt[rank]
		freshAt = min(freshAt, askedAt[rank])
	}
	return freshAt, dfposition.Position{Term: view.Term, Offset: primary.Status.Flushed}, true
}

func hasAcceptedTerm(upstream dfgroup.Upstream, term dfposition.Term) bool {
	return upstream.ReportedAt > 0 && upstream.Status.Accepted == term
}

// downsample removes the report whose removal adds the smallest error relative to
// its age. Recent ages stay exact and older ones accurate to a few percent.
func downsample(reports []freshnessReport) []freshnessReport {
	newest := reports[len(reports)-1].freshAt
	best, bestCost := 1, 0.0
	for i := 1; i < len(reports)-1; i++ {
		gap := float64(reports[i+1].freshAt - reports[i-1].freshAt)
		cost := gap / float64(newest-reports[i].freshAt+1)
		if i == 1 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return append(reports[:best], reports[best+1:]...)
}
