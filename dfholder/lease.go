package dfholder

import (
	"context"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfsession"
)

// confirmLeadership starts a barrier and returns the channel of its outcome.
func (h *Holder) confirmLeadership() <-chan error {
	outcome := make(chan error, 1)
	go func() {
		_, err := h.watcher.Barrier(context.Background())
		outcome <- err
	}()
	return outcome
}

// keepFloor takes floors until the knowledge of this holder is complete, and
// again whenever it needs one.
func (h *Holder) keepFloor(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(floorPeriod) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if h.knowledge.needsFloor() {
			h.takeFloor(ctx)
		}
	}
}

func (h *Holder) takeFloor(ctx context.Context) {
	startedAt := h.now()
	position, err := h.watcher.Barrier(ctx)
	if err != nil {
		return
	}
	h.knowledge.setFloor(dfsession.Watermark{StartedAt: startedAt, Position: position})
}

// SetHeld tells how long the slot is known to be held.
func (h *Holder) SetHeld(until dfclock.Millis) {
	h.knowledge.setHeld(until)
}

// Grant answers a peer's request for a position lease.
func (h *Holder) Grant(peer dfsession.Peer) bool {
	return h.knowledge.grant(peer)
}

// Leased records a position lease from a peer.
func (h *Holder) Leased(peer dfsession.Peer, sentAt, span dfclock.Millis) {
	h.knowledge.leased(peer, sentAt, span)
}

// Notified records a position that a peer is about to acknowledge.
func (h *Holder) Notified(position *dfproto.CallerPosition) {
	h.knowledge.notified(dfsession.Caller(position.Caller), dfproto.DecodePosition(position.Position))
}

// Tell answers a peer that asks for a caller's position.
func (h *Holder) Tell(caller uint64) (dfposition.Position, bool) {
	return h.knowledge.tell(dfsession.Caller(caller))
}

// SetRoster takes the holders of the other slots.
func (h *Holder) SetRoster(roster dfsession.Membership) {
	h.knowledge.setRoster(roster)
}
