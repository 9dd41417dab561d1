package dfmeasure

import (
	"fmt"
	"sort"

	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
)

// Shape of the overload model.
const (
	// overloadServers is the number of connections that a host has for a service.
	overloadServers = 10
	// overloadService is the mean time of a statement; times are exponential.
	overloadService = 20 * dfclock.Millisecond
	// overloadDeadline is what callers wait before an answer is worthless.
	overloadDeadline = 500 * dfclock.Millisecond
	overloadCallers  = 50
	// overloadWarmUp is not counted.
	overloadWarmUp = 5 * dfclock.Second
)

// OverloadMultiples are the offered loads of the table, in multiples of capacity.
var OverloadMultiples = []float64{0.5, 0.8, 1, 2, 3}

// Overload has the figures of one offered load.
type Overload struct {
	Multiple float64
	// Goodput counts answers within the deadline, per second.
	Goodput float64
	// P99 is of the answers that arrived, in or out of time.
	P99     dfclock.Millis
	Refused float64
}

// overload is one run with a queue, or first come first served without bound.
type overload struct {
	time    *timeline
	queue   *dfadmit.Queue
	arrived map[uint64]dfclock.Millis
	// line has the waiting requests of the run without admission.
	line    []uint64
	busy    int
	offered int
	refused int
	good    int
	spans   []dfclock.Millis
}

// RunOverload measures one offered load with or without admission.
func RunOverload(multiple float64, admission bool, span dfclock.Millis, seed uint64) Overload {
	o := &overload{time: newTimeline(seed), arrived: map[uint64]dfclock.Millis{}}
	if admission {
		o.queue = dfadmit.New(dfadmit.Options{Limit: overloadServers})
	}
	mean := float64(overloadService) / overloadServers / multiple
	id, at := uint64(0), float64(1)
	var arrive func()
	arrive = func() {
		id++
		o.arrive(id)
		at += o.time.source.ExpFloat64() * mean
		o.time.after(max(0, dfclock.Millis(at)-o.time.now), arrive)
	}
	o.time.after(0, arrive)
	o.time.run(overloadWarmUp + span)
	sort.Slice(o.spans, func(i, j int) bool { return o.spans[i] < o.spans[j] })
	result := Overload{
		Multiple: multiple,
		Goodput:  float64(o.good) / float64(span) * float64(dfclock.Second),
		Refused:  float64(o.refused) / float64(max(1, o.offered)),
	}
	if len(o.spans) > 0 {
		result.P99 = o.spans[len(o.spans)*99/100]
	}
	return result
}

func (o *overload) counts() bool { return o.time.now >= overloadWarmUp }

func (o *overload) arrive(id uint64) {
	o.arrived[id] = o.time.now
	if o.counts() {
		o.offered++
	}
	if o.queue == nil {
		o.line = append(o.line, id)
		o.serve()
		return
	}
	ticket := dfadmit.Request{ID: id, Caller: fmt.Sprint(o.time.source.IntN(overloadCallers)), Deadline: o.time.now + overloadDeadline}
	if o.queue.Enqueue(o.time.now, ticket) != nil {
		o.refuse(id)
	}
	o.next()
}

func (o *overload) refuse(id uint64) {
	delete(o.arrived, id)
	if o.counts() {
		o.refused++
	}
}

// next starts and refuses what the queue decides.
func (o *overload) next() {
	for action, ok := o.queue.Next(o.time.now); ok; action, ok = o.queue.Next(o.time.now) {
		switch action := action.(type) {
		case dfadmit.Refuse:
			o.refuse(action.Request.ID)
		case dfadmit.Start:
			o.work(action.Request.ID, func() {
				o.queue.Finish(o.time.now, action.Request.ID, false)
				o.next()
			})
		}
	}
}

// serve runs requests in order of arrival, late ones too.
func (o *overload) serve() {
	for o.busy < overloadServers && len(o.line) > 0 {
		id := o.line[0]
		o.line = o.line[1:]
		o.busy++
		o.work(id, func() {
			o.busy--
			o.serve()
		})
	}
}

func (o *overload) work(id uint64, done func()) {
	span := dfclock.Millis(o.time.source.ExpFloat64()*float64(overloadService) + 0.5)
	o.time.after(span, func() {
		taken := o.time.now - o.arrived[id]
		delete(o.arrived, id)
		if o.counts() {
			o.spans = append(o.spans, taken)
			if taken <= overloadDeadline {
				o.good++
			}
		}
		done()
	})
}
