package dfroute

import (
	"fmt"
	"math/rand/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfunit"
)

// simHost is a simulated host that drives a Router and the session knowledge.
type simHost struct {
	s           *sim
	name        string
	router      *Router
	view        dfgroup.View
	knowledge   *dfsession.Tracker
	slot        int
	peer        dfsession.Peer
	heldUntil   dfclock.Millis
	pausedUntil dfclock.Millis
	dead        bool
	// viewWaiters are called on the next view; reads use them to wait for a replica.
	viewWaiters []func()
}

func newSimHost(s *sim, index int) *simHost {
	h := &simHost{s: s, name: fmt.Sprintf("h%d", index), slot: -1}
	upstreams := make([]dfgroup.Upstream, 3)
	for i, u := range s.upstreams {
		upstreams[i] = dfgroup.Upstream{ID: u.id, DataCentre: fmt.Sprint(i)}
	}
	h.view = dfgroup.NewView("g", upstreams)
	h.router = New(fmt.Sprint(index%3), DefaultOptions(), rand.New(rand.NewPCG(uint64(index), 9)))
	s.every(h, 100, h.poll)
	s.every(h, 600, h.readRows)
	s.every(h, 400, h.lease)
	return h
}

func (h *simHost) holdsSlot() bool { return h.slot >= 0 && h.s.now < h.heldUntil }

// requestStatus requests the status of an upstream. The answer may be delayed or
// lost.
func (h *simHost) requestStatus(u *simUpstream, answer func(status dfgroup.Status, askedAt dfclock.Millis)) {
	askedAt := h.s.now
	h.s.send(nil, func() {
		if u.partitioned(h.s.now) {
			return
		}
		status := u.status()
		h.s.send(h, func() { answer(status, askedAt) })
	})
}

func (h *simHost) poll() {
	for _, u := range h.s.upstreams {
		h.requestStatus(u, h.observe)
	}
	if h.holdsSlot() && h.knowledge.NeedsWatermark(h.s.now) {
		h.barrier(func(BarrierReached) {})
	}
}

func (h *simHost) observe(status dfgroup.Status, askedAt dfclock.Millis) {
	if h.s.fault == faultOverstateApplied {
		status.Applied = status.Flushed
	}
	h.view = h.view.WithStatus(status, askedAt, h.s.now)
	h.router.SetView(h.view)
	waiters := h.viewWaiters
	h.viewWaiters = nil
	for _, wait := range waiters {
		wait()
	}
}

// barrier determines a barrier position from a primary confirmed by a majority.
func (h *simHost) barrier(done func(BarrierReached)) {
	startedAt, finished := h.s.now, false
	statuses := map[dfgroup.UpstreamID]dfgroup.Status{}
	for _, u := range h.s.upstreams {
		h.requestStatus(u, func(status dfgroup.Status, askedAt dfclock.Millis) {
			h.observe(status, askedAt)
			statuses[status.Upstream] = status
			primary, found := statuses[h.view.Primary]
			accepted := 0
			for _, other := range statuses {
				if other.Accepted == primary.Accepted {
					accepted++
				}
			}
			if finished || !found || primary.Role != dfgroup.RolePrimary || accepted < 2 {
				return
			}
			finished = true
			reached := BarrierReached{Upstream: primary.Upstream, StartedAt: startedAt,
				Position: dfposition.Position{Term: primary.Accepted, Offset: primary.Flushed}}
			if h.knowledge != nil {
				h.knowledge.SetWatermark(h.s.now, dfsession.Watermark{StartedAt: startedAt, Position: reached.Position})
			}
			done(reached)
		})
	}
}

// readRows renews the host lease, reads the slot rows and claims a free slot.
func (h *simHost) readRows() {
	sentAt := h.s.now
	h.s.send(nil, func() {
		if !h.s.tableAvailable {
			return
		}
		claimed, vacant := -1, false
		own := -1
		for i := range h.s.slots {
			row := &h.s.slots[i]
			if row.host == h && row.peer == h.peer {
				row.renewedAt, own = h.s.now, i
			}
		}
		for i := range h.s.slots {
			row := &h.s.slots[i]
			leaseExpired := row.host != nil && h.s.now > row.renewedAt+simHostLease+100
			if own < 0 && claimed < 0 && (row.host == nil || leaseExpired) {
				claimed, vacant = i, row.host == nil
				row.host, row.renewedAt = h, h.s.now
				row.peer = dfsession.Peer{Host: h.name, Incarnation: "1", Epoch: row.peer.Epoch + 1}
				for _, u := range h.s.upstreams {
					u.minEpochs[i] = row.peer.Epoch
				}
			}
		}
		rows, readAt := h.s.slots, sentAt
		h.s.send(h, func() { h.applyRows(rows, readAt, claimed, vacant) })
	})
}

