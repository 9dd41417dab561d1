// Package dfsession tracks the positions of callers in one database group as one
// slot holder knows them, and the position leases that make this knowledge
// complete.
//
// Only slot holders execute writes. Before a holder acknowledges a write, it
// notifies every peer to which it has granted a lease. A holder that has had
// leases from all other holders without a gap since it took its watermark
// therefore knows a position that covers all acknowledged writes of each caller.
package dfsession

import (
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

// Peer identifies another slot holder. A host that restarts or claims a slot
// again is a different peer.
type Peer struct {
	Host        string
	Incarnation string
	Epoch       uint64
}

// Membership is the set of slot holders of a group as read from its slot rows.
type Membership struct {
	// RequestedAt is when the request for the rows was sent.
	RequestedAt dfclock.Millis
	// Peers are the holders of the other slots.
	Peers []Peer
	// Vacant is the number of slots without a holder.
	Vacant int
}

// Watermark is a barrier position: the position of the group, confirmed by a
// majority.
type Watermark struct {
	// StartedAt is when the barrier was started. The position covers every write
	// that was acknowledged before.
	StartedAt dfclock.Millis
	Position  dfposition.Position
}

// LookupResult is what a holder knows about the writes of one caller.
type LookupResult struct {
	// Complete is true if a log that contains both positions has every
	// acknowledged write of the caller.
	Complete bool
	Position dfposition.Position
	// Watermark is zero if Position alone is sufficient.
	Watermark dfposition.Position
	// PeersSuffice is true if the answers of all Missing peers make the result
	// complete.
	PeersSuffice bool
	// Missing are the peers whose writes may be unknown to this holder.
	Missing []Peer
}

// peerState holds the leases between this holder and one peer.
type peerState struct {
	peer Peer
	// current is false for a former holder, which is kept until its lease expires.
	current bool
	// leaseUntil is the end of the lease from the peer, counted from before the
	// request was sent.
	leaseUntil dfclock.Millis
	// leaseSince is the start of the uninterrupted sequence of leases from the peer.
	// It is meaningful while leaseUntil lies in the future.
	leaseSince dfclock.Millis
	// grantUntil is the end of the lease granted to the peer, including ClockMargin.
	grantUntil dfclock.Millis
	// confirmedVisible is true once the peer has granted a lease, which it does only
	// to holders in its own membership. A request from the peer would not prove that.
	confirmedVisible bool
}

// Tracker is the state of one slot holder for one group. It is not safe for
// concurrent use.
type Tracker struct {
	// claimedAt is when this host claimed its slot. Watermarks from before are
	// ignored.
	claimedAt dfclock.Millis
	// visibleAt is when, at the latest, all peers count this host as a holder, even
	// those that have not granted it a lease.
	visibleAt    dfclock.Millis
	membership   Membership
	peers        []peerState
	positions    positionCache
	watermark    Watermark
	hasWatermark bool
	// gapAt is when a peer was removed whose writes may be unknown here. Only a
	// later watermark covers them.
	gapAt dfclock.Millis
	// heldUntil is the end of the time in which no other host can claim the slot.
	// Afterwards no lease is granted, no peer is answered and no result is complete,
	// but writes continue.
	heldUntil dfclock.Millis
	// released is true once release of the slot has begun.
	released bool
	// releasedBeforeVisible is true if release began before all peers counted this
	// host as a holder.
	releasedBeforeVisible bool
	writes                writeQueue
	// now is the latest instant observed. It never decreases.
	now dfclock.Millis
}

// New returns the tracker of a host that claimed its slot at claimedAt, which must
// be after the connections of the slot's previous holder have ended. fromVacant is
// true if the slot had no holder before. A zero maxCallers or maxWrites selects the
// default. A process that held a slot of the group before uses Reclaimed instead.
func New(claimedAt dfclock.Millis, fromVacant bool, maxCallers, maxWrites int) *Tracker {
	if maxCallers <= 0 {
		maxCallers = DefaultMaxCallers
	}
	if maxWrites <= 0 {
		maxWrites = DefaultMaxWrites
	}
	delay := LeaseTTL + ClockMargin
	if fromVacant {
		delay = MembershipMaxAge + ClockMargin
	}
	return &Tracker{
		claimedAt: claimedAt,
		visibleAt: claimedAt.Add(delay),
		positions: newPositionCache(maxCallers),
		writes:    newWriteQueue(maxWrites),
		now:       claimedAt,
	}
}

// Reclaimed returns the tracker of the same process after it claimed a slot again.
// Leases granted under the previous claim are kept, because peers may still use
// them.
func (t *Tracker) Reclaimed(claimedAt dfclock.Millis, fromVacant bool) *Tracker {
	next := New(claimedAt, fromVacant, t.positions.limit, t.writes.limit)
	next.now = max(next.now, t.now)
	for _, state := range t.peers {
		next.peers = append(next.peers, peerState{peer: state.peer, grantUntil: state.grantUntil})
	}
	return next
}

// SetHeldUntil records the end of this host's host lease, which was confirmed
// together with the slot row and is counted from before the request was sent.
// Afterwards another host may have claimed the slot and acknowledge writes that
// are unknown here.
func (t *Tracker) SetHeldUntil(now, until dfclock.Millis) {
	t.observe(now)
	t.heldUntil = max(t.heldUntil, until)
}

// Release begins the release of the slot. It must be called before the slot row is
// changed. From then on no lease is granted and no write recorded, because peers
// that no longer count this host as a holder would not miss a notification.
func (t *Tracker) Release(now dfclock.Millis) {
	t.observe(now)
	t.released = true
	t.releasedBeforeVisible = t.releasedBeforeVisible || t.now < t.visibleDue()
}

// SetMembership replaces the membership unless it is older than the current one.
// Leases granted to a former holder remain valid until they expire, because it may
// still serve reads under them.
func (t *Tracker) SetMembership(now dfclock.Millis, membership Membership) {
	t.observe(now)
	if membership.RequestedAt < t.membership.RequestedAt {
		return
	}
	t.membership = membership
	next := make([]peerState, 0, len(membership.Peers))
	for _, peer := range membership.Peers {
		state := peerState{peer: peer}
		if known := t.find(peer); known != nil {
			state = *known
		}
		state.current = true
		next = append(next, state)
	}
	for _, state := range t.peers {
		if slices.Contains(membership.Peers, state.peer) {
			continue
		}
		if state.current && !t.covered(&state) {
			t.gapAt = t.now
		}
		if t.now < state.grantUntil {
			state.current = false
			next = append(next, state)
		}
	}
	t.peers = next
	t.writes.prune(t.now, t.peers)
}

// RecordLease records a lease from a peer. The request was sent at sentAt, and the
// answer arrived at now.
func (t *Tracker) RecordLease(now dfclock.Millis, peer Peer, sentAt, ttl dfclock.Millis) {
	t.observe(now)
	state := t.find(peer)
	if state == nil || !state.current {
		return
	}
	state.confirmedVisible = true
	until := sentAt.Add(min(ttl, LeaseTTL))
	if until <= t.now || until <= state.leaseUntil {
		return
	}
	// If the previous lease had expired here when the answer arrived, the grantor
	// may have let it expire too.
	if t.now >= state.leaseUntil {
		state.leaseSince = t.now
	}
	state.leaseUntil = until
}

// GrantLease handles a peer's lease request and reports whether the lease is
// granted.
func (t *Tracker) GrantLease(now dfclock.Millis, peer Peer) bool {
	t.observe(now)
	state := t.find(peer)
	if !t.held() || state == nil || !state.current {
		return false
	}
	if t.writes.overdue(t.now, peer) {
		return false
	}
	state.grantUntil = t.now.Add(LeaseTTL + ClockMargin)
	return true
}

// RecordNotification records the position of a write that a peer is about to
// acknowledge.
func (t *Tracker) RecordNotification(now dfclock.Millis, caller Caller, position dfposition.Position) {
	t.observe(now)
	t.positions.advance(caller, position)
}

// SetWatermark replaces the watermark. It has no effect while the current watermark
// covers every lease, because a higher one would require more of replicas.
func (t *Tracker) SetWatermark(now dfclock.Millis, watermark Watermark) {
	if !t.NeedsWatermark(now) {
		return
	}
	// Equal instants are rejected here and in covered, because the order of events
	// within one millisecond is unknown.
	if watermark.StartedAt <= t.claimedAt || watermark.StartedAt > t.now {
		return
	}
	if t.hasWatermark && watermark.StartedAt <= t.watermark.StartedAt {
		return
	}
	watermark.Position = watermark.Position.Max(t.watermark.Position)
	t.watermark = watermark
	t.hasWatermark = true
}

// NeedsWatermark reports whether a barrier that starts now would cover more leases
// or former holders than the current watermark.
func (t *Tracker) NeedsWatermark(now dfclock.Millis) bool {
	t.observe(now)
	if !t.watermarkValid() {
		return true
	}
	for i := range t.peers {
		state := &t.peers[i]
		if state.current && t.leased(state) && state.leaseSince >= t.watermark.StartedAt {
			return true
		}
	}
	return false
}

// Complete reports whether every acknowledged write of other holders is known.
func (t *Tracker) Complete(now dfclock.Millis) bool {
	t.observe(now)
	if !t.watermarkValid() || !t.membershipValid() {
		return false
	}
	for i := range t.peers {
		if t.peers[i].current && !t.covered(&t.peers[i]) {
			return false
		}
	}
	return true
}

// Lookup returns what is known about a caller's writes. now must not be before the
// arrival of the read that uses the result.
func (t *Tracker) Lookup(now dfclock.Millis, caller Caller) LookupResult {
	complete := t.Complete(now)
	result := LookupResult{Position: t.positions.lookup(caller), Watermark: t.watermark.Position, Complete: complete}
	if complete {
		holds(t.allLeased(), "complete knowledge needs a lease from every peer")
		return result
	}
	result.PeersSuffice = t.watermarkValid() && t.membershipValid()
	for i := range t.peers {
		if t.peers[i].current && !t.covered(&t.peers[i]) {
			result.Missing = append(result.Missing, t.peers[i].peer)
		}
	}
	return result
}

// AnswerPeer answers a peer that requests a caller's position. The position covers
// every write of the caller that this holder and earlier holders of its slot
// acknowledged. known is false before the first watermark and while the slot may
// belong to another host.
func (t *Tracker) AnswerPeer(now dfclock.Millis, caller Caller) (position dfposition.Position, known bool) {
	t.observe(now)
	if !t.hasWatermark || !t.held() {
		return dfposition.Position{}, false
	}
	return t.positions.lookup(caller).Max(t.watermark.Position), true
}

// observe advances the clock. Instants that arrive out of order do not make an
// expired lease valid again.
func (t *Tracker) observe(now dfclock.Millis) {
	if now > t.now {
		t.now = now
	}
}

// held reports whether no other host can have claimed the slot.
func (t *Tracker) held() bool {
	return !t.released && t.now < t.heldUntil
}

// watermarkValid reports whether the watermark covers the writes of all former
// holders.
func (t *Tracker) watermarkValid() bool {
	return t.hasWatermark && t.watermark.StartedAt > t.gapAt
}

// membershipValid reports whether no host outside the membership can have
// acknowledged a write.
func (t *Tracker) membershipValid() bool {
	return t.held() && t.membership.RequestedAt > 0 && (t.membership.Vacant == 0 || t.now < t.membership.RequestedAt.Add(MembershipMaxAge))
}

func (t *Tracker) leased(state *peerState) bool {
	return t.now < state.leaseUntil
}

// covered reports whether all acknowledged writes of a peer are known: those before
// the watermark by its position, later ones by notifications under the lease.
func (t *Tracker) covered(state *peerState) bool {
	return t.leased(state) && state.leaseSince < t.watermark.StartedAt
}

func (t *Tracker) allLeased() bool {
	for _, peer := range t.membership.Peers {
		state := t.find(peer)
		if state == nil || !t.leased(state) {
			return false
		}
	}
	return true
}

func (t *Tracker) find(peer Peer) *peerState {
	for i := range t.peers {
		if t.peers[i].peer == peer {
			return &t.peers[i]
		}
	}
	return nil
}
