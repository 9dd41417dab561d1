package dfholder

import (
	"context"
	"sync"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
)

// knowledge guards the positions of callers and wakes the writes that wait for
// the answers of peers.
type knowledge struct {
	mu    sync.Mutex
	state *dfsession.Tracker
	now   func() dfclock.Millis
	// waiting has a channel for each write that waits; it has room for one wake.
	waiting map[dfsession.WriteID]chan struct{}
}

func newKnowledge(state *dfsession.Tracker, now func() dfclock.Millis) *knowledge {
	return &knowledge{state: state, now: now, waiting: make(map[dfsession.WriteID]chan struct{})}
}

func (k *knowledge) ask(caller dfsession.Caller) dfsession.LookupResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Lookup(k.now(), caller)
}

func (k *knowledge) notified(caller dfsession.Caller, position dfposition.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.RecordNotification(k.now(), caller, position)
}

func (k *knowledge) tell(caller dfsession.Caller) (dfposition.Position, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.AnswerPeer(k.now(), caller)
}

func (k *knowledge) setHeld(until dfclock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.SetHeldUntil(k.now(), until)
}

func (k *knowledge) grant(peer dfsession.Peer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.GrantLease(k.now(), peer)
}

func (k *knowledge) leased(peer dfsession.Peer, sentAt, span dfclock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.RecordLease(k.now(), peer, sentAt, span)
}

func (k *knowledge) setRoster(roster dfsession.Membership) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.SetMembership(k.now(), roster)
}

func (k *knowledge) needsFloor() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.NeedsWatermark(k.now())
}

func (k *knowledge) setFloor(floor dfsession.Watermark) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.SetWatermark(k.now(), floor)
}

func (k *knowledge) complete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Complete(k.now())
}

// record takes the position of an own write and returns the peers to notify.
func (k *knowledge) record(caller dfsession.Caller, position dfposition.Position) (dfsession.WriteID, []dfsession.Peer, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, peers, ok := k.state.RecordWrite(k.now(), caller, position)
	if ok {
		k.waiting[id] = make(chan struct{}, 1)
	}
	return id, peers, ok
}

func (k *knowledge) answered(id dfsession.WriteID, peer dfsession.Peer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.RecordAnswer(k.now(), id, peer)
	if wake, found := k.waiting[id]; found {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// await returns once the write may be acknowledged with respect to the peers.
func (k *knowledge) await(ctx context.Context, id dfsession.WriteID) error {
	for {
		wake, again, done := k.tryAcknowledge(id)
		if done {
			return nil
		}
		waitCtx, cancel := contextUntil(ctx, again.Since(k.now()))
		select {
		case <-wake:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			k.abandon(id)
			return dfresult.NewError(dfresult.CommitUnknown, "another slot holder did not take the position in time")
		}
	}
}

func (k *knowledge) tryAcknowledge(id dfsession.WriteID) (wake <-chan struct{}, again dfclock.Millis, done bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	ready, again := k.state.MayAcknowledge(now, id)
	if ready && k.state.Acknowledge(now, id) {
		delete(k.waiting, id)
		return nil, 0, true
	}
	return k.waiting[id], max(again, now.Add(dfclock.Millisecond)), false
}

func (k *knowledge) abandon(id dfsession.WriteID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Abandon(id)
	delete(k.waiting, id)
}

func encodeCallerPosition(group string, caller dfsession.Caller, position dfposition.Position) *dfproto.CallerPosition {
	return &dfproto.CallerPosition{
		Group:    group,
		Caller:   uint64(caller),
		Position: dfproto.EncodePosition(position),
	}
}
