package dfedge

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfforward"
	"dragonflygrade/dfreport"
)

// carrierReport is the report of a carrier that came with the answer of an attempt.
type carrierReport struct {
	carrier string
	report  dfreport.Report
}

// reportOf returns the report of the attempt's carrier. ok is false if there is none, or
// if the plan no longer names the carrier. e.mu must be held.
func (e *Edge) reportOf(s *service, a *attempt) (report carrierReport, ok bool) {
	if a.conn == nil {
		return carrierReport{}, false
	}
	report.carrier, report.report, ok = a.conn.LoadReport()
	return report, ok && s.placer.TakesReports(a.upstream, report.carrier)
}

// recordReport records the report of the attempt's carrier, after its answer. e.mu must
// be held.
func (e *Edge) recordReport(now dfclock.Millis, s *service, a *attempt) {
	if report, ok := e.reportOf(s, a); ok {
		e.counters.reportsReceived.Inc()
		s.placer.RecordReport(now, a.upstream, report.carrier, report.report)
	}
}

// recordReportOfFailure records the report that came with a refusal or a failure.
func (e *Edge) recordReportOfFailure(s *service, a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordReport(e.options.Now(), s, a)
}

// nameCarriers tells the selector whose reports on an upstream count. e.mu must be held.
func (e *Edge) nameCarriers(now dfclock.Millis, s *service, id dffleet.ID, plan dfforward.Plan) {
	var names []string
	if plan.Shared() {
		for _, host := range e.carriers(now, id, plan) {
			names = append(names, host.ID)
		}
	}
	s.placer.SetCarriers(id, names)
}
