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

// command is one change at one upstream.
type command struct {
	step    dffailover.Step
	term    dfposition.Term
	actor   string
	primary dfgroup.UpstreamID
	// leaving is true for the leaving mark, which is no step of a promotion.
	leaving bool
}

// worker has the two duties towards one upstream.
type worker struct {
	upstream dfgroup.UpstreamID
	commands chan command
	// poll holds at most one request; a poll that starts later serves it.
	poll  chan struct{}
	waits chan dfack.Wait
}

// message is what reaches the watcher's loop.
type message interface{ message() }

// reported is a status row, or the end of a group_wait if waited is true.
type reported struct {
	status  dfgroup.Status
	askedAt dfclock.Millis
}

// asked is a statement without an answer.
type asked struct {
	upstream  dfgroup.UpstreamID
	startedAt dfclock.Millis
	err       error
}

// changed is the end of a change.
type changed struct {
	command  command
	upstream dfgroup.UpstreamID
	status   dfgroup.Status
	askedAt  dfclock.Millis
	err      error
}

// waited is the end of a group_wait; its status comes before as reported.
type waited struct{ upstream dfgroup.UpstreamID }

// traffic is what the data path saw.
type traffic struct{ event dfhealth.Event }

// ackRequest is a commit that waits, or with a term a confirmation.
type ackRequest struct {
	term     dfposition.Term
	id       uint64
	position dfposition.Position
	reply    chan error
}

// ackForgotten is a commit whose caller went away.
type ackForgotten struct{ id uint64 }

// barrierRequest is a read that waits for a position.
type barrierRequest struct{ reply chan barrierReply }

type barrierReply struct {
	position dfposition.Position
	err      error
}

// changeRequest is a planned change that is waited for.
type changeRequest struct{ reply chan error }

// rankChanged is a new rank of the actor.
type rankChanged struct{ rank int }

// listed is the platform's mark on an upstream.
type listed struct {
	upstream dfgroup.UpstreamID
	leaving  bool
}

func (listed) message()         {}
func (reported) message()       {}
func (asked) message()          {}
func (changed) message()        {}
func (waited) message()         {}
func (traffic) message()        {}
func (ackRequest) message()     {}
func (ackForgotten) message()   {}
func (barrierRequest) message() {}
func (changeRequest) message()  {}
func (rankChanged) message()    {}

func newWorker(upstream dfgroup.UpstreamID) *worker {
	return &worker{
		upstream: upstream,
		commands: make(chan command, CommandQueue),
		poll:     make(chan struct{}, 1),
		waits:    make(chan dfack.Wait, 1),
	}
}

// pokePoll asks for a poll that starts from now on.
func (w *worker) pokePoll() {
	select {
	case w.poll <- struct{}{}:
	default:
	}
}

// control runs changes and polls, one at a time. Changes go first.
func (w *Watcher) control(ctx context.Context, k *worker) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case c := <-k.commands:
			w.runChange(ctx, k, c)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case c := <-k.commands:
			w.runChange(ctx, k, c)
		case <-k.poll:
			w.runPoll(ctx, k, timer)
		case <-timer.C:
			w.runPoll(ctx, k, timer)
		}
	}
}

func (w *Watcher) runPoll(ctx context.Context, k *worker, timer *time.Timer) {
	bounded, cancel := context.WithTimeout(ctx, w.options.StatusTimeout)
	defer cancel()
	askedAt := w.options.Now()
	status, err := w.options.Control.Status(bounded, k.upstream)
	timer.Reset(w.options.PollPeriod)
	if err != nil {
		w.post(ctx, asked{upstream: k.upstream, startedAt: askedAt, err: err})
		return
	}
	w.post(ctx, reported{status: status, askedAt: askedAt})
}

func (w *Watcher) runChange(ctx context.Context, k *worker, c command) {
	bounded, cancel := context.WithTimeout(ctx, w.options.ChangeTimeout)
	defer cancel()
	result := changed{command: c, upstream: k.upstream, askedAt: w.options.Now()}
	group := w.options.Control
	switch {
	case c.leaving:
		result.status, result.err = group.Leaving(bounded, k.upstream, true)
	case c.step == dffailover.StepFence:
		result.status, result.err = group.Fence(bounded, k.upstream, c.term, c.actor)
	case c.step == dffailover.StepPromote:
		result.status, result.err = group.Promote(bounded, k.upstream, c.term, c.actor)
	case c.step == dffailover.StepFollow:
		result.status, result.err = group.Follow(bounded, k.upstream, c.term, c.actor, c.primary)
	}
	w.post(ctx, result)
}

// wait runs one group_wait at a time.
func (w *Watcher) wait(ctx context.Context, k *worker) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-k.waits:
			w.runWait(ctx, k, request)
		}
	}
}

func (w *Watcher) runWait(ctx context.Context, k *worker, request dfack.Wait) {
	bound := time.Duration(request.Timeout)*time.Millisecond + w.options.WaitMargin
	bounded, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	askedAt := w.options.Now()
	status, err := w.options.Control.Wait(bounded, k.upstream, request.Position, request.Timeout)
	if err == nil {
		w.post(ctx, reported{status: status, askedAt: askedAt})
		w.post(ctx, waited{upstream: k.upstream})
		return
	}
	w.post(ctx, asked{upstream: k.upstream, startedAt: askedAt, err: err})
	select {
	case <-ctx.Done():
	case <-time.After(w.options.WaitPause):
	}
	w.post(ctx, waited{upstream: k.upstream})
}

// post hands a message to the loop and waits for room, as a duty of the watcher may.
func (w *Watcher) post(ctx context.Context, m message) {
	select {
	case w.inbox <- m:
	case <-ctx.Done():
	}
}

// healthEvent turns a failed statement into what it tells of the upstream.
func healthEvent(m asked) dfhealth.Event {
	var connect *ConnectError
	var refusal *RefusedError
	var answer *pgconn.PgError
	switch {
	case errors.As(m.err, &connect):
		return dfhealth.ConnectFailed{Upstream: m.upstream, StartedAt: m.startedAt}
	case errors.As(m.err, &refusal), errors.As(m.err, &answer):
		return dfhealth.Answered{Upstream: m.upstream}
	}
	return dfhealth.RequestTimedOut{Upstream: m.upstream}
}
