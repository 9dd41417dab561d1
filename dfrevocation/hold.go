package dfrevocation

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
)

// Hold keeps hosts from sending writes to a leader that is about to be replaced, on a
// platform that fences. Hosts tell each other of it, so that a lease is renewed only
// with the knowledge of the holds that a majority has accepted. The zero value holds
// nothing.
type Hold struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Epoch is that of the newest change, and Leader the leader that it replaces.
	Epoch  uint64
	Leader dffleet.ID
	// ReleasedEpoch is the newest epoch whose hold has ended; it never decreases.
	ReleasedEpoch uint64
}

// Holds reports whether no writes may be sent to a leader.
func (h Hold) Holds(leader dffleet.ID) bool {
	return h.Epoch > h.ReleasedEpoch && h.Leader == leader
}

// With returns what is known after another host told of its hold of the same service.
func (h Hold) With(other Hold) Hold {
	h.Service = other.Service
	if other.Epoch > h.Epoch {
		h.Epoch, h.Leader = other.Epoch, other.Leader
	}
	h.ReleasedEpoch = max(h.ReleasedEpoch, other.ReleasedEpoch)
	return h
}

// WithRelease returns the hold after those of epochs up to the given one ended.
func (h Hold) WithRelease(epoch uint64) Hold {
	h.ReleasedEpoch = max(h.ReleasedEpoch, epoch)
	return h
}

// HoldNotice asks a host to send no more writes to a leader.
type HoldNotice struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Holder is the host that replaces the leader, under an epoch.
	Holder string
	Epoch  uint64
	Leader dffleet.ID
	// ExpectedIn is the time in which the next leader is expected.
	ExpectedIn dfclock.Millis
	// Released is true if no promotion of the epoch can take effect.
	Released bool
}

// HoldReply answers a HoldNotice.
type HoldReply struct {
	_ struct{} `cbor:",toarray"`
	// Accepted is true if the host sends the leader no more writes, and tells callers of
	// no commit of a write that was sent before.
	Accepted bool
	// EarlierEpoch is the epoch of an earlier change against the same leader that is
	// still held, or zero. Its promotion may take effect.
	EarlierEpoch uint64
}

// WithNotice returns the hold after a notice, and the reply. A notice is refused if a
// newer change is under way.
func (h Hold) WithNotice(notice HoldNotice) (Hold, HoldReply) {
	h.Service = notice.Service
	if notice.Released {
		return h.WithRelease(notice.Epoch), HoldReply{Accepted: true}
	}
	if notice.Epoch < h.Epoch || notice.Epoch <= h.ReleasedEpoch {
		return h, HoldReply{}
	}
	reply := HoldReply{Accepted: true}
	if h.Holds(notice.Leader) && h.Epoch < notice.Epoch {
		reply.EarlierEpoch = h.Epoch
	}
	return h.With(Hold{Service: notice.Service, Epoch: notice.Epoch, Leader: notice.Leader}), reply
}
