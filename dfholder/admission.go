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

// admission runs the admission queue for reads or for writes. The two have separate
// queues because they use different connections: writes that wait for the primary
// must not delay reads at replicas.
type admission struct {
	now func() dfclock.Millis

	mu    sync.Mutex
	queue *dfadmit.Queue
	// pending has the result channel of each queued ticket, with a buffer of one.
	pending map[uint64]chan error
	lastID  uint64
	// timer calls advance at the queue's next due time.
	timer *time.Timer
}

func newAdmission(limit int, now func() dfclock.Millis) *admission {
	options := dfadmit.DefaultOptions()
	options.Limit = limit
	return &admission{now: now, queue: dfadmit.New(options), pending: make(map[uint64]chan error)}
}

// admit waits until the request may start. The returned function must be called when
// the request ends, with true if the upstream was overloaded.
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
	result := make(chan error, 1)
	a.pending[id] = result
	a.advance()
	a.mu.Unlock()
	select {
	case err := <-result:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, a.withdraw(id, result)
	}
	return func(overloaded bool) { a.finish(id, overloaded) }, nil
}

// advance starts and refuses tickets as the queue decides. The caller holds mu.
func (a *admission) advance() {
	now := a.now()
	for action, more := a.queue.Next(now); more; action, more = a.queue.Next(now) {
		switch action := action.(type) {
		case dfadmit.Start:
			a.reply(action.Request.ID, nil)
		case dfadmit.Refuse:
			a.reply(action.Request.ID, action.Error)
		}
	}
	next := a.queue.NextAt()
	if next == dfclock.Never {
		return
	}
	delay := time.Duration(max(next.Since(now), dfclock.Millisecond)) * time.Millisecond
	if a.timer == nil {
		a.timer = time.AfterFunc(delay, a.onTimer)
		return
	}
	a.timer.Reset(delay)
}

func (a *admission) onTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
}

func (a *admission) reply(id uint64, err error) {
	if result, found := a.pending[id]; found {
		delete(a.pending, id)
		result <- err
	}
}

func (a *admission) finish(id uint64, overloaded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Finish(a.now(), id, overloaded)
	a.advance()
}

// withdraw removes a ticket from the queue, or finishes it if it was started in the
// meantime.
func (a *admission) withdraw(id uint64, result chan error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Cancel(id) {
		if err := <-result; err != nil {
			return err
		}
		a.queue.Finish(a.now(), id, false)
	}
	delete(a.pending, id)
	a.advance()
	return dfresult.NewError(dfresult.DeadlinePassed, "the request waited for its turn")
}

// hold queues writes while there is no primary.
func (a *admission) hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.PauseWrites(a.now())
}

// release admits writes again at a rising rate.
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

// admitRequest waits until the request may start at this holder.
func (h *Holder) admitRequest(ctx context.Context, request dfunit.Request) (func(overloaded bool), error) {
	if request.Class == dfunit.ClassRead {
		return h.reads.admit(ctx, request, request.Deadline)
	}
	deadline := request.Deadline
	if h.watcher.View().Primary == "" {
		// Another slot holder may see a primary that this one cannot reach.
		deadline = min(deadline, h.now().Add(maxPrimaryWait))
	}
	release, err := h.writes.admit(ctx, request, deadline)
	if dfresult.HasCode(err, dfresult.DeadlinePassed) && deadline != request.Deadline {
		return nil, dfresult.NewError(dfresult.NoPrimary, "database %s", h.options.Group).WithRetryAfter(retryAfter)
	}
	return release, err
}