func (h *simHost) applyRows(rows [simSlots]simSlot, readAt dfclock.Millis, claimed int, vacant bool) {
	if claimed >= 0 {
		h.slot, h.peer = claimed, rows[claimed].peer
		if h.knowledge == nil {
			h.knowledge = dfsession.New(h.s.now, vacant, 6, 0)
		} else {
			h.knowledge = h.knowledge.Reclaimed(h.s.now, vacant)
		}
	}
	roster := dfsession.Membership{RequestedAt: readAt}
	holdsRow := false
	for _, row := range rows {
		switch {
		case row.host == h && row.peer == h.peer:
			holdsRow = true
		case row.host == nil:
			roster.Vacant++
		default:
			roster.Peers = append(roster.Peers, row.peer)
		}
	}
	if !holdsRow {
		h.slot = -1
		return
	}
	h.heldUntil = max(h.heldUntil, readAt+simHostLease)
	if h.knowledge != nil && h.slot >= 0 {
		h.knowledge.SetHeldUntil(h.s.now, readAt+simHostLease)
		h.knowledge.SetMembership(h.s.now, roster)
	}
}

// release releases the slot. Leases granted earlier stay valid until they expire.
func (h *simHost) release() {
	if h.slot < 0 || h.s.now < h.pausedUntil || h.dead {
		return
	}
	h.knowledge.Release(h.s.now)
	row := &h.s.slots[h.slot]
	if row.host == h && row.peer == h.peer {
		row.host = nil
	}
	h.slot = -1
}

func (h *simHost) hostOf(peer dfsession.Peer) *simHost {
	for _, other := range h.s.hosts {
		if other.name == peer.Host {
			return other
		}
	}
	return nil
}

// lease requests new leases from all peers.
func (h *simHost) lease() {
	if !h.holdsSlot() {
		return
	}
	for _, row := range h.s.slots {
		if row.host == nil || row.host == h {
			continue
		}
		other, otherPeer, ownPeer, knowledge := row.host, row.peer, h.peer, h.knowledge
		sentAt := h.s.now
		h.s.send(other, func() {
			if other.peer != otherPeer || !other.knowledge.GrantLease(h.s.now, ownPeer) {
				return
			}
			h.s.send(h, func() { knowledge.RecordLease(h.s.now, otherPeer, sentAt, dfsession.LeaseTTL) })
		})
	}
}

// write commits on the primary. The write is acknowledged once a majority has
// flushed it and the peers allow it.
func (h *simHost) write(caller int) {
	use, ok := h.router.Write().(UseUpstream)
	if !h.holdsSlot() || !ok {
		return
	}
	slot, epoch := h.slot, h.peer.Epoch
	for _, u := range h.s.upstreams {
		if u.id != use.Upstream {
			continue
		}
		h.s.send(nil, func() {
			if u.partitioned(h.s.now) || u.role != dfgroup.RolePrimary || epoch < u.minEpochs[slot] {
				return
			}
			h.s.lastID++
			id := h.s.lastID
			u.log = append(u.log[:len(u.log):len(u.log)], id)
			position := dfposition.Position{Term: u.accepted, Offset: dfposition.Offset(len(u.log))}
			h.s.send(h, func() { h.committed(caller, id, position) })
		})
	}
}

func (h *simHost) committed(caller, id int, position dfposition.Position) {
	knowledge, hash := h.knowledge, dfsession.CallerOf("s", fmt.Sprint(caller))
	number, peers, ok := knowledge.RecordWrite(h.s.now, hash, position)
	if !ok || knowledge != h.knowledge {
		return
	}
	answered := map[dfsession.Peer]bool{}
	flushed := map[dfgroup.UpstreamID]bool{}
	var tryAcknowledge func(attempts int)
	tryAcknowledge = func(attemptsLeft int) {
		if knowledge != h.knowledge || attemptsLeft == 0 {
			knowledge.Abandon(number)
			return
		}
		allowed, _ := knowledge.MayAcknowledge(h.s.now, number)
		if (allowed || h.s.fault == faultIgnorePeerAnswers) && len(flushed) >= 2 {
			if allowed {
				knowledge.Acknowledge(h.s.now, number)
			}
			h.s.acknowledge(caller, id, position)
			return
		}
		for _, peer := range peers {
			if !answered[peer] {
				other := h.hostOf(peer)
				h.s.send(other, func() {
					if other.peer == peer && other.knowledge != nil {
						other.knowledge.RecordNotification(h.s.now, hash, position)
					}
					h.s.send(h, func() { answered[peer] = true; knowledge.RecordAnswer(h.s.now, number, peer) })
				})
			}
		}
		for _, u := range h.s.upstreams {
			h.s.send(nil, func() {
				status := u.status()
				if u.partitioned(h.s.now) || status.Accepted != position.Term || status.History.Locate(status.Flushed, position) != dfposition.Contained {
					return
				}
				h.s.send(h, func() { flushed[u.id] = true })
			})
		}
		h.s.after(h, 25, func() { tryAcknowledge(attemptsLeft - 1) })
	}
	tryAcknowledge(100)
}

