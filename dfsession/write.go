package dfsession

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

// WriteID numbers a write that waits for answers of peers. Zero is no write.
type WriteID uint64

// pendingWrite is a write that has not been acknowledged yet.
type pendingWrite struct {
	id         WriteID
	recordedAt dfclock.Millis
	// unanswered has the peers that had a lease when the write was recorded and
	// have not answered its notification.
	unanswered []Peer
}

// writeQueue holds the writes that wait for answers, in ascending order of ID.
type writeQueue struct {
	limit   int
	lastID  WriteID
	pending []pendingWrite
}

func newWriteQueue(limit int) writeQueue {
	return writeQueue{limit: limit}
}

// RecordWrite records the position of a write of this holder after it committed
// at the primary and before it is acknowledged. It returns the peers to notify,
// if any. ok is false if too many writes are pending or the slot has been
// released; the outcome of the write must then be reported as unknown.
func (t *Tracker) RecordWrite(now dfclock.Millis, caller Caller, position dfposition.Position) (id WriteID, notify []Peer, ok bool) {
	t.observe(now)
	t.positions.advance(caller, position)
	if t.released || len(t.writes.pending) >= t.writes.limit {
		return 0, nil, false
	}
	for i := range t.peers {
		if t.now < t.peers[i].grantUntil {
			notify = append(notify, t.peers[i].peer)
		}
	}
	t.writes.lastID++
	unanswered := append([]Peer(nil), notify...)
	t.writes.pending = append(t.writes.pending, pendingWrite{id: t.writes.lastID, recordedAt: t.now, unanswered: unanswered})
	return t.writes.lastID, notify, true
}

// RecordAnswer records that a peer has processed the notification of a write.
func (t *Tracker) RecordAnswer(now dfclock.Millis, id WriteID, peer Peer) {
	t.observe(now)
	i := t.writes.find(id)
	if i < 0 {
		return
	}
	write := &t.writes.pending[i]
	write.unanswered = slices.DeleteFunc(write.unanswered, func(other Peer) bool { return other == peer })
}

// MayAcknowledge reports whether a write may be acknowledged with regard to the
// peers. If not, it returns the latest instant at which the write may be
// acknowledged, provided that no further lease is granted until then.
func (t *Tracker) MayAcknowledge(now dfclock.Millis, id WriteID) (bool, dfclock.Millis) {
	t.observe(now)
	i := t.writes.find(id)
	if i < 0 || t.releasedBeforeVisible {
		return false, dfclock.Never
	}
	due := t.visibleDue()
	for _, peer := range t.writes.pending[i].unanswered {
		if state := t.find(peer); state != nil {
			due = max(due, state.grantUntil)
		}
	}
	return t.now >= due, due
}

// Acknowledge removes a write that is about to be acknowledged. It returns false
// if a peer with a lease has not answered; the acknowledgement must then not be
// sent.
func (t *Tracker) Acknowledge(now dfclock.Millis, id WriteID) bool {
	may, _ := t.MayAcknowledge(now, id)
	if !holds(may, "a write is acknowledged only when every peer with a lease knows it") {
		return false
	}
	t.Abandon(id)
	return true
}

// Abandon removes a write whose outcome is reported as unknown.
func (t *Tracker) Abandon(id WriteID) {
	i := t.writes.find(id)
	if i >= 0 {
		t.writes.pending = append(t.writes.pending[:i], t.writes.pending[i+1:]...)
	}
}

// visibleDue returns the instant from which every peer counts this host as a
// holder, or zero if every peer is known to do so already.
func (t *Tracker) visibleDue() dfclock.Millis {
	if t.membership.RequestedAt == 0 {
		return t.visibleAt
	}
	for i := range t.peers {
		if t.peers[i].current && !t.peers[i].confirmedVisible {
			return t.visibleAt
		}
	}
	return 0
}

func (q *writeQueue) find(id WriteID) int {
	low, high := 0, len(q.pending)
	for low < high {
		middle := (low + high) / 2
		if q.pending[middle].id < id {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(q.pending) && q.pending[low].id == id {
		return low
	}
	return -1
}

// overdue reports whether the peer has left a notification unanswered for
// NotificationTimeout.
func (q *writeQueue) overdue(now dfclock.Millis, peer Peer) bool {
	for i := range q.pending {
		if now < q.pending[i].recordedAt.Add(NotificationTimeout) {
			return false
		}
		if slices.Contains(q.pending[i].unanswered, peer) {
			return true
		}
	}
	return false
}

// prune stops waiting for peers that are unknown or whose leases have expired.
func (q *writeQueue) prune(now dfclock.Millis, peers []peerState) {
	for i := range q.pending {
		kept := q.pending[i].unanswered[:0]
		for _, peer := range q.pending[i].unanswered {
			for _, state := range peers {
				if state.peer == peer && now < state.grantUntil {
					kept = append(kept, peer)
				}
			}
		}
		q.pending[i].unanswered = kept
	}
}
