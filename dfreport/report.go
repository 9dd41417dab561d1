// Package dfreport has the reports that a carrier of an upstream's connections adds to
// its replies, what the carrier keeps for them, and what a client host keeps of them.
package dfreport

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

const (
	// SlotSpan is the time that the counts of one slot cover. Slots of different carriers
	// begin at different moments, so a fault that all upstreams share seems to begin
	// earlier at some. With slots of a second, hosts set upstreams aside for that.
	SlotSpan = 250 * dfclock.Millisecond
	// SlotCount is how many slots a report has. A host that hears from a carrier less
	// often than they cover misses counts, but of all outcomes alike.
	SlotCount = 16
	// FreshFor is how long a reported wait counts. Its weight decreases linearly.
	FreshFor = 500 * dfclock.Millisecond
)

// Outcome is what an answer says about the upstream.
type Outcome int

// Outcomes of statements.
const (
	// Nothing is an answer for which the statement, the upstream's role or its log is
	// the reason.
	Nothing Outcome = iota
	Good
	Failed
	// Lost is a connection that broke, or a statement that was not answered in time.
	Lost
)

// OutcomeOf returns what an answer with a result code says about the upstream.
func OutcomeOf(code dfresult.Code) Outcome {
	switch code {
	case dfresult.OK:
		return Good
	case dfresult.StatementFailed, dfresult.StatementTimeout, dfresult.Internal:
		return Failed
	case dfresult.WrongUpstream:
		return Lost
	}
	return Nothing
}

// Counts counts answers by outcome.
type Counts struct {
	_                  struct{} `cbor:",toarray"`
	Good, Failed, Lost int
}

// IsZero reports whether nothing was counted.
func (c Counts) IsZero() bool {
	return c.Good == 0 && c.Failed == 0 && c.Lost == 0
}

// with returns the counts with one more answer.
func (c Counts) with(outcome Outcome) Counts {
	switch outcome {
	case Good:
		c.Good++
	case Failed:
		c.Failed++
	case Lost:
		c.Lost++
	}
	return c
}

// beyond returns by how much the counts exceed earlier ones of the same slot.
func (c Counts) beyond(earlier Counts) Counts {
	return Counts{
		Good: max(0, c.Good-earlier.Good), Failed: max(0, c.Failed-earlier.Failed), Lost: max(0, c.Lost-earlier.Lost),
	}
}

// union returns the higher count of each outcome.
func (c Counts) union(other Counts) Counts {
	return Counts{Good: max(c.Good, other.Good), Failed: max(c.Failed, other.Failed), Lost: max(c.Lost, other.Lost)}
}

// Queue is the load of a carrier's queue for an upstream.
type Queue struct {
	_ struct{} `cbor:",toarray"`
	// Queued counts the statements that wait, and Running those that were sent.
	Queued, Running int
	// Wait is the expected time until a further statement starts, and Latency the mean
	// time from its start to its answer, or zero if there was none.
	Wait, Latency dfclock.Millis
}

// Report is the state of an upstream as one carrier sees it. Counts are totals of
// numbered slots of time, so that a report that is lost or read twice does no harm.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Source differs between the processes and pools of a carrier. Slots are numbered
	// from 1 for each.
	Source uint32
	Queue  Queue
	// Slot is the number of the newest slot, and Age how long ago it began.
	Slot int64
	Age  dfclock.Millis
	// Slots has the newest slots, newest first, at most SlotCount. Older ones are left
	// out if they are empty.
	Slots []Counts
}

// Since returns the report without the slots that an earlier one had in full.
func (r Report) Since(earlier Report) Report {
	if r.Source == earlier.Source {
		r.Slots = r.Slots[:min(int64(len(r.Slots)), r.Slot-earlier.Slot+1)]
	}
	return r
}

// Recorder counts the answers that a carrier sees of one upstream.
type Recorder struct {
	source    uint32
	startedAt dfclock.Millis
	// slot is the number of the newest slot, whose counts are slots[0].
	slot  int64
	slots [SlotCount]Counts
}

// NewRecorder returns a recorder without counts. Recorders of one carrier should differ
// in source.
func NewRecorder(now dfclock.Millis, source uint32) *Recorder {
	return &Recorder{source: source, startedAt: now, slot: 1}
}

// Record counts an answer.
func (r *Recorder) Record(now dfclock.Millis, outcome Outcome) {
	r.advance(now)
	r.slots[0] = r.slots[0].with(outcome)
}

// advance begins the slots that are due.
func (r *Recorder) advance(now dfclock.Millis) {
	due := int64(max(0, now-r.startedAt)/SlotSpan) + 1
	if due-r.slot >= SlotCount {
		r.slot, r.slots = due, [SlotCount]Counts{}
		return
	}
	for ; r.slot < due; r.slot++ {
		copy(r.slots[1:], r.slots[:SlotCount-1])
		r.slots[0] = Counts{}
	}
}

// Report returns the report on an upstream. ok is false if there is nothing to report.
func (r *Recorder) Report(now dfclock.Millis, queue Queue) (report Report, ok bool) {
	r.advance(now)
	last := SlotCount
	for last > 0 && r.slots[last-1].IsZero() {
		last--
	}
	if last == 0 && queue.Queued == 0 {
		return Report{}, false
	}
	return Report{
		Source: r.source, Queue: queue, Slot: r.slot, Age: max(0, now-r.startedAt) % SlotSpan,
		Slots: append([]Counts(nil), r.slots[:last]...),
	}, true
}