func (s *sim) acknowledge(caller, id int, position dfposition.Position) {
	s.acknowledged = append(s.acknowledged, simWrite{caller: caller, id: id, ackedAt: s.now})
	s.send(nil, func() {
		s.tokens[caller] = s.tokens[caller].Max(position)
		s.lastAcknowledgedID[caller] = max(s.lastAcknowledgedID[caller], id)
	})
}

// issueRequest sends a write or a read of a random caller to a random host.
func (s *sim) issueRequest() {
	caller, host := s.random.IntN(simCallers), s.hosts[s.random.IntN(simHosts)]
	if s.chanceOneIn(4) {
		s.send(host, func() { host.write(caller) })
		return
	}
	request := &dfunit.Request{MaxAge: 200 + s.randomDuration(3000), Strong: s.chanceOneIn(10), TokenPresented: s.chanceOneIn(3)}
	lastAcknowledgedID := s.lastAcknowledgedID[caller]
	if request.TokenPresented {
		request.Need = s.tokens[caller]
	}
	s.send(host, func() { host.read(caller, lastAcknowledgedID, request) })
}

func (h *simHost) read(caller, lastAcknowledgedID int, request *dfunit.Request) {
	if h.knowledge == nil {
		return
	}
	request.ArrivedAt, request.Deadline = h.s.now, h.s.now+1500
	known := h.knowledge.Lookup(h.s.now, dfsession.CallerOf("s", fmt.Sprint(caller)))
	if h.s.fault == faultDropFloor {
		known.Watermark = dfposition.Position{}
	}
	acknowledgedBefore := len(h.s.acknowledged)
	state, action := h.router.Read(h.s.now, request, known)
	h.performAction(request, caller, state, action, func(write simWrite, order int) bool {
		switch {
		case order >= acknowledgedBefore:
			return false
		case request.Strong, write.ackedAt < request.ArrivedAt-request.MaxAge:
			return true
		case request.TokenPresented:
			return write.caller == caller && write.id <= lastAcknowledgedID
		}
		return write.caller == caller
	})
}

func (h *simHost) performAction(request *dfunit.Request, caller int, state ReadState, action Action, required func(simWrite, int) bool) {
	done := false
	next := func(event Event) {
		if !done {
			done = true
			state, action := h.router.Continue(h.s.now, state, event)
			h.performAction(request, caller, state, action, required)
		}
	}
	switch action := action.(type) {
	case Refuse:
		h.s.refusedReads++
	case UseUpstream:
		h.s.executeRead(action, request, required)
	case AskPeers:
		var positions []dfposition.Position
		for _, peer := range action.Peers {
			other := h.hostOf(peer)
			h.s.send(other, func() {
				if other.peer != peer {
					return
				}
				if position, known := other.knowledge.AnswerPeer(h.s.now, dfsession.CallerOf("s", fmt.Sprint(caller))); known {
					h.s.send(h, func() {
						positions = append(positions, position)
						if len(positions) == len(action.Peers) {
							next(PeersAnswered{Positions: positions, All: true})
						}
					})
				}
			})
		}
		h.s.after(h, action.Until-h.s.now, func() { next(TimedOut{}) })
	case TakeBarrier:
		h.barrier(func(reached BarrierReached) { next(reached) })
		h.s.after(h, action.Until-h.s.now, func() { next(TimedOut{}) })
	case WaitReplica:
		h.viewWaiters = append(h.viewWaiters, func() { next(ViewChanged{}) })
		h.s.after(h, action.Until-h.s.now, func() { next(TimedOut{}) })
	case ConfirmPrimary:
		h.barrier(func(reached BarrierReached) { next(PrimaryConfirmed(reached)) })
		h.s.after(h, action.Until-h.s.now, func() { next(TimedOut{}) })
	}
}

// executeRead runs the read on the upstream and records a violation if it misses a
// required write.
func (s *sim) executeRead(use UseUpstream, request *dfunit.Request, required func(simWrite, int) bool) {
	s.rungs[use.Rung]++
	if use.Replica {
		s.replicaReads++
	}
	for _, u := range s.upstreams {
		if u.id != use.Upstream {
			continue
		}
		s.after(nil, 1+s.randomDuration(5), func() {
			present := make([]bool, s.lastID+1)
			for _, id := range u.log[:u.applied] {
				present[id] = true
			}
			for order, write := range s.acknowledged {
				if !present[write.id] && required(write, order) {
					s.violations = append(s.violations, fmt.Sprintf("%d: read of %d at %s on rung %d lacks write %d of %d acknowledged at %d",
						s.now, request.ArrivedAt, u.id, use.Rung, write.id, write.caller, write.ackedAt))
					return
				}
			}
		})
	}
}
