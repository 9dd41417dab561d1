package dfcontrol

import (
	"context"
	"sync"
	"sync/atomic"

	"dragonflygrade/dfack"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffailover"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhealth"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
)

// Watcher runs the decisions for one database group at one slot holder.
type Watcher struct {
	options Options
	inbox   chan message
	workers map[dfgroup.UpstreamID]*worker
	stop    context.CancelFunc
	duties  sync.WaitGroup
	done    <-chan struct{}

	view atomic.Pointer[dfgroup.View]
	// held is the channel that is closed when held writes may go on, or nil.
	held atomic.Pointer[chan struct{}]
	// lastTraffic limits the answers that the data path passes on.
	lastTraffic map[dfgroup.UpstreamID]*atomic.Int64
	nextID      atomic.Uint64

	loop loop
}

// NewWatcher starts a watcher. Stop ends it.
func NewWatcher(options Options) (*Watcher, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		options:     options,
		inbox:       make(chan message, InboxSize),
		workers:     map[dfgroup.UpstreamID]*worker{},
		stop:        cancel,
		done:        ctx.Done(),
		lastTraffic: map[dfgroup.UpstreamID]*atomic.Int64{},
	}
	w.loop = newLoop(w)
	first := w.loop.view
	w.view.Store(&first)
	for _, upstream := range options.Upstreams {
		k := newWorker(upstream.ID)
		w.workers[upstream.ID] = k
		w.lastTraffic[upstream.ID] = &atomic.Int64{}
		w.duties.Go(func() { w.control(ctx, k) })
		w.duties.Go(func() { w.wait(ctx, k) })
	}
	w.duties.Go(func() { w.loop.run(ctx) })
	return w, nil
}

// Stop ends all duties and waits for them. Requests that wait are answered by
// their own contexts or by the stop.
func (w *Watcher) Stop() {
	w.stop()
	w.duties.Wait()
}

// View returns the newest view. Its primary is empty until a majority has
// accepted the primary's term.
func (w *Watcher) View() dfgroup.View {
	return *w.view.Load()
}

// SetRank changes the actor's rank after the set of slot holders changed.
func (w *Watcher) SetRank(rank int) {
	w.offer(rankChanged{rank: rank})
}

// SetLeaving takes the platform's mark on an upstream from its host list. It is
// repeated at each look at the list. The mark is passed on to the upstream, by
// which every slot holder learns of it and a leaving primary is replaced.
func (w *Watcher) SetLeaving(upstream dfgroup.UpstreamID, leaving bool) {
	w.offer(listed{upstream: upstream, leaving: leaving})
}

// Barrier returns a position at or beyond every write that was acknowledged
// before the call. An error is a *dfresult.Error with the outcome not run.
func (w *Watcher) Barrier(ctx context.Context) (dfposition.Position, error) {
	reply := make(chan barrierReply, 1)
	if !w.offer(barrierRequest{reply: reply}) {
		return dfposition.Position{}, dfresult.NewError(dfresult.QueueFull, "too many reads wait for a barrier")
	}
	bounded, cancel := context.WithTimeout(ctx, w.options.BarrierTimeout)
	defer cancel()
	select {
	case answer := <-reply:
		return answer.position, answer.err
	case <-bounded.Done():
	case <-w.done:
	}
	return dfposition.Position{}, dfresult.NewError(dfresult.NoPrimary, "the primary was not confirmed in time")
}

// AwaitAck returns nil once the position of a write is on a majority. An error
// is a *dfresult.Error with the outcome unknown.
func (w *Watcher) AwaitAck(ctx context.Context, position dfposition.Position) error {
	return w.await(ctx, ackRequest{position: position})
}

// AwaitConfirmed is AwaitAck for a request that may have changed nothing, such
// as an update of no row. It was sent to the primary of the term in the view
// that routed it, and must not be answered by a replaced primary.
func (w *Watcher) AwaitConfirmed(ctx context.Context, position dfposition.Position, term dfposition.Term) error {
	return w.await(ctx, ackRequest{position: position, term: max(term, 1)})
}

func (w *Watcher) await(ctx context.Context, request ackRequest) error {
	position := request.position
	request.id = w.nextID.Add(1)
	request.reply = make(chan error, 1)
	if !w.offer(request) {
		return dfresult.NewError(dfresult.NotMajority, "too many commits wait at position %s", position)
	}
	select {
	case err := <-request.reply:
		return err
	case <-ctx.Done():
		w.offer(ackForgotten{id: request.id})
	case <-w.done:
	}
	return dfresult.NewError(dfresult.NotMajority, "the wait for position %s was cut short", position)
}

