package dfcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"dragonflygrade/dfack"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffailover"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhealth"
	"dragonflygrade/dfposition"
)

// command is a control statement that changes one upstream.
type command struct {
	step    dffailover.Step
	term    dfposition.Term
	actor   string
	primary dfgroup.UpstreamID
	// leaving is true for setting the leaving mark, which is not a step of a
	// promotion; the other fields are then empty.
	leaving bool
}

// worker has the queues of the two goroutines that run the control statements of
// one upstream: one for commands and polls, one for group_wait.
type worker struct {
	upstream dfgroup.UpstreamID
	commands chan command
	// pollRequests holds at most one request, because the next poll serves all
	// requests made before it starts.
	pollRequests chan struct{}
	waits        chan dfack.Wait
}

// message is an input of the watcher's loop.
type message interface{ message() }

// statusReceived carries the status row of a poll or a group_wait.
type statusReceived struct {
	status  dfgroup.Status
	askedAt dfclock.Millis
}

// statementFailed reports that a poll or a group_wait failed.
type statementFailed struct {
	upstream  dfgroup.UpstreamID
	startedAt dfclock.Millis
	err       error
}

// commandDone carries the result of a command.
type commandDone struct {
	command  command
	upstream dfgroup.UpstreamID
	status   dfgroup.Status
	askedAt  dfclock.Millis
	err      error
}

// waitEnded reports the end of a group_wait, after its statusReceived or
// statementFailed.
type waitEnded struct{ upstream dfgroup.UpstreamID }

// trafficReported carries an observation of the data path.
type trafficReported struct{ event dfhealth.Event }

// ackRequest asks for the acknowledgement of a commit, or for a confirmation if
// term is not zero.
type ackRequest struct {
	term     dfposition.Term
	id       uint64
	position dfposition.Position
	reply    chan error
}

// ackCanceled withdraws an ackRequest whose context has ended.
type ackCanceled struct{ id uint64 }

// barrierRequest asks for a barrier position.
type barrierRequest struct{ reply chan barrierReply }

type barrierReply struct {
	position dfposition.Position
	err      error
}

// switchoverRequest asks for a switchover and for notice of its completion.
type switchoverRequest struct{ reply chan error }

// rankChanged carries the actor's new rank.
type rankChanged struct{ rank int }

// leavingMarked carries the leaving mark of an upstream in the platform's host
// list.
type leavingMarked struct {
	upstream dfgroup.UpstreamID
	leaving  bool
}

func (leavingMarked) message()     {}
func (statusReceived) message()    {}
func (statementFailed) message()   {}
func (commandDone) message()       {}
func (waitEnded) message()         {}
func (trafficReported) message()   {}
func (ackRequest) message()        {}
func (ackCanceled) message()       {}
func (barrierRequest) message()    {}
func (switchoverRequest) message() {}
func (rankChanged) message()       {}

func newWorker(upstream dfgroup.UpstreamID) *worker {
	return &worker{
		upstream:     upstream,
		commands:     make(chan command, CommandQueueSize),
		pollRequests: make(chan struct{}, 1),
		waits:        make(chan dfack.Wait, 1),
	}
}

// requestPoll requests a new poll, even if one is running.
func (w *worker) requestPoll() {
	select {
	case w.pollRequests <- struct{}{}:
	default:
	}
}

// runControl runs commands and polls, one at a time. Commands take precedence.
func (w *Watcher) runControl(ctx context.Context, worker *worker) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case c := <-worker.commands:
			w.executeCommand(ctx, worker, c)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case c := <-worker.commands:
			w.executeCommand(ctx, worker, c)
		case <-worker.pollRequests:
			w.pollStatus(ctx, worker, timer)
		case <-timer.C:
			w.pollStatus(ctx, worker, timer)
		}
	}
}

func (w *Watcher) pollStatus(ctx context.Context, worker *worker, timer *time.Timer) {
	bounded, cancel := context.WithTimeout(ctx, w.options.StatusTimeout)
	defer cancel()
	askedAt := w.options.Now()
	status, err := w.options.Control.Status(bounded, worker.upstream)
	timer.Reset(w.options.PollPeriod)
	if err != nil {
		w.send(ctx, statementFailed{upstream: worker.upstream, startedAt: askedAt, err: err})
		return
	}
	w.send(ctx, statusReceived{status: status, askedAt: askedAt})
}

func (w *Watcher) executeCommand(ctx context.Context, worker *worker, c command) {
	bounded, cancel := context.WithTimeout(ctx, w.options.ChangeTimeout)
	defer cancel()
	result := commandDone{command: c, upstream: worker.upstream, askedAt: w.options.Now()}
	group := w.options.Control
	switch {
	case c.leaving:
		result.status, result.err = group.SetLeaving(bounded, worker.upstream, true)
	case c.step == dffailover.StepFence:
		result.status, result.err = group.Fence(bounded, worker.upstream, c.term, c.actor)
	case c.step == dffailover.StepPromote:
		result.status, result.err = group.Promote(bounded, worker.upstream, c.term, c.actor)
	case c.step == dffailover.StepFollow:
		result.status, result.err = group.Follow(bounded, worker.upstream, c.term, c.actor, c.primary)
	}
	w.send(ctx, result)
}

// runWaits runs group_wait statements, one at a time.
func (w *Watcher) runWaits(ctx context.Context, worker *worker) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-worker.waits:
			w.executeWait(ctx, worker, request)
		}
	}
}

func (w *Watcher) executeWait(ctx context.Context, worker *worker, request dfack.Wait) {
	timeout := time.Duration(request.Timeout)*time.Millisecond + w.options.WaitMargin
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	askedAt := w.options.Now()
	status, err := w.options.Control.Wait(bounded, worker.upstream, request.Position, request.Timeout)
	if err == nil {
		w.send(ctx, statusReceived{status: status, askedAt: askedAt})
		w.send(ctx, waitEnded{upstream: worker.upstream})
		return
	}
	w.send(ctx, statementFailed{upstream: worker.upstream, startedAt: askedAt, err: err})
	select {
	case <-ctx.Done():
	case <-time.After(w.options.WaitRetryDelay):
	}
	w.send(ctx, waitEnded{upstream: worker.upstream})
}

// send sends a message to the loop and waits while the inbox is full. Only the
// watcher's own goroutines may block like this.
func (w *Watcher) send(ctx context.Context, m message) {
	select {
	case w.inbox <- m:
	case <-ctx.Done():
	}
}

// healthEvent converts a failed statement into an event of the health tracker.
func healthEvent(m statementFailed) dfhealth.Event {
	var connect *ConnectError
	var refusal *RefusedError
	var serverError *pgconn.PgError
	switch {
	case errors.As(m.err, &connect):
		return dfhealth.ConnectFailed{Upstream: m.upstream, StartedAt: m.startedAt}
	case errors.As(m.err, &refusal), errors.As(m.err, &serverError):
		return dfhealth.Answered{Upstream: m.upstream}
	}
	return dfhealth.RequestTimedOut{Upstream: m.upstream}
}
