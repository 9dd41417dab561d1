// Package dfsession has what one slot holder knows about the positions of
// callers in one database group, and the position leases that make this
// knowledge complete.
//
// Only slot holders execute writes. A holder tells every peer that has a lease
// from it about a write before the write is acknowledged. So a holder with
// leases from all others, held without a gap since its floor was taken, knows a
// position that covers all acknowledged writes of each caller.
package dfsession

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

// Peer identifies another slot holder. A host that restarts or takes a slot
// again is another peer.
type Peer struct {
	Host        string
	Incarnation string
	Epoch       uint64
}

// Roster is what the slot rows of a group said.
type Roster struct {
	// ReadAt is when the request for the rows was sent.
	ReadAt dfclock.Millis
	// Peers are the holders of the other slots.
	Peers []Peer
	// Vacant is the number of slots without a holder.
	Vacant int
}

// Floor is a barrier position: the group's position, confirmed by a majority.
type Floor struct {
	// StartedAt is when the barrier was started; the position covers every
	// write that was acknowledged before.
	StartedAt dfclock.Millis
	Position  dfposition.Position
}

// Answer is what a holder knows about one caller.
type Answer struct {
	// Complete is true if a log that contains both positions has every
	// acknowledged write of the caller.
	Complete bool
	Position dfposition.Position
	// Floor is zero if Position alone decides.
	Floor dfposition.Position
	// Askable is true if the answers of all Missing peers make it complete.
	Askable bool
	// Missing are the peers whose writes may be unknown here.
	Missing []Peer
}

// peerState is what is known of one peer.
type peerState struct {
	peer Peer
	// current is false for a former holder, which is kept until its lease ends.
	current bool
	// leaseUntil ends the lease from the peer, counted from before the request.
	leaseUntil dfclock.Millis
	// leaseSince begins the unbroken run of leases from the peer; it is
	// meaningful while leaseUntil lies ahead.
	leaseSince dfclock.Millis
	// grantUntil ends the lease granted to the peer, with the margin.
	grantUntil dfclock.Millis
	// introduced is true once the peer granted a lease: it does so only to
	// holders in its own roster. A request from the peer would not prove that.
	introduced bool
}

// Knowledge is the state of one slot holder for one group. It is not safe for
// concurrent use.
type Knowledge struct {
	// claimedAt is when this host took its slot; floors from before do not count.
	claimedAt dfclock.Millis
	// quietUntil is when peers without introduction have noticed the new holder.
	quietUntil dfclock.Millis
	roster     Roster
	peers      []peerState
	memory     memory
	floor      Floor
	hasFloor   bool
	// gapAt is when a peer was removed whose writes may be unknown here; only a
	// later floor covers them.
	gapAt dfclock.Millis
	// heldUntil ends the time in which no other host can take the slot. Without
	// it nothing is granted, told or complete; writes go on.
	heldUntil dfclock.Millis
	// released is true once the slot is being given up.
	released bool
	// muted is true if that happened before peers counted this host as holder.
	muted  bool
	writes writes
	// now is the latest instant seen; it never falls.
	now dfclock.Millis
}

// New returns the state of a host that took its slot at an instant, which lies
// after the end of the connections of the slot's earlier holder. fromVacant is
// true if the slot had no holder before. maxCallers and maxWrites bound the
// memory; zero chooses the defaults. A process that held a slot of the group
// before uses Reclaimed.
func New(claimedAt dfclock.Millis, fromVacant bool, maxCallers, maxWrites int) *Knowledge {
	if maxCallers <= 0 {
		maxCallers = DefaultMaxCallers
	}
	if maxWrites <= 0 {
		maxWrites = DefaultMaxWrites
	}
	quiet := LeaseSpan + ClockMargin
	if fromVacant {
		quiet = RosterSpan + ClockMargin
	}
	return &Knowledge{
		claimedAt:  claimedAt,
		quietUntil: claimedAt.Add(quiet),
		memory:     newMemory(maxCallers),
		writes:     newWrites(maxWrites),
		now:        claimedAt,
	}
}

// Reclaimed returns the state of the same process after it took a slot again.
// Peers may still have leases from the earlier time, so these are kept.
func (k *Knowledge) Reclaimed(claimedAt dfclock.Millis, fromVacant bool) *Knowledge {
	next := New(claimedAt, fromVacant, k.memory.limit, k.writes.limit)
	next.now = max(next.now, k.now)
	for _, state := range k.peers {
		next.peers = append(next.peers, peerState{peer: state.peer, grantUntil: state.grantUntil})
	}
	return next
}

// SetHeld tells that this host's lease as a host, confirmed together with the
// slot row, lasts until an instant counted from before the request. Afterwards
// another host may have taken the slot and acknowledge writes unknown here.
func (k *Knowledge) SetHeld(now, until dfclock.Millis) {
	k.observe(now)
	k.heldUntil = max(k.heldUntil, until)
}

// Release begins to give the slot up; the slot row is changed only afterwards.
// From then on no lease is granted and no write recorded, because peers that no
// longer count this host as a holder would not miss the notification.
func (k *Knowledge) Release(now dfclock.Millis) {
	k.observe(now)
	k.released = true
	k.muted = k.muted || k.now < k.introductionDue()
}

// SetRoster takes newer slot rows. Leases granted to a former holder stay in
// force until they end, because it may still serve reads under them.
func (k *Knowledge) SetRoster(now dfclock.Millis, roster Roster) {
	k.observe(now)
	if roster.ReadAt < k.roster.ReadAt {
		return
	}
	k.roster = roster
	next := make([]peerState, 0, len(roster.Peers))
	for _, peer := range roster.Peers {
		state := peerState{peer: peer}
		if known := k.find(peer); known != nil {
			state = *known
		}
		state.current = true
		next = append(next, state)
	}
	for _, state := range k.peers {
		if slices.Contains(roster.Peers, state.peer) {
			continue
		}
		if state.current && !k.covered(&state) {
			k.gapAt = k.now
		}
		if k.now < state.grantUntil {
			state.current = false
			next = append(next, state)
		}
	}
	k.peers = next
	k.writes.keep(k.now, k.peers)
}

