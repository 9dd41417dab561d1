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

// Watcher runs failure detection, promotion and commit acknowledgement for one
// database group at one slot holder.
type Watcher struct {
	options    Options
	inbox      chan message
	workers    map[dfgroup.UpstreamID]*worker
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	done       <-chan struct{}

	view atomic.Pointer[dfgroup.View]
	// writeHold is closed when held writes may proceed. It is nil while writes are
	// not held.
	writeHold atomic.Pointer[chan struct{}]
	// lastTrafficAt has the time of the last reported answer of each upstream. It
	// limits the rate of reports.
	lastTrafficAt map[dfgroup.UpstreamID]*atomic.Int64
	lastRequestID atomic.Uint64

	loop loop
}

// NewWatcher starts a watcher. It must be ended with Stop.
func NewWatcher(options Options) (*Watcher, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		options:       options,
		inbox:         make(chan message, InboxSize),
		workers:       map[dfgroup.UpstreamID]*worker{},
		stop:          cancel,
		done:          ctx.Done(),
		lastTrafficAt: map[dfgroup.UpstreamID]*atomic.Int64{},
	}
	w.loop = newLoop(w)
	view := w.loop.view
	w.view.Store(&view)
	for _, upstream := range options.Upstreams {
		worker := newWorker(upstream.ID)
		w.workers[upstream.ID] = worker
		w.lastTrafficAt[upstream.ID] = &atomic.Int64{}
		w.goroutines.Go(func() { w.runControl(ctx, worker) })
		w.goroutines.Go(func() { w.runWaits(ctx, worker) })
	}
	w.goroutines.Go(func() { w.loop.run(ctx) })
	return w, nil
}

// Stop stops all goroutines and waits for them. Pending requests return an error.
func (w *Watcher) Stop() {
	w.stop()
	w.goroutines.Wait()
}

// View returns the newest view. Its primary is empty unless a majority has accepted
// the primary's term.
func (w *Watcher) View() dfgroup.View {
	return *w.view.Load()
}

// SetRank changes the actor's rank after the set of slot holders changed.
func (w *Watcher) SetRank(rank int) {
	w.trySend(rankChanged{rank: rank})
}

// SetLeaving sets whether the platform's host list marks an upstream as leaving. It
// may be called each time the list is read. A mark is also set at the upstream,
// whose reports pass it to every slot holder; a leaving primary is replaced.
func (w *Watcher) SetLeaving(upstream dfgroup.UpstreamID, leaving bool) {
	w.trySend(leavingMarked{upstream: upstream, leaving: leaving})
}

// Barrier returns a position at or beyond every write that was acknowledged
// before the call. An error is a *dfresult.Error with the outcome not run.
func (w *Watcher) Barrier(ctx context.Context) (dfposition.Position, error) {
	reply := make(chan barrierReply, 1)
	if !w.trySend(barrierRequest{reply: reply}) {
		return dfposition.Position{}, dfresult.NewError(dfresult.QueueFull, "too many reads wait for a barrier")
	}
	bounded, cancel := context.WithTimeout(ctx, w.options.BarrierTimeout)
	defer cancel()
	select {
	case result := <-reply:
		return result.position, result.err
	case <-bounded.Done():
	case <-w.done:
	}
	return dfposition.Position{}, dfresult.NewError(dfresult.NoPrimary, "the primary was not confirmed in time")
}

// AwaitAck returns nil once a majority has the position of a write. An error is a
// *dfresult.Error with the outcome unknown.
func (w *Watcher) AwaitAck(ctx context.Context, position dfposition.Position) error {
	return w.awaitMajority(ctx, ackRequest{position: position})
}

// AwaitConfirmed is AwaitAck for a request that may have changed nothing, such as
// an update that matched no row. term is that of the view that routed the request.
// The answer of a primary that has been replaced since is not confirmed.
func (w *Watcher) AwaitConfirmed(ctx context.Context, position dfposition.Position, term dfposition.Term) error {
	return w.awaitMajority(ctx, ackRequest{position: position, term: max(term, 1)})
}

func (w *Watcher) awaitMajority(ctx context.Context, request ackRequest) error {
	position := request.position
	request.id = w.lastRequestID.Add(1)
	request.reply = make(chan error, 1)
	if !w.trySend(request) {
		return dfresult.NewError(dfresult.NotMajority, "too many commits wait at position %s", position)
	}
	select {
	case err := <-request.reply:
		return err
	case <-ctx.Done():
		w.trySend(ackCanceled{id: request.id})
	case <-w.done:
	}
	return dfresult.NewError(dfresult.NotMajority, "the wait for position %s was cut short", position)
}

// WritesHeld returns a channel that is closed when held writes may proceed, or nil
// if writes are not held.
func (w *Watcher) WritesHeld() <-chan struct{} {
	hold := w.writeHold.Load()
	if hold == nil {
		return nil
	}
	return *hold
}

// AwaitWrites returns nil once writes are not held. An error is a *dfresult.Error
// with the outcome not run.
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

// Switchover marks the primary as leaving and returns nil once another upstream is
// primary. If the context ends first, the mark stays and the slot holders continue
// the switchover.
func (w *Watcher) Switchover(ctx context.Context) error {
	reply := make(chan error, 1)
	if !w.trySend(switchoverRequest{reply: reply}) {
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

// ReportTraffic passes an observation of the data path to failure detection. It
// never blocks. Answers within MinTrafficInterval of the last one passed on are
// dropped.
func (w *Watcher) ReportTraffic(upstream dfgroup.UpstreamID, event dfhealth.Event) {
	lastAt := w.lastTrafficAt[upstream]
	if lastAt == nil {
		return
	}
	if _, answered := event.(dfhealth.Answered); answered {
		now := int64(w.options.Now())
		previous := lastAt.Load()
		if now-previous < MinTrafficInterval || !lastAt.CompareAndSwap(previous, now) {
			return
		}
	}
	w.trySend(trafficReported{event: event})
}

// trySend sends a message to the loop. It returns false if the inbox is full.
func (w *Watcher) trySend(m message) bool {
	select {
	case w.inbox <- m:
		return true
	default:
		return false
	}
}

// loop is the state that is confined to the watcher's goroutine.
type loop struct {
	watcher     *Watcher
	view        dfgroup.View
	health      *dfhealth.Tracker
	failover    *dffailover.Machine
	gate        *dfack.Gate
	pendingAcks map[uint64]chan error
	barriers    []barrier
	// markedLeaving has the leaving marks of the platform's host list.
	markedLeaving map[dfgroup.UpstreamID]bool
	switchovers   []pendingSwitchover
	// lastTickAt is the time of the last tick. nextTickAt is the time to which the
	// timer is set, or Never while it is not set.
	lastTickAt, nextTickAt dfclock.Millis
}

// barrier is a read that waits for a position.
type barrier struct {
	requestedAt dfclock.Millis
	deadline    dfclock.Millis
	reply       chan barrierReply
}

// pendingSwitchover is a switchover that waits for a primary other than the one at
// its start.
type pendingSwitchover struct {
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
		failover: dffailover.New(dffailover.Options{
			Actor: w.options.Actor, Rank: w.options.Rank, DataCentre: w.options.DataCentre,
			Members: members, Timings: w.options.Failover,
		}),
		gate:        dfack.NewGate(w.options.Ack, ids),
		pendingAcks: map[uint64]chan error{},

		markedLeaving: map[dfgroup.UpstreamID]bool{},
		// The timer of run fires at once for the first tick.
		nextTickAt: w.options.Now(),
	}
}
