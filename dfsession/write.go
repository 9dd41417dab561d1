package dfsession

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

// WriteID numbers a write that waits for answers of peers; zero is none.
type WriteID uint64

// write is one write that is not acknowledged yet.
type write struct {
	id         WriteID
	recordedAt dfclock.Millis
	// waiting are the peers that had a lease when the write was recorded and
	// have not answered.
	waiting []Peer
}

// writes are the writes that wait for answers, in the order of their numbers.
type writes struct {
	limit   int
	last    WriteID
	pending []write
}

func newWrites(limit int) writes {
	return writes{limit: limit}
}

// Record takes the position of an own write after it committed at the primary
// and before it is acknowledged. It returns the peers to notify, which may be
// none. ok is false if too many writes wait or the slot is released; the write
// must then be answered "unknown".
func (k *Knowledge) Record(now dfclock.Millis, caller Caller, position dfposition.Position) (id WriteID, notify []Peer, ok bool) {
	k.observe(now)
	k.memory.raise(caller, position)
	if k.released || len(k.writes.pending) >= k.writes.limit {
		return 0, nil, false
	}
	for i := range k.peers {
		if k.now < k.peers[i].grantUntil {
			notify = append(notify, k.peers[i].peer)
		}
	}
	k.writes.last++
	waiting := append([]Peer(nil), notify...)
	k.writes.pending = append(k.writes.pending, write{id: k.writes.last, recordedAt: k.now, waiting: waiting})
	return k.writes.last, notify, true
}

// Answered records that a peer has taken the notification of a write.
func (k *Knowledge) Answered(now dfclock.Millis, id WriteID, peer Peer) {
	k.observe(now)
	at := k.writes.find(id)
	if at < 0 {
		return
	}
	pending := &k.writes.pending[at]
	pending.waiting = slices.DeleteFunc(pending.waiting, func(other Peer) bool { return other == peer })
}

// MayAcknowledge reports whether the peers' knowledge permits the
// acknowledgement of a write, and otherwise the instant at which it will at the
// latest, provided that no lease is granted in between.
func (k *Knowledge) MayAcknowledge(now dfclock.Millis, id WriteID) (bool, dfclock.Millis) {
	k.observe(now)
	at := k.writes.find(id)
	if at < 0 || k.muted {
		return false, dfclock.Never
	}
	due := k.introductionDue()
	for _, peer := range k.writes.pending[at].waiting {
		if state := k.find(peer); state != nil {
			due = max(due, state.grantUntil)
		}
	}
	return k.now >= due, due
}

// Acknowledge ends a write that is about to be acknowledged. It returns false
// if a peer with a lease has not answered; the acknowledgement must then not be
// sent.
func (k *Knowledge) Acknowledge(now dfclock.Millis, id WriteID) bool {
	may, _ := k.MayAcknowledge(now, id)
	if !holds(may, "a write is acknowledged only when every peer with a lease knows it") {
		return false
	}
	k.Abandon(id)
	return true
}

// Abandon ends a write whose outcome is reported as unknown.
func (k *Knowledge) Abandon(id WriteID) {
	at := k.writes.find(id)
	if at >= 0 {
		k.writes.pending = append(k.writes.pending[:at], k.writes.pending[at+1:]...)
	}
}

// introductionDue returns when every peer counts this host as a holder.
func (k *Knowledge) introductionDue() dfclock.Millis {
	if k.roster.ReadAt == 0 {
		return k.quietUntil
	}
	for i := range k.peers {
		if k.peers[i].current && !k.peers[i].introduced {
			return k.quietUntil
		}
	}
	return 0
}

func (w *writes) find(id WriteID) int {
	low, high := 0, len(w.pending)
	for low < high {
		middle := (low + high) / 2
		if w.pending[middle].id < id {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(w.pending) && w.pending[low].id == id {
		return low
	}
	return -1
}

// overdue reports whether the peer leaves a notification unanswered for too long.
func (w *writes) overdue(now dfclock.Millis, peer Peer) bool {
	for i := range w.pending {
		if now < w.pending[i].recordedAt.Add(AnswerPatience) {
			return false
		}
		if slices.Contains(w.pending[i].waiting, peer) {
			return true
		}
	}
	return false
}

// keep removes peers that are gone and whose leases ended.
func (w *writes) keep(now dfclock.Millis, peers []peerState) {
	for i := range w.pending {
		kept := w.pending[i].waiting[:0]
		for _, peer := range w.pending[i].waiting {
			for _, state := range peers {
				if state.peer == peer && now < state.grantUntil {
					kept = append(kept, peer)
				}
			}
		}
		w.pending[i].waiting = kept
	}
}
