package dfhost

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfoutcome"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// Bounds of repeated attempts.
const (
	// firstRetryPause and maxRetryPause bound the pauses between attempts; the
	// first is about a round trip between data centres.
	firstRetryPause = 10 * dfclock.Millisecond
	maxRetryPause   = 200 * dfclock.Millisecond
	// attemptLimit bounds the attempts of one request.
	attemptLimit = 100
	// retryReserve is kept of the deadline so that the refusal reaches the
	// caller before the caller's own timeout.
	retryReserve = 20 * dfclock.Millisecond
)

// attempt runs the first batch of a unit until it succeeds, provably can't be
// repeated, or the deadline nears.
type attempt struct {
	host    *Host
	request dfunit.Request
	sink    *passedSink
	// avoid has hosts that refused this request.
	avoid map[string]bool
	// sends tracks what was handed to units. A request that must not be repeated
	// is handed to one unit at most.
	sends dfoutcome.Attempt
	// opened is called with each unit before its first batch runs.
	opened func(dfunit.Unit)
}

func newAttempt(host *Host, request dfunit.Request, sink dfunit.Sink, opened func(dfunit.Unit)) *attempt {
	return &attempt{
		host: host, request: request, sink: &passedSink{sink: sink}, opened: opened,
		sends: dfoutcome.NewAttempt(request.NoRepeat),
	}
}

func (a *attempt) run(ctx context.Context, batch dfunit.Batch) (dfunit.Result, dfunit.Unit, error) {
	pause := firstRetryPause
	for count := 1; ; count++ {
		result, unit, err := a.once(ctx, batch)
		if err == nil {
			return result, unit, nil
		}
		if count >= attemptLimit || !a.repeatable(err) {
			return dfunit.Result{}, nil, err
		}
		now := a.host.now()
		if now.Add(pause + retryReserve).Reached(a.request.Deadline) {
			return dfunit.Result{}, nil, err
		}
		a.host.counters.retries.Inc()
		if a.movedToPrimary(err) {
			continue
		}
		if !sleep(ctx, a.host.jitter(pause)) {
			return dfunit.Result{}, nil, err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

func (a *attempt) once(ctx context.Context, batch dfunit.Batch) (dfunit.Result, dfunit.Unit, error) {
	target, err := a.host.dispatch(a.request, a.avoid)
	if err != nil {
		return dfunit.Result{}, nil, err
	}
	unit, err := target.executor.Open(ctx, a.request)
	if err != nil {
		a.refusedBy(target, err)
		return dfunit.Result{}, nil, err
	}
	if err := a.beginSend(); err != nil {
		unit.Close()
		return dfunit.Result{}, nil, err
	}
	a.opened(unit)
	result, err := unit.Exchange(ctx, batch, a.sink)
	a.sends = noteSend(a.sends, a.request.Class, err)
	if err != nil {
		a.opened(nil)
		unit.Close()
		a.refusedBy(target, err)
		return dfunit.Result{}, nil, err
	}
	return result, unit, nil
}

// beginSend asserts that a request that must not be repeated is sent once.
func (a *attempt) beginSend() error {
	next, refusal := a.sends.BeginSend(a.request.Class == dfunit.ClassWrite)
	if refusal == nil {
		a.sends = next
		return nil
	}
	a.host.counters.repeatsRefused.Inc()
	if strictSends.Load() {
		panic("host: invariant failed: " + refusal.Error())
	}
	a.host.log.Error().Err(refusal).Msg("host: a repeat was refused")
	return refusal
}

// strictSends makes a refused repeat panic. Tests set it.
var strictSends atomic.Bool

// noteSend takes the end of a send. A read that was lost has no effect, so it
// counts as undone.
func noteSend(sends dfoutcome.Attempt, class dfunit.Class, err error) dfoutcome.Attempt {
	var failure *dfresult.Error
	switch {
	case err == nil:
		return sends.WithAnswered()
	case errors.As(err, &failure) && failure.Code.Outcome() == dfresult.NotRun, class == dfunit.ClassRead:
		return sends.WithRolledBack()
	}
	return sends
}

// movedToPrimary turns a read that a replica refused into a write.
func (a *attempt) movedToPrimary(err error) bool {
	var failure *dfresult.Error
	if !errors.As(err, &failure) || failure.Code != dfresult.NeedsPrimary || a.request.Class == dfunit.ClassWrite {
		return false
	}
	a.request.Class = dfunit.ClassWrite
	clear(a.avoid)
	return true
}

// refusedBy makes the next attempt prefer another host. When all have refused,
// the round begins again.
func (a *attempt) refusedBy(target target, err error) {
	if a.avoid == nil {
		a.avoid = make(map[string]bool)
	}
	a.avoid[target.host] = true
	if target.local {
		return
	}
	var failure *dfresult.Error
	if !errors.As(err, &failure) {
		return
	}
	switch failure.Code {
	case dfresult.PeerUnreachable, dfresult.ConnectionLost:
		a.host.peerFailed(target.host)
		a.host.slots.doubt(a.request.Group)
	case dfresult.SlotLost, dfresult.HostDraining:
		a.host.slots.doubt(a.request.Group)
	}
}

// repeatable reports whether another attempt may follow: the request did not
// run, or it was a read of which the caller has seen nothing.
func (a *attempt) repeatable(err error) bool {
	if a.sink.passed || !a.sends.MayRetry() {
		return false
	}
	var failure *dfresult.Error
	if !errors.As(err, &failure) {
		return false
	}
	switch failure.Code {
	case dfresult.NoPrimary, dfresult.NoFreshUpstream, dfresult.NoSlotHolder, dfresult.PeerUnreachable,
		dfresult.SlotLost, dfresult.UpstreamRefused, dfresult.TermSuperseded, dfresult.HostDraining,
		dfresult.LeaseLapsed, dfresult.NeedsPrimary:
		return failure.Code.Outcome() == dfresult.NotRun
	case dfresult.ConnectionLost, dfresult.TransactionLost:
		return a.request.Class == dfunit.ClassRead
	}
	return false
}

// passedSink notes whether the caller has received anything.
type passedSink struct {
	sink   dfunit.Sink
	passed bool
}

// Send passes a message on.
func (p *passedSink) Send(messageType byte, body []byte) error {
	p.passed = true
	return p.sink.Send(messageType, body)
}

// sleep waits for the span and reports whether the context is still open.
func sleep(ctx context.Context, span dfclock.Millis) bool {
	return dfplatform.Pause(ctx, span) == nil
}

// unitPointer holds the unit that a cancel request reaches.
type unitPointer struct {
	mu   sync.Mutex
	unit dfunit.Unit
}

func (p *unitPointer) set(unit dfunit.Unit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unit = unit
}

// get returns the unit. A unit that ends meanwhile ignores the cancel, because
// cancels are matched to the batch that runs.
func (p *unitPointer) get() dfunit.Unit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unit
}
