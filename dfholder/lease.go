package dfholder

import (
	"context"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfsession"
)

// confirmLeadership starts a barrier and returns the channel that receives its
// result.
func (h *Holder) confirmLeadership() <-chan error {
	outcome := make(chan error, 1)
	go func() {
		_, err := h.watcher.Barrier(context.Background())
		outcome <- err
	}()
	return outcome
}

// maintainFloor takes a barrier position as the new floor whenever the positions
// known to this holder are incomplete without one.
func (h *Holder) maintainFloor(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(floorRetryInterval) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if h.positions.needsFloor() {
			h.updateFloor(ctx)
		}
	}
}

func (h *Holder) updateFloor(ctx context.Context) {
	startedAt := h.now()
	position, err := h.watcher.Barrier(ctx)
	if err != nil {
		return
	}
	h.positions.setFloor(dfsession.Watermark{StartedAt: startedAt, Position: position})
}

// SetHeldUntil sets the time until which this host certainly holds the slot.
func (h *Holder) SetHeldUntil(until dfclock.Millis) {
	h.positions.setHeldUntil(until)
}

// GrantLease handles a peer's request for a position lease and reports whether it
// is granted.
func (h *Holder) GrantLease(peer dfsession.Peer) bool {
	return h.positions.grantLease(peer)
}

// RecordLease records a position lease of the given duration that a peer granted.
// sentAt is when the request for it was sent.
func (h *Holder) RecordLease(peer dfsession.Peer, sentAt, duration dfclock.Millis) {
	h.positions.recordLease(peer, sentAt, duration)
}

// RecordNotification records a caller's position that a peer is about to
// acknowledge.
func (h *Holder) RecordNotification(position *dfproto.CallerPosition) {
	h.positions.recordNotification(dfsession.Caller(position.Caller), dfproto.DecodePosition(position.Position))
}

// CallerPosition returns the position of a caller for a peer's request, and false
// if the slot has no floor yet or may belong to another host.
func (h *Holder) CallerPosition(caller uint64) (dfposition.Position, bool) {
	return h.positions.callerPosition(dfsession.Caller(caller))
}

// SetRoster sets the holders of the other slots.
func (h *Holder) SetRoster(roster dfsession.Membership) {
	h.positions.setRoster(roster)
}