// Leased records a lease from a peer: the request was sent at sentAt and the
// answer arrived now.
func (k *Knowledge) Leased(now dfclock.Millis, peer Peer, sentAt, span dfclock.Millis) {
	k.observe(now)
	state := k.find(peer)
	if state == nil || !state.current {
		return
	}
	state.introduced = true
	until := sentAt.Add(min(span, LeaseSpan))
	if until <= k.now || until <= state.leaseUntil {
		return
	}
	// The grantor may have let the lease lapse unless it was still valid here
	// when the answer arrived.
	if k.now >= state.leaseUntil {
		state.leaseSince = k.now
	}
	state.leaseUntil = until
}

// Grant answers a peer's request for a lease and reports whether it is granted.
func (k *Knowledge) Grant(now dfclock.Millis, peer Peer) bool {
	k.observe(now)
	state := k.find(peer)
	if !k.held() || state == nil || !state.current {
		return false
	}
	if k.writes.overdue(k.now, peer) {
		return false
	}
	state.grantUntil = k.now.Add(LeaseSpan + ClockMargin)
	return true
}

// Notified records a position that a peer is about to acknowledge.
func (k *Knowledge) Notified(now dfclock.Millis, caller Caller, position dfposition.Position) {
	k.observe(now)
	k.memory.raise(caller, position)
}

// SetFloor takes a barrier position. It is ignored while the present floor
// covers every lease, because a higher floor would ask more of replicas.
func (k *Knowledge) SetFloor(now dfclock.Millis, floor Floor) {
	if !k.NeedsFloor(now) {
		return
	}
	// Equal instants are refused here and in covered, because events within
	// one millisecond have no order.
	if floor.StartedAt <= k.claimedAt || floor.StartedAt > k.now {
		return
	}
	if k.hasFloor && floor.StartedAt <= k.floor.StartedAt {
		return
	}
	floor.Position = floor.Position.Max(k.floor.Position)
	k.floor = floor
	k.hasFloor = true
}

// NeedsFloor reports whether a barrier started now would make more knowledge
// complete.
func (k *Knowledge) NeedsFloor(now dfclock.Millis) bool {
	k.observe(now)
	if !k.floorHolds() {
		return true
	}
	for i := range k.peers {
		state := &k.peers[i]
		if state.current && k.leased(state) && state.leaseSince >= k.floor.StartedAt {
			return true
		}
	}
	return false
}

// Complete reports whether every acknowledged write of other holders is known.
func (k *Knowledge) Complete(now dfclock.Millis) bool {
	k.observe(now)
	if !k.floorHolds() || !k.rosterHolds() {
		return false
	}
	for i := range k.peers {
		if k.peers[i].current && !k.covered(&k.peers[i]) {
			return false
		}
	}
	return true
}

// Ask tells what is known about a caller. The instant must not lie before the
// arrival of the read that the answer is for.
func (k *Knowledge) Ask(now dfclock.Millis, caller Caller) Answer {
	complete := k.Complete(now)
	answer := Answer{Position: k.memory.find(caller), Floor: k.floor.Position, Complete: complete}
	if complete {
		holds(k.allLeased(), "complete knowledge needs a lease from every peer")
		return answer
	}
	answer.Askable = k.floorHolds() && k.rosterHolds()
	for i := range k.peers {
		if k.peers[i].current && !k.covered(&k.peers[i]) {
			answer.Missing = append(answer.Missing, k.peers[i].peer)
		}
	}
	return answer
}

// Tell answers a peer that asks for a caller's position. It covers every write
// that this holder and earlier holders of its slot acknowledged. known is false
// before the first floor and while the slot may belong to another host.
func (k *Knowledge) Tell(now dfclock.Millis, caller Caller) (position dfposition.Position, known bool) {
	k.observe(now)
	if !k.hasFloor || !k.held() {
		return dfposition.Position{}, false
	}
	return k.memory.find(caller).Max(k.floor.Position), true
}

// observe moves the instant forward; a clock that is read out of order does not
// bring a lapsed lease back.
func (k *Knowledge) observe(now dfclock.Millis) {
	if now > k.now {
		k.now = now
	}
}

// held reports whether the slot is this host's for certain.
func (k *Knowledge) held() bool {
	return !k.released && k.now < k.heldUntil
}

// floorHolds reports whether the floor covers the writes of all former holders.
func (k *Knowledge) floorHolds() bool {
	return k.hasFloor && k.floor.StartedAt > k.gapAt
}

// rosterHolds reports whether no unknown host can have acknowledged a write.
func (k *Knowledge) rosterHolds() bool {
	return k.held() && k.roster.ReadAt > 0 && (k.roster.Vacant == 0 || k.now < k.roster.ReadAt.Add(RosterSpan))
}

func (k *Knowledge) leased(state *peerState) bool {
	return k.now < state.leaseUntil
}

func (k *Knowledge) covered(state *peerState) bool {
	return k.leased(state) && state.leaseSince < k.floor.StartedAt
}

func (k *Knowledge) allLeased() bool {
	for _, peer := range k.roster.Peers {
		state := k.find(peer)
		if state == nil || !k.leased(state) {
			return false
		}
	}
	return true
}

func (k *Knowledge) find(peer Peer) *peerState {
	for i := range k.peers {
		if k.peers[i].peer == peer {
			return &k.peers[i]
		}
	}
	return nil
}