// WritesHeld returns a channel that is closed when writes may go on, or nil if
// they may go on now.
func (w *Watcher) WritesHeld() <-chan struct{} {
	held := w.held.Load()
	if held == nil {
		return nil
	}
	return *held
}

// AwaitWrites returns when writes may go on. An error is a *dfresult.Error with
// the outcome not run.
func (w *Watcher) AwaitWrites(ctx context.Context) error {
	for held := w.WritesHeld(); held != nil; held = w.WritesHeld() {
		select {
		case <-held:
		case <-ctx.Done():
			return dfresult.NewError(dfresult.DeadlinePassed, "a planned change held the write")
		case <-w.done:
			return dfresult.NewError(dfresult.HostDraining, "the watcher stopped")
		}
	}
	return nil
}

// PlannedChange marks the primary as leaving and returns when another upstream
// is primary. The mark stays if the context ends first; the slot holders then go
// on trying.
func (w *Watcher) PlannedChange(ctx context.Context) error {
	reply := make(chan error, 1)
	if !w.offer(changeRequest{reply: reply}) {
		return dfresult.NewError(dfresult.QueueFull, "the watcher is overloaded")
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return dfresult.NewError(dfresult.DeadlinePassed, "the planned change is not complete yet")
	case <-w.done:
		return dfresult.NewError(dfresult.HostDraining, "the watcher stopped")
	}
}

// Traffic takes what the data path saw of an upstream. It never blocks; answers
// that follow one another closely are dropped.
func (w *Watcher) Traffic(upstream dfgroup.UpstreamID, event dfhealth.Event) {
	last := w.lastTraffic[upstream]
	if last == nil {
		return
	}
	if _, answered := event.(dfhealth.Answered); answered {
		now := int64(w.options.Now())
		seen := last.Load()
		if now-seen < TrafficPeriod || !last.CompareAndSwap(seen, now) {
			return
		}
	}
	w.offer(traffic{event: event})
}

// offer hands a message to the loop unless its inbox is full.
func (w *Watcher) offer(m message) bool {
	select {
	case w.inbox <- m:
		return true
	default:
		return false
	}
}

// loop is the state that only the watcher's goroutine touches.
type loop struct {
	watcher  *Watcher
	view     dfgroup.View
	health   *dfhealth.Tracker
	machine  *dffailover.Machine
	gate     *dfack.Gate
	acks     map[uint64]chan error
	barriers []barrier
	// listed has the upstreams that the platform's host list marks as leaving.
	listed  map[dfgroup.UpstreamID]bool
	changes []plannedChange
	// tickedAt is the last look at the bounds; lookAt is when the timer is set to
	// bring the next, or Never while it is not set.
	tickedAt, lookAt dfclock.Millis
}

// barrier is a read that waits since an instant.
type barrier struct {
	since dfclock.Millis
	due   dfclock.Millis
	reply chan barrierReply
}

// plannedChange waits until the primary is another one than at its start.
type plannedChange struct {
	term    dfposition.Term
	primary dfgroup.UpstreamID
	reply   chan error
}

func newLoop(w *Watcher) loop {
	ids := make([]dfgroup.UpstreamID, 0, len(w.options.Upstreams))
	members := make([]dffailover.Member, 0, len(w.options.Upstreams))
	for _, upstream := range w.options.Upstreams {
		ids = append(ids, upstream.ID)
		members = append(members, dffailover.Member{ID: upstream.ID, DataCentre: upstream.DataCentre})
	}
	return loop{
		watcher: w,
		view:    dfgroup.NewView(w.options.Group, w.options.Upstreams),
		health:  dfhealth.NewTracker(w.options.Health, w.options.Now(), ids),
		machine: dffailover.New(dffailover.Options{
			Actor: w.options.Actor, Rank: w.options.Rank, DataCentre: w.options.DataCentre,
			Members: members, Timings: w.options.Failover,
		}),
		gate: dfack.NewGate(w.options.Ack, ids),
		acks: map[uint64]chan error{},

		listed: map[dfgroup.UpstreamID]bool{},
		// The first look comes at once.
		lookAt: w.options.Now(),
	}
}
