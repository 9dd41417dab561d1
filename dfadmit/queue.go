// Package dfadmit admits the requests of one service: a bounded queue that is
// fair between callers, early refusal of what would miss its deadline, a limit
// on concurrency, a slow start after a promotion, and a budget for retries.
package dfadmit

import (
	"container/heap"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// Ticket is a request that asks for admission.
type Ticket struct {
	// ID is unique among the tickets that wait or run.
	ID       uint64
	Caller   string
	Priority int
	// Write is held while there is no primary and released by slow start.
	Write bool
	// Cost is the ticket's share of its caller's turn; 1 if not positive.
	Cost     int
	Deadline dfclock.Millis
}

// Action is what the host does for a ticket that waited.
type Action interface{ isAction() }

// Start runs the ticket; Finish must follow.
type Start struct{ Ticket Ticket }

// Refuse answers the ticket's caller with the error, whose outcome is not run.
type Refuse struct {
	Ticket Ticket
	Error  *dfresult.Error
}

func (Start) isAction()  {}
func (Refuse) isAction() {}

// Queue is the admission of one service. It is not safe for concurrent use.
//
// The host offers each request and then calls Next until it returns nothing;
// after each Finish, Release and at NextAt it does the same.
type Queue struct {
	options Options
	// bands are in rising order of priority, writes first within one.
	bands []*band
	// waiting has every ticket in the bands; len(waiting) <= options.MaxQueued.
	waiting deadlines
	byID    map[uint64]*item
	// running has the start of each running ticket.
	running  map[uint64]dfclock.Millis
	capacity capacity
	slow     slowStart
	// held is true while there is no primary.
	held bool
	// shed are tickets that gave way to better ones and wait for Next.
	shed []Refuse
	now  dfclock.Millis
}

// New returns an empty queue. Options that are not positive take their defaults.
func New(options Options) *Queue {
	defaults := DefaultOptions()
	for _, pair := range []struct{ value, fallback *int }{
		{&options.MaxQueued, &defaults.MaxQueued},
		{&options.Limit, &defaults.Limit},
		{&options.MaxLimit, &defaults.MaxLimit},
		{&options.PassedMax, &defaults.PassedMax},
	} {
		if *pair.value <= 0 {
			*pair.value = *pair.fallback
		}
	}
	return &Queue{
		options:  options,
		byID:     map[uint64]*item{},
		running:  map[uint64]dfclock.Millis{},
		capacity: capacity{limit: float64(options.Limit), maxLimit: float64(options.MaxLimit), adaptive: options.Adaptive},
	}
}

// Offer takes a ticket into the queue. The error is a *dfresult.Error, given at
// once, if the ticket cannot run in time or the queue is full.
func (q *Queue) Offer(now dfclock.Millis, ticket Ticket) error {
	q.observe(now)
	ticket.Cost = min(max(1, ticket.Cost), maxCost)
	if _, running := q.running[ticket.ID]; running || q.byID[ticket.ID] != nil {
		return dfresult.NewError(dfresult.QueueFull, "ticket %d is already known", ticket.ID)
	}
	b := q.band(ticket)
	ahead := q.ahead(b, ticket)
	wait := q.capacity.wait(ahead)
	if q.held && ticket.Write {
		wait = 0
	}
	// A ticket that finds room needs no more time than it takes to try.
	if q.now >= ticket.Deadline || ahead > 0 && q.tooLate(ticket, wait) {
		return dfresult.NewError(dfresult.DeadlinePassed, "%s remain, the expected wait is %s", ticket.Deadline-q.now, wait).
			WithRetryAfter(max(1, wait))
	}
	if len(q.waiting) >= q.options.MaxQueued && !q.makeRoom(b, ticket) {
		return q.full()
	}
	it := &item{ticket: ticket}
	b.push(it)
	heap.Push(&q.waiting, it)
	q.byID[ticket.ID] = it
	if !holds(len(q.waiting) <= q.options.MaxQueued, "the queue keeps to its bound") {
		q.remove(it)
		return q.full()
	}
	return nil
}

// Next returns the next action, or nothing if all remaining tickets must wait.
func (q *Queue) Next(now dfclock.Millis) (Action, bool) {
	q.observe(now)
	if len(q.shed) > 0 {
		refused := q.shed[0]
		q.shed = q.shed[1:]
		return refused, true
	}
	if len(q.waiting) > 0 && q.waiting[0].ticket.Deadline <= q.now {
		return q.expire(q.waiting[0]), true
	}
	if len(q.running) >= q.Limit() {
		return nil, false
	}
	b := q.turn()
	if b == nil {
		return nil, false
	}
	it := b.pop()
	q.forget(it)
	if q.tooLate(it.ticket, 0) {
		return q.late(it.ticket), true
	}
	return q.start(it.ticket), true
}

// start counts the ticket as running.
func (q *Queue) start(ticket Ticket) Action {
	if !holds(len(q.running) < q.Limit(), "no more requests run than the limit permits") {
		return q.late(ticket)
	}
	if ticket.Write {
		q.slow.take()
	}
	q.running[ticket.ID] = q.now
	return Start{Ticket: ticket}
}

// NextAt returns when Next may have an action although nothing finishes.
func (q *Queue) NextAt() dfclock.Millis {
	if len(q.shed) > 0 {
		return q.now
	}
	if len(q.waiting) == 0 {
		return dfclock.Never
	}
	due := q.waiting[0].ticket.Deadline
	if q.slow.on && !q.held {
		due = min(due, q.now+1)
	}
	return due
}

// Finish ends a running ticket. overloaded is true if the upstream refused the
// work or did not answer in time.
func (q *Queue) Finish(now dfclock.Millis, id uint64, overloaded bool) {
	q.observe(now)
	startedAt, running := q.running[id]
	if !running {
		return
	}
	delete(q.running, id)
	q.capacity.finished(q.now, q.now-startedAt, overloaded, len(q.waiting) > 0)
}

// Withdraw removes a ticket whose caller gave up, and reports whether it waited.
func (q *Queue) Withdraw(id uint64) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.remove(it)
	return true
}

