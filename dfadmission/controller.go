// Package dfadmission makes requests wait for the decisions of an admission queue.
package dfadmission

import (
	"context"
	"sync"
	"time"

	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// Controller runs an admission queue for concurrent requests. It is safe for
// concurrent use.
type Controller struct {
	now func() dfclock.Millis

	mu    sync.Mutex
	queue *dfadmit.Queue
	// pending has the result channel of each queued ticket, with a buffer of one.
	pending map[uint64]chan error
	lastID  uint64
	// timer calls advance at the queue's next due time.
	timer *time.Timer
}

// Release ends an admitted request. overloaded is true if the upstream refused the
// work or did not answer in time.
type Release func(overloaded bool)

// New returns a controller without requests.
func New(options dfadmit.Options, now func() dfclock.Millis) *Controller {
	return &Controller{now: now, queue: dfadmit.New(options), pending: make(map[uint64]chan error)}
}

// Admit waits until a request may start. The ID of the request is set by the
// controller. An error is a *dfresult.Error whose outcome is "not run".
func (a *Controller) Admit(ctx context.Context, request dfadmit.Request) (Release, error) {
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	request.ID = id
	err := a.queue.Enqueue(a.now(), request)
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

// Start admits a request at once, even above the limit, because it ends work that is
// under way.
func (a *Controller) Start() Release {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	id := a.lastID
	a.queue.StartNow(a.now(), id)
	return func(overloaded bool) { a.finish(id, overloaded) }
}

// advance starts and refuses tickets as the queue decides. The caller holds mu.
func (a *Controller) advance() {
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

func (a *Controller) onTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
}

func (a *Controller) reply(id uint64, err error) {
	if result, found := a.pending[id]; found {
		delete(a.pending, id)
		result <- err
	}
}

func (a *Controller) finish(id uint64, overloaded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Finish(a.now(), id, overloaded)
	a.advance()
}

// withdraw removes a ticket from the queue, or finishes it if it was started in the
// meantime.
func (a *Controller) withdraw(id uint64, result chan error) error {
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

// PauseWrites queues writes while there is no primary.
func (a *Controller) PauseWrites() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.PauseWrites(a.now())
}

// ResumeWrites admits writes again at a rising rate.
func (a *Controller) ResumeWrites() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.ResumeWrites(a.now())
	a.advance()
}

// SetLimit sets how many requests may run concurrently.
func (a *Controller) SetLimit(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetLimit(limit)
	a.advance()
}

// SetSpreadReturns sets whether callers that are refused come back one after the other.
func (a *Controller) SetSpreadReturns(spread bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetSpreadReturns(spread)
}

// Close stops the timer.
func (a *Controller) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
}

// Queued returns the number of requests that wait.
func (a *Controller) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Queued()
}
