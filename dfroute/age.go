package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// ageReport states that a log which contains the position has every write that
// was acknowledged before the instant.
type ageReport struct {
	since    dfclock.Millis
	position dfposition.Position
}

// Ages bounds the age of upstreams' data. It keeps a short history of reports
// of confirmed primaries. It is immutable; the zero value knows nothing.
//
// A primary's report counts from when it was asked for, and only with a
// majority of upstreams that accepted its term in reports asked for no earlier:
// a write acknowledged under a higher term before that instant would need one
// of them. So a replaced primary that still reports makes nothing look fresh.
type Ages struct {
	// reports has rising instants and at most maxReports items.
	reports []ageReport
}

// With returns the ages after a newer view.
func (a Ages) With(view dfgroup.View) Ages {
	since, position, confirmed := confirmedReport(view)
	if !confirmed {
		return a
	}
	if count := len(a.reports); count > 0 && since <= a.reports[count-1].since {
		return a
	}
	next := make([]ageReport, 0, maxReports+1)
	next = append(next, a.reports...)
	next = append(next, ageReport{since: since, position: position})
	if len(next) > maxReports {
		next = thin(next)
	}
	return Ages{reports: next}
}

// FreshAt returns the latest known instant such that every write acknowledged
// before it is in a log with the given history and end.
func (a Ages) FreshAt(history dfposition.History, end dfposition.Offset) (dfclock.Millis, bool) {
	for i := len(a.reports) - 1; i >= 0; i-- {
		if history.Locate(end, a.reports[i].position) == dfposition.Contained {
			return a.reports[i].since, true
		}
	}
	return 0, false
}

// confirmedReport returns what the reports in the view prove about the primary.
func confirmedReport(view dfgroup.View) (dfclock.Millis, dfposition.Position, bool) {
	primary, found := view.Find(view.Primary)
	if !found || !accepts(primary, view.Term) || primary.Status.Role != dfgroup.RolePrimary {
		return 0, dfposition.Position{}, false
	}
	var others [maxUpstreams]dfclock.Millis
	count := 0
	for _, upstream := range view.Upstreams {
		if upstream.ID != primary.ID && accepts(upstream, view.Term) && count < maxUpstreams {
			others[count] = upstream.AskedAt
			count++
		}
	}
	needed := view.Majority() - 1
	if count < needed {
		return 0, dfposition.Position{}, false
	}
	since := primary.AskedAt
	for rank := range needed {
		latest := rank
		for i := rank + 1; i < count; i++ {
			if others[i] > others[latest] {
				latest = i
			}
		}
		others[rank], others[latest] = others[latest], others[rank]
		since = min(since, others[rank])
	}
	return since, dfposition.Position{Term: view.Term, Offset: primary.Status.Flushed}, true
}

func accepts(upstream dfgroup.Upstream, term dfposition.Term) bool {
	return upstream.ReportedAt > 0 && upstream.Status.Accepted == term
}

// thin removes the report whose loss costs least in relation to its age, so
// that recent ages are exact and older ones within a few percent.
func thin(reports []ageReport) []ageReport {
	newest := reports[len(reports)-1].since
	best, bestCost := 1, 0.0
	for i := 1; i < len(reports)-1; i++ {
		gap := float64(reports[i+1].since - reports[i-1].since)
		cost := gap / float64(newest-reports[i].since+1)
		if i == 1 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return append(reports[:best], reports[best+1:]...)
}