// Hold keeps writes waiting while there is no primary.
func (q *Queue) Hold(now dfclock.Millis) {
	q.observe(now)
	q.held = true
}

// Release lets writes go on with a slow start after a promotion.
func (q *Queue) Release(now dfclock.Millis) {
	q.observe(now)
	q.held = false
	q.slow.begin(q.now)
}

// SetLimit gives the concurrency, such as the connections that are open.
func (q *Queue) SetLimit(limit int) {
	q.capacity.limit = float64(max(1, limit))
}

// Limit returns the concurrency in force.
func (q *Queue) Limit() int {
	return int(q.capacity.limit)
}

// Queued and Running return the numbers of tickets.
func (q *Queue) Queued() int { return len(q.waiting) }

// Running returns the number of tickets that were started and not finished.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) observe(now dfclock.Millis) {
	q.now = max(q.now, now)
	q.capacity.advance(q.now, len(q.running))
	q.slow.refill(q.now)
}

// band returns the band of a ticket's priority, in order.
func (q *Queue) band(ticket Ticket) *band {
	at := len(q.bands)
	for i, b := range q.bands {
		if b.priority == ticket.Priority && b.write == ticket.Write {
			return b
		}
		if at == len(q.bands) && (b.priority > ticket.Priority || b.priority == ticket.Priority && ticket.Write) {
			at = i
		}
	}
	if len(q.bands) == maxBands {
		return q.lastBand(ticket.Write)
	}
	b := newBand(ticket.Priority, ticket.Write)
	q.bands = append(q.bands, nil)
	copy(q.bands[at+1:], q.bands[at:])
	q.bands[at] = b
	return b
}

// lastBand returns the lowest band of the kind, or the lowest of all.
func (q *Queue) lastBand(write bool) *band {
	for i := len(q.bands) - 1; i >= 0; i-- {
		if q.bands[i].write == write {
			return q.bands[i]
		}
	}
	return q.bands[len(q.bands)-1]
}

// turn returns the band whose ticket runs next, or nil.
func (q *Queue) turn() *band {
	var first, starved *band
	for _, b := range q.bands {
		if b.queued == 0 || b.write && (q.held || !q.slow.permits()) {
			continue
		}
		if first == nil {
			first = b
			continue
		}
		if starved == nil && b.passed >= q.options.PassedMax {
			starved = b
		}
		b.passed++
	}
	if starved != nil {
		first = starved
	}
	if first != nil {
		first.passed = 0
	}
	return first
}

// ahead estimates how many tickets run before a new one. Running tickets count
// only if there is no room.
func (q *Queue) ahead(own *band, ticket Ticket) int {
	count := max(0, len(q.running)+1-q.Limit())
	for _, b := range q.bands {
		if b == own {
			return count + b.ahead(ticket.Caller)
		}
		if !b.write || !q.held {
			count += b.queued
		}
	}
	return count
}

func (q *Queue) tooLate(ticket Ticket, wait dfclock.Millis) bool {
	needed := wait + dfclock.Millis(q.capacity.service())
	return q.now+needed >= ticket.Deadline
}

// makeRoom removes the newest ticket of the caller that has most of them in the
// lowest band, if the new ticket is of a better band or its caller has fewer.
func (q *Queue) makeRoom(own *band, ticket Ticket) bool {
	for i := len(q.bands) - 1; i >= 0; i-- {
		b := q.bands[i]
		if b.queued == 0 {
			if b == own {
				return false
			}
			continue
		}
		most := b.longest()
		if b == own {
			l := own.lines[ticket.Caller]
			if l != nil && len(most.items) < len(l.items)+2 || l == nil && len(most.items) < 2 {
				return false
			}
		}
		it := most.items[len(most.items)-1]
		q.remove(it)
		q.shed = append(q.shed, Refuse{Ticket: it.ticket, Error: q.full()})
		return true
	}
	return false
}

func (q *Queue) full() *dfresult.Error {
	return dfresult.NewError(dfresult.QueueFull, "%d requests wait", len(q.waiting)).
		WithRetryAfter(max(1, q.capacity.wait(len(q.waiting))))
}

func (q *Queue) expire(it *item) Refuse {
	q.remove(it)
	return q.late(it.ticket)
}

func (q *Queue) late(ticket Ticket) Refuse {
	err := dfresult.NewError(dfresult.DeadlinePassed, "%s remain after the wait", max(0, ticket.Deadline-q.now))
	return Refuse{Ticket: ticket, Error: err.WithRetryAfter(max(1, q.capacity.wait(len(q.waiting))))}
}

func (q *Queue) remove(it *item) {
	it.band.remove(it)
	q.forget(it)
}

// forget removes a ticket that left its band.
func (q *Queue) forget(it *item) {
	q.waiting.remove(it)
	delete(q.byID, it.ticket.ID)
}
