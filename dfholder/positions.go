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

// positionTracker makes the positions of callers safe for concurrent use and wakes
// the writes that wait for acknowledgements from peers.
type positionTracker struct {
	mu    sync.Mutex
	state *dfsession.Tracker
	now   func() dfclock.Millis
	// wakeups has a channel with a buffer of one for each waiting write.
	wakeups map[dfsession.WriteID]chan struct{}
}

func newPositionTracker(state *dfsession.Tracker, now func() dfclock.Millis) *positionTracker {
	return &positionTracker{state: state, now: now, wakeups: make(map[dfsession.WriteID]chan struct{})}
}

func (t *positionTracker) lookup(caller dfsession.Caller) dfsession.LookupResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Lookup(t.now(), caller)
}

func (t *positionTracker) recordNotification(caller dfsession.Caller, position dfposition.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordNotification(t.now(), caller, position)
}

func (t *positionTracker) callerPosition(caller dfsession.Caller) (dfposition.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.AnswerPeer(t.now(), caller)
}

func (t *positionTracker) setHeldUntil(until dfclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetHeldUntil(t.now(), until)
}

func (t *positionTracker) grantLease(peer dfsession.Peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.GrantLease(t.now(), peer)
}

func (t *positionTracker) recordLease(peer dfsession.Peer, sentAt, duration dfclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordLease(t.now(), peer, sentAt, duration)
}

func (t *positionTracker) setRoster(roster dfsession.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetMembership(t.now(), roster)
}

func (t *positionTracker) needsFloor() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.NeedsWatermark(t.now())
}

func (t *positionTracker) setFloor(floor dfsession.Watermark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetWatermark(t.now(), floor)
}

func (t *positionTracker) complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Complete(t.now())
}

// recordWrite records the position of a write of this holder and returns the peers
// to notify. It returns false if too many writes wait or the slot is being released.
func (t *positionTracker) recordWrite(caller dfsession.Caller, position dfposition.Position) (dfsession.WriteID, []dfsession.Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, peers, ok := t.state.RecordWrite(t.now(), caller, position)
	if ok {
		t.wakeups[id] = make(chan struct{}, 1)
	}
	return id, peers, ok
}

func (t *positionTracker) recordPeerReply(id dfsession.WriteID, peer dfsession.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.RecordAnswer(t.now(), id, peer)
	if wake, found := t.wakeups[id]; found {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// awaitPeers waits until the write may be acknowledged: every peer with a position
// lease has acknowledged the notification or its lease has expired, and every peer
// counts this host as a holder.
func (t *positionTracker) awaitPeers(ctx context.Context, id dfsession.WriteID) error {
	for {
		wake, retryAt, done := t.tryAcknowledge(id)
		if done {
			return nil
		}
		waitCtx, cancel := contextWithTimeout(ctx, retryAt.Since(t.now()))
		select {
		case <-wake:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			t.abandon(id)
			return dfresult.NewError(dfresult.CommitUnknown, "another slot holder did not take the position in time")
		}
	}
}

func (t *positionTracker) tryAcknowledge(id dfsession.WriteID) (wake <-chan struct{}, retryAt dfclock.Millis, done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	ready, retryAt := t.state.MayAcknowledge(now, id)
	if ready && t.state.Acknowledge(now, id) {
		delete(t.wakeups, id)
		return nil, 0, true
	}
	return t.wakeups[id], max(retryAt, now.Add(dfclock.Millisecond)), false
}

func (t *positionTracker) abandon(id dfsession.WriteID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Abandon(id)
	delete(t.wakeups, id)
}

func encodeCallerPosition(group string, caller dfsession.Caller, position dfposition.Position) *dfproto.CallerPosition {
	return &dfproto.CallerPosition{
		Group:    group,
		Caller:   uint64(caller),
		Position: dfproto.EncodePosition(position),
	}
}
