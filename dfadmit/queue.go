// Package dfadmit controls the admission of the requests of one service: a
// bounded queue that is fair between callers, early refusal of requests that
// would miss their deadline, a concurrency limit, a slow start after a
// promotion, and a retry budget.
package dfadmit

import (
	"container/heap"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// Request is a request that has to be admitted before it runs.
type Request struct {
	// ID is unique among the queued and running requests.
	ID       uint64
	Caller   string
	Priority int
	// Write requests stay queued while there is no primary; slow start releases
	// them after a promotion.
	Write bool
	// Cost is what the request takes from its caller's round-robin share. It
	// counts as 1 if it is not positive.
	Cost int
	// Deadline is when the request must have ended, or with BoundsStart when it must have
	// started.
	Deadline    dfclock.Millis
	BoundsStart bool
}

// Action is what the host has to do for a queued request.
type Action interface{ isAction() }

// Start runs the request. The host calls Finish when it has ended.
type Start struct{ Request Request }

// Refuse answers the request's caller with the error, whose outcome is not run.
type Refuse struct {
	Request Request
	Error   *dfresult.Error
}

func (Start) isAction()  {}
func (Refuse) isAction() {}

// Queue is the admission queue of one service. It is not safe for concurrent use.
//
// The host calls Next until it returns nothing after each Enqueue, Finish and
// ResumeWrites, and at the time that NextAt returns.
type Queue struct {
	options Options
	// bands are sorted by ascending priority value, that is, from the highest
	// priority to the lowest. Writes come before reads of the same priority.
	bands []*band
	// waiting has all queued requests; len(waiting) <= options.MaxQueued.
	waiting deadlineHeap
	byID    map[uint64]*entry
	// running has the start time of each running request by its ID.
	running   map[uint64]dfclock.Millis
	limiter   limiter
	slowStart slowStart
	// writesPaused is true while there is no primary.
	writesPaused bool
	// evicted has the refusals of requests that were removed to make room, until
	// Next returns them.
	evicted []Refuse
	// returns spreads the refused callers, or is nil if all come back after the expected
	// wait.
	returns *Returns
	now     dfclock.Millis
}

// New returns an empty queue. Options that are not positive are replaced by their
// defaults.
func New(options Options) *Queue {
	defaults := DefaultOptions()
	for _, pair := range []struct{ value, fallback *int }{
		{&options.MaxQueued, &defaults.MaxQueued},
		{&options.Limit, &defaults.Limit},
		{&options.MaxLimit, &defaults.MaxLimit},
		{&options.MaxSkips, &defaults.MaxSkips},
	} {
		if *pair.value <= 0 {
			*pair.value = *pair.fallback
		}
	}
	return &Queue{
		options: options,
		byID:    map[uint64]*entry{},
		running: map[uint64]dfclock.Millis{},
		limiter: limiter{limit: float64(options.Limit), maxLimit: float64(options.MaxLimit), adaptive: options.Adaptive},
	}
}

// Enqueue adds a request to the queue. It returns a *dfresult.Error at once if the
// request is not expected to run before its deadline or if the queue is full.
func (q *Queue) Enqueue(now dfclock.Millis, request Request) error {
	q.advanceTo(now)
	request.Cost = min(max(1, request.Cost), maxCost)
	if _, running := q.running[request.ID]; running || q.byID[request.ID] != nil {
		return dfresult.NewError(dfresult.QueueFull, "request %d is already queued or running", request.ID)
	}
	b := q.bandOf(request)
	ahead := q.requestsAhead(b, request)
	wait := q.limiter.expectedWait(ahead)
	if q.writesPaused && request.Write {
		wait = 0
	}
	// If nothing is ahead, the request can be tried at once, so it is not refused
	// because of an estimate.
	if q.now >= request.Deadline || ahead > 0 && q.missesDeadline(request, wait) {
		return dfresult.NewError(dfresult.DeadlinePassed, "%s remain, the expected wait is %s", request.Deadline-q.now, wait).
			WithRetryAfter(q.returnAfter(wait))
	}
	if len(q.waiting) >= q.options.MaxQueued && !q.evictFor(b, request) {
		return q.queueFullError()
	}
	e := &entry{request: request}
	b.push(e)
	heap.Push(&q.waiting, e)
	q.byID[request.ID] = e
	if !holds(len(q.waiting) <= q.options.MaxQueued, "queue length does not exceed MaxQueued") {
		q.remove(e)
		return q.queueFullError()
	}
	return nil
}

// Next returns the next action, or false if all queued requests have to wait.
func (q *Queue) Next(now dfclock.Millis) (Action, bool) {
	q.advanceTo(now)
	if len(q.evicted) > 0 {
		refused := q.evicted[0]
		q.evicted = q.evicted[1:]
		return refused, true
	}
	if len(q.waiting) > 0 && q.waiting[0].request.Deadline <= q.now {
		return q.expire(q.waiting[0]), true
	}
	if len(q.running) >= q.Limit() {
		return nil, false
	}
	b := q.selectBand()
	if b == nil {
		return nil, false
	}
	e := b.pop()
	q.untrack(e)
	// If nothing runs, the request is tried whatever the estimate: an upstream that stalled
	// has raised it, and only completions lower it.
	if len(q.running) > 0 && q.missesDeadline(e.request, 0) {
		return q.refuseLate(e.request), true
	}
	return q.start(e.request), true
}

// StartNow marks a request as running without queueing it, even above the limit. It
// is for work that must not wait, such as the end of a transaction.
func (q *Queue) StartNow(now dfclock.Millis, id uint64) {
	q.advanceTo(now)
	q.running[id] = q.now
}

// start marks the request as running.
func (q *Queue) start(request Request) Action {
	if !holds(len(q.running) < q.Limit(), "running requests do not exceed the concurrency limit") {
		return q.refuseLate(request)
	}
	if request.Write {
		q.slowStart.take()
	}
	q.running[request.ID] = q.now
	return Start{Request: request}
}

// NextAt returns when Next may return an action even if no request finishes.
func (q *Queue) NextAt() dfclock.Millis {
	if len(q.evicted) > 0 {
		return q.now
	}
	if len(q.waiting) == 0 {
		return dfclock.Never
	}
	due := q.waiting[0].request.Deadline
	if q.slowStart.active && !q.writesPaused {
		due = min(due, q.now+1)
	}
	return due
}

// Finish records the end of a running request. overloaded is true if the upstream
// refused the work or did not answer in time.
func (q *Queue) Finish(now dfclock.Millis, id uint64, overloaded bool) {
	q.advanceTo(now)
	startedAt, running := q.running[id]
	if !running {
		return
	}
	delete(q.running, id)
	q.limiter.recordCompletion(q.now, q.now-startedAt, overloaded, len(q.waiting) > 0)
}

// Cancel removes the request of a caller that gave up, and reports whether it was
// queued.
func (q *Queue) Cancel(id uint64) bool {
	e := q.byID[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

// PauseWrites keeps writes queued while there is no primary.
func (q *Queue) PauseWrites(now dfclock.Millis) {
	q.advanceTo(now)
	q.writesPaused = true
}

// ResumeWrites releases writes with a slow start after a promotion.
func (q *Queue) ResumeWrites(now dfclock.Millis) {
	q.advanceTo(now)
	q.writesPaused = false
	q.slowStart.start(q.now)
}

// SetLimit sets the concurrency limit, for example to the number of open
// connections.
func (q *Queue) SetLimit(limit int) {
	q.limiter.limit = float64(max(1, limit))
}

// SetSpreadReturns sets whether callers that are refused come back one after the other,
// as fast as the queue can take them.
func (q *Queue) SetSpreadReturns(spread bool) {
	switch {
	case !spread:
		q.returns = nil
	case q.returns == nil:
		q.returns = NewReturns(0)
	}
}

// Limit returns the current concurrency limit.
func (q *Queue) Limit() int {
	return int(q.limiter.limit)
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return len(q.waiting) }

// Running returns the number of requests that have started and not finished.
func (q *Queue) Running() int { return len(q.running) }

// advanceTo sets the current time, which never goes back.
func (q *Queue) advanceTo(now dfclock.Millis) {
	q.now = max(q.now, now)
	q.limiter.addBusyTime(q.now, len(q.running))
	q.slowStart.refill(q.now)
}

// bandOf returns the band of a request. A new band is inserted in order.
func (q *Queue) bandOf(request Request) *band {
	at := len(q.bands)
	for i, b := range q.bands {
		if b.priority == request.Priority && b.write == request.Write {
			return b
		}
		if at == len(q.bands) && (b.priority > request.Priority || b.priority == request.Priority && request.Write) {
			at = i
		}
	}
	if len(q.bands) == maxBands {
		return q.lowestBand(request.Write)
	}
	b := newBand(request.Priority, request.Write)
	q.bands = append(q.bands, nil)
	copy(q.bands[at+1:], q.bands[at:])
	q.bands[at] = b
	return b
}

// lowestBand returns the lowest band of writes or of reads, or the lowest of all if
// there is none.
func (q *Queue) lowestBand(write bool) *band {
	for i := len(q.bands) - 1; i >= 0; i-- {
		if q.bands[i].write == write {
			return q.bands[i]
		}
	}
	return q.bands[len(q.bands)-1]
}

// selectBand returns the band to serve next, or nil: the highest one that may run,
// unless a lower one has been skipped MaxSkips times.
func (q *Queue) selectBand() *band {
	var first, starved *band
	for _, b := range q.bands {
		if b.queued == 0 || b.write && (q.writesPaused || !q.slowStart.allows()) {
			continue
		}
		if first == nil {
			first = b
			continue
		}
		if starved == nil && b.skips >= q.options.MaxSkips {
			starved = b
		}
		b.skips++
	}
	if starved != nil {
		first = starved
	}
	if first != nil {
		first.skips = 0
	}
	return first
}

// requestsAhead estimates how many requests run before a new one. Running requests
// count only if the concurrency limit is reached.
func (q *Queue) requestsAhead(own *band, request Request) int {
	count := max(0, len(q.running)+1-q.Limit())
	for _, b := range q.bands {
		if b == own {
			return count + b.requestsAhead(request.Caller)
		}
		if !b.write || !q.writesPaused {
			count += b.queued
		}
	}
	return count
}

func (q *Queue) missesDeadline(request Request, wait dfclock.Millis) bool {
	if !request.BoundsStart {
		wait += dfclock.Millis(q.limiter.meanServiceTime())
	}
	return q.now+wait >= request.Deadline
}

// evictFor makes room for a new request. It removes the newest request of the
// caller with the most requests in the lowest band, if the new request belongs to a
// higher band or its caller has fewer requests there.
func (q *Queue) evictFor(own *band, request Request) bool {
	for i := len(q.bands) - 1; i >= 0; i-- {
		b := q.bands[i]
		if b.queued == 0 {
			if b == own {
				return false
			}
			continue
		}
		longest := b.longestQueue()
		if b == own {
			cq := own.queues[request.Caller]
			if cq != nil && len(longest.entries) < len(cq.entries)+2 || cq == nil && len(longest.entries) < 2 {
				return false
			}
		}
		e := longest.entries[len(longest.entries)-1]
		q.remove(e)
		q.evicted = append(q.evicted, Refuse{Request: e.request, Error: q.queueFullError()})
		return true
	}
	return false
}

func (q *Queue) queueFullError() *dfresult.Error {
	return dfresult.NewError(dfresult.QueueFull, "%d requests wait", len(q.waiting)).
		WithRetryAfter(q.returnAfter(q.limiter.expectedWait(len(q.waiting))))
}

// returnAfter returns when a refused caller comes back that can be served after a wait.
func (q *Queue) returnAfter(wait dfclock.Millis) dfclock.Millis {
	if q.returns == nil {
		return max(1, wait)
	}
	return q.returns.After(q.now, wait, MaxReturnDelay, q.limiter.meanServiceTime()/q.limiter.limit)
}

func (q *Queue) expire(e *entry) Refuse {
	q.remove(e)
	return q.refuseLate(e.request)
}

func (q *Queue) refuseLate(request Request) Refuse {
	err := dfresult.NewError(dfresult.DeadlinePassed, "%s remain after the wait", max(0, request.Deadline-q.now))
	return Refuse{Request: request, Error: err.WithRetryAfter(q.returnAfter(q.limiter.expectedWait(len(q.waiting))))}
}

func (q *Queue) remove(e *entry) {
	e.band.remove(e)
	q.untrack(e)
}

// untrack removes a request that was removed from its band from the indexes.
func (q *Queue) untrack(e *entry) {
	q.waiting.remove(e)
	delete(q.byID, e.request.ID)
}
