package dfreport

import (
	"slices"

	"dragonflygrade/dfclock"
)

// Observation has answers that a carrier saw from BeganAt on, for SlotSpan, and that were
// not reported before.
type Observation struct {
	BeganAt dfclock.Millis
	Counts  Counts
}

// carrierReport is the newest report of one carrier.
type carrierReport struct {
	report     Report
	receivedAt dfclock.Millis
	// counted has the counts of the slots so far, by their numbers.
	counted map[int64]Counts
}

// Ledger keeps the reports of the carriers of one upstream.
type Ledger struct {
	byCarrier map[string]*carrierReport
}

// NewLedger returns a ledger without reports.
func NewLedger() *Ledger {
	return &Ledger{byCarrier: map[string]*carrierReport{}}
}

// Record keeps a report and returns the answers that are new in it. A restarted carrier
// has another source, and what it reported before is forgotten.
func (l *Ledger) Record(now dfclock.Millis, carrier string, report Report) []Observation {
	entry := l.byCarrier[carrier]
	if entry == nil || entry.report.Source != report.Source {
		entry = &carrierReport{report: report, receivedAt: now, counted: map[int64]Counts{}}
		l.byCarrier[carrier] = entry
	}
	if entry.report.isOlder(report) {
		entry.report, entry.receivedAt = report, now
	}
	var observations []Observation
	oldest := entry.report.Slot - 2*SlotCount
	for i, counts := range report.Slots {
		slot := report.Slot - int64(i)
		if slot <= oldest {
			// What was counted in it is forgotten.
			break
		}
		if added := counts.beyond(entry.counted[slot]); !added.IsZero() {
			entry.counted[slot] = counts.union(entry.counted[slot])
			beganAt := now - report.Age - dfclock.Millis(i)*SlotSpan
			observations = append(observations, Observation{BeganAt: beganAt, Counts: added})
		}
	}
	for slot := range entry.counted {
		if slot <= oldest {
			delete(entry.counted, slot)
		}
	}
	return observations
}

// isOlder reports whether a report of the same source was made at the same time as this
// one, or later.
func (r Report) isOlder(next Report) bool {
	return next.Slot > r.Slot || next.Slot == r.Slot && next.Age >= r.Age
}

// Retain drops the reports of all carriers but the given ones.
func (l *Ledger) Retain(carriers []string) {
	for carrier := range l.byCarrier {
		if !slices.Contains(carriers, carrier) {
			delete(l.byCarrier, carrier)
		}
	}
}

// Estimate is what the reports of an upstream say about a further statement.
type Estimate struct {
	// Wait is the mean of the reported waits, and Latency that of the latencies. Newer
	// reports weigh more.
	Wait, Latency dfclock.Millis
	// Weight is that of the newest report, from FreshFor for one that was just received
	// to zero if none is fresh.
	Weight dfclock.Millis
}

// Estimate returns the mean of the fresh reports.
func (l *Ledger) Estimate(now dfclock.Millis) Estimate {
	var sum Estimate
	total := dfclock.Millis(0)
	for _, entry := range l.byCarrier {
		weight := FreshFor - (now - entry.receivedAt)
		if weight <= 0 {
			continue
		}
		queue := entry.report.Queue
		sum.Wait += weight * queue.Wait
		sum.Latency += weight * queue.Latency
		sum.Weight = max(sum.Weight, weight)
		total += weight
	}
	if total > 0 {
		sum.Wait /= total
		sum.Latency /= total
	}
	return sum
}
