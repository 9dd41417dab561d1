package dfdemo

import (
	"strconv"

	"dragonflygrade/dfcheck"
	"dragonflygrade/dfload"
	"dragonflygrade/dfstandin"
)

// Columns of the table of orders that the check reads.
const (
	columnID       = 0
	columnQuantity = 3
)

// record reads what the upstreams of a group hold.
func (g *Group) record() dfload.Record {
	record := dfload.Record{
		Surviving:  make(map[int64]int),
		Quantities: make(map[int64]int64),
		Cut:        make(map[int64]bool),
	}
	if primary := g.primary(); primary != nil {
		for _, row := range primary.Rows("orders") {
			id, ok := row[columnID].(int64)
			if !ok {
				continue
			}
			record.Surviving[id]++
			if quantity, ok := row[columnQuantity].(int64); ok {
				record.Quantities[id] = quantity
			}
		}
	}
	for _, upstream := range g.Upstreams {
		for _, committed := range upstream.Record() {
			for _, tag := range committed.Tags {
				if id, err := strconv.ParseInt(tag.Marker, 10, 64); err == nil && committed.Cut {
					record.Cut[id] = true
				}
			}
		}
	}
	return record
}

// primary returns the primary of the highest term, or nil.
func (g *Group) primary() *dfstandin.Upstream {
	var found *dfstandin.Upstream
	for _, upstream := range g.Upstreams {
		status := upstream.Status()
		if status.Role == "primary" && (found == nil || status.Accepted > found.Status().Accepted) {
			found = upstream
		}
	}
	return found
}

// check completes a report with what the stand-ins recorded.
func (s *Stack) check(report *dfload.Report, ledger *dfload.Ledger) {
	for _, group := range s.groups {
		report.Apply(ledger.Check(group.Service, group.record()))
		for _, upstream := range group.Upstreams {
			report.LimitExceeded += upstream.Counters().LimitExceeded
		}
	}
	report.CutRequests += int64(s.cut)
	report.InvariantFailures = int64(dfcheck.Failures())
	s.addFigures(report)
}

// addFigures sums the counts of the hosts.
func (s *Stack) addFigures(report *dfload.Report) {
	all := s.retired
	for _, host := range s.hosts {
		all = append(all, host.Figures())
	}
	var reads, replica, local uint64
	report.Rungs = make(map[string]int64)
	for _, figures := range all {
		reads += figures.Reads
		replica += figures.ReplicaReads
		local += figures.LocalReads
		for rung, count := range figures.ByRung {
			if rung > 0 {
				report.Rungs[dfload.RungNames[rung]] += int64(count)
			}
		}
	}
	report.ReplicaReads = int64(replica)
	if reads > 0 {
		report.ReplicaReadShare = float64(replica) / float64(reads)
		report.LocalReadShare = float64(local) / float64(reads)
	}
}
