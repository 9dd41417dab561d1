package dfholder

import (
	"context"
	"sync"
	"time"

	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// admission runs the queue of one kind of request. Reads and writes have queues
// of their own, because they use different connections: writes that wait for
// the primary must not hold up reads at replicas.
type admission struct {
	now func() dfclock.Millis

	mu    sync.Mutex
	queue *dfadmit.Queue
	// waiting has the channel of each ticket that was not answered yet; it has
	// room for the answer.
	waiting map[uint64]chan error
	lastID  uint64
	// timer runs the queue when it has something to do although nothing ends.
	timer *time.Timer
}

func newAdmission(limit int, now func() dfclock.Millis) *admission {
	options := dfadmit.DefaultOptions()
	options.Limit = limit
	return &admission{now: now, queue: dfadmit.New(options), waiting: make(map[uint64]chan error)}
}

// admit waits for a turn. The returned function ends it; its argument tells
// whether the upstream was overloaded.
func (a *admission) admit(ctx context.Context, request dfunit.Request, deadline dfclock.Millis) (func(overloaded bool), error) {
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	err := a.queue.Enqueue(a.now(), dfadmit.Request{
		ID:       id,
		Caller:   request.Caller,
		Priority: request.Priority,
		Write:    request.Class == dfunit.ClassWrite,
		Deadline: deadline,
	})
	if err != nil {
		a.mu.Unlock()
		return nil, err
	}
	answer := make(chan error, 1)
	a.waiting[id] = answer
	a.advance()
	a.mu.Unlock()
	select {
	case err := <-answer:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, a.withdraw(id, answer)
	}
	return func(overloaded bool) { a.finish(id, overloaded) }, nil
}

// advance carries out what the queue decides. The mutex is held.
func (a *admission) advance() {
	now := a.now()
	for action, more := a.queue.Next(now); more; action, more = a.queue.Next(now) {
		switch action := action.(type) {
		case dfadmit.Start:
			a.answer(action.Request.ID, nil)
		case dfadmit.Refuse:
			a.answer(action.Request.ID, action.Error)
		}
	}
	next := a.queue.NextAt()
	if next == dfclock.Never {
		return
	}
	span := time.Duration(max(next.Since(now), dfclock.Millisecond)) * time.Millisecond
	if a.timer == nil {
		a.timer = time.AfterFunc(span, a.wake)
		return
	}
	a.timer.Reset(span)
}

func (a *admission) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
}

func (a *admission) answer(id uint64, err error) {
	if answer, found := a.waiting[id]; found {
		delete(a.waiting, id)
		answer <- err
	}
}

func (a *admission) finish(id uint64, overloaded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Finish(a.now(), id, overloaded)
	a.advance()
}

// withdraw gives a ticket up, also one that was started meanwhile.
func (a *admission) withdraw(id uint64, answer chan error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Cancel(id) {
		if err := <-answer; err != nil {
			return err
		}
		a.queue.Finish(a.now(), id, false)
	}
	delete(a.waiting, id)
	a.advance()
	return dfresult.NewError(dfresult.DeadlinePassed, "the request waited for its turn")
}

// hold keeps writes waiting while there is no primary.
func (a *admission) hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.PauseWrites(a.now())
}

// release lets writes go on at a rising rate.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.ResumeWrites(a.now())
	a.advance()
}

func (a *admission) setLimit(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetLimit(limit)
	a.advance()
}

func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
}

// admitRequest waits for the turn of a request at this holder.
func (h *Holder) admitRequest(ctx context.Context, request dfunit.Request) (func(overloaded bool), error) {
	if request.Class == dfunit.ClassRead {
		return h.reads.admit(ctx, request, request.Deadline)
	}
	deadline := request.Deadline
	if h.watcher.View().Primary == "" {
		// Another slot holder may see a primary that this one can't reach.
		deadline = min(deadline, h.now().Add(holdBound))
	}
	release, err := h.writes.admit(ctx, request, deadline)
	if dfresult.HasCode(err, dfresult.DeadlinePassed) && deadline != request.Deadline {
		return nil, dfresult.NewError(dfresult.NoPrimary, "database %s", h.options.Group).WithRetryAfter(retryHint)
	}
	return release, err
}
