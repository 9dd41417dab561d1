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

// simHost embeds the decisions the way a daemon does.
type simHost struct {
	s           *sim
	name        string
	router      *Router
	view        dfgroup.View
	know        *dfsession.Tracker
	slot        int
	peer        dfsession.Peer
	heldUntil   dfclock.Millis
	pausedUntil dfclock.Millis
	dead        bool
	// waits are reads that wait for a newer view.
	waits []func()
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

func (h *simHost) holds() bool { return h.slot >= 0 && h.s.now < h.heldUntil }

// ask requests a status; the answer may be late or lost.
func (h *simHost) ask(u *simUpstream, answer func(status dfgroup.Status, askedAt dfclock.Millis)) {
	askedAt := h.s.now
	h.s.send(nil, func() {
		if u.cut(h.s.now) {
			return
		}
		status := u.status()
		h.s.send(h, func() { answer(status, askedAt) })
	})
}

func (h *simHost) poll() {
	for _, u := range h.s.upstreams {
		h.ask(u, h.observe)
	}
	if h.holds() && h.know.NeedsWatermark(h.s.now) {
		h.barrier(func(BarrierReached) {})
	}
}

func (h *simHost) observe(status dfgroup.Status, askedAt dfclock.Millis) {
	if h.s.fault == faultApplied {
		status.Applied = status.Flushed
	}
	h.view = h.view.WithStatus(status, askedAt, h.s.now)
	h.router.SetView(h.view)
	waits := h.waits
	h.waits = nil
	for _, wait := range waits {
		wait()
	}
}

// barrier takes a position from the primary that a majority confirms.
func (h *simHost) barrier(done func(BarrierReached)) {
	startedAt, finished := h.s.now, false
	got := map[dfgroup.UpstreamID]dfgroup.Status{}
	for _, u := range h.s.upstreams {
		h.ask(u, func(status dfgroup.Status, askedAt dfclock.Millis) {
			h.observe(status, askedAt)
			got[status.Upstream] = status
			primary, found := got[h.view.Primary]
			accepted := 0
			for _, other := range got {
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
			if h.know != nil {
				h.know.SetWatermark(h.s.now, dfsession.Watermark{StartedAt: startedAt, Position: reached.Position})
			}
			done(reached)
		})
	}
}

// readRows renews the host lease, reads the slot rows and claims a free slot.
func (h *simHost) readRows() {
	sentAt := h.s.now
	h.s.send(nil, func() {
		if !h.s.tableUp {
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
			lapsed := row.host != nil && h.s.now > row.renewedAt+simHostLease+100
			if own < 0 && claimed < 0 && (row.host == nil || lapsed) {
				claimed, vacant = i, row.host == nil
				row.host, row.renewedAt = h, h.s.now
				row.peer = dfsession.Peer{Host: h.name, Incarnation: "1", Epoch: row.peer.Epoch + 1}
				for _, u := range h.s.upstreams {
					u.epochs[i] = row.peer.Epoch
				}
			}
		}
		rows, readAt := h.s.slots, sentAt
		h.s.send(h, func() { h.adopt(rows, readAt, claimed, vacant) })
	})
}

func (h *simHost) adopt(rows [simSlots]simSlot, readAt dfclock.Millis, claimed int, vacant bool) {
	if claimed >= 0 {
		h.slot, h.peer = claimed, rows[claimed].peer
		if h.know == nil {
			h.know = dfsession.New(h.s.now, vacant, 6, 0)
		} else {
			h.know = h.know.Reclaimed(h.s.now, vacant)
		}
	}
	roster := dfsession.Membership{RequestedAt: readAt}
	mine := false
	for _, row := range rows {
		switch {
		case row.host == h && row.peer == h.peer:
			mine = true
		case row.host == nil:
			roster.Vacant++
		default:
			roster.Peers = append(roster.Peers, row.peer)
		}
	}
	if !mine {
		h.slot = -1
		return
	}
	h.heldUntil = max(h.heldUntil, readAt+simHostLease)
	if h.know != nil && h.slot >= 0 {
		h.know.SetHeldUntil(h.s.now, readAt+simHostLease)
		h.know.SetMembership(h.s.now, roster)
	}
}

// release gives the slot up; leases granted before stay in force until they end.
func (h *simHost) release() {
	if h.slot < 0 || h.s.now < h.pausedUntil || h.dead {
		return
	}
	h.know.Release(h.s.now)
	row := &h.s.slots[h.slot]
	if row.host == h && row.peer == h.peer {
		row.host = nil
	}
	h.slot = -1
}

func (h *simHost) byPeer(peer dfsession.Peer) *simHost {
	for _, other := range h.s.hosts {
		if other.name == peer.Host {
			return other
		}
	}
	return nil
}

// lease renews the leases from all peers.
func (h *simHost) lease() {
	if !h.holds() {
		return
	}
	for _, row := range h.s.slots {
		if row.host == nil || row.host == h {
			continue
		}
		other, theirs, mine, know := row.host, row.peer, h.peer, h.know
		sentAt := h.s.now
		h.s.send(other, func() {
			if other.peer != theirs || !other.know.GrantLease(h.s.now, mine) {
				return
			}
			h.s.send(h, func() { know.RecordLease(h.s.now, theirs, sentAt, dfsession.LeaseTTL) })
		})
	}
}

// write commits at the primary and acknowledges when a majority and the peers allow it.
func (h *simHost) write(caller int) {
	use, ok := h.router.Write().(UseUpstream)
	if !h.holds() || !ok {
		return
	}
	slot, epoch := h.slot, h.peer.Epoch
	for _, u := range h.s.upstreams {
		if u.id != use.Upstream {
			continue
		}
		h.s.send(nil, func() {
			if u.cut(h.s.now) || u.role != dfgroup.RolePrimary || epoch < u.epochs[slot] {
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
	know, hash := h.know, dfsession.CallerOf("s", fmt.Sprint(caller))
	number, peers, ok := know.RecordWrite(h.s.now, hash, position)
	if !ok || know != h.know {
		return
	}
	answered := map[dfsession.Peer]bool{}
	flushed := map[dfgroup.UpstreamID]bool{}
	var attempt func(tries int)
	attempt = func(tries int) {
		if know != h.know || tries == 0 {
			know.Abandon(number)
			return
		}
		may, _ := know.MayAcknowledge(h.s.now, number)
		if (may || h.s.fault == faultNotify) && len(flushed) >= 2 {
			if may {
				know.Acknowledge(h.s.now, number)
			}
			h.s.acknowledge(caller, id, position)
			return
		}
		for _, peer := range peers {
			if !answered[peer] {
				other := h.byPeer(peer)
				h.s.send(other, func() {
					if other.peer == peer && other.know != nil {
						other.know.RecordNotification(h.s.now, hash, position)
					}
					h.s.send(h, func() { answered[peer] = true; know.RecordAnswer(h.s.now, number, peer) })
				})
			}
		}
		for _, u := range h.s.upstreams {
			h.s.send(nil, func() {
				status := u.status()
				if u.cut(h.s.now) || status.Accepted != position.Term || status.History.Locate(status.Flushed, position) != dfposition.Contained {
					return
				}
				h.s.send(h, func() { flushed[u.id] = true })
			})
		}
		h.s.after(h, 25, func() { attempt(tries - 1) })
	}
	attempt(100)
}

func (s *sim) acknowledge(caller, id int, position dfposition.Position) {
	s.acked = append(s.acked, simWrite{caller: caller, id: id, ackedAt: s.now})
	s.send(nil, func() {
		s.tokens[caller] = s.tokens[caller].Max(position)
		s.seen[caller] = max(s.seen[caller], id)
	})
}

// operate lets a caller write or read through any host.
func (s *sim) operate() {
	caller, host := s.source.IntN(simCallers), s.hosts[s.source.IntN(simHosts)]
	if s.chance(4) {
		s.send(host, func() { host.write(caller) })
		return
	}
	request := &dfunit.Request{MaxAge: 200 + s.span(3000), Strong: s.chance(10), TokenPresented: s.chance(3)}
	seen := s.seen[caller]
	if request.TokenPresented {
		request.Need = s.tokens[caller]
	}
	s.send(host, func() { host.read(caller, seen, request) })
}

func (h *simHost) read(caller, seen int, request *dfunit.Request) {
	if h.know == nil {
		return
	}
	request.ArrivedAt, request.Deadline = h.s.now, h.s.now+1500
	known := h.know.Lookup(h.s.now, dfsession.CallerOf("s", fmt.Sprint(caller)))
	if h.s.fault == faultFloor {
		known.Watermark = dfposition.Position{}
	}
	before := len(h.s.acked)
	ladder, action := h.router.Read(h.s.now, request, known)
	h.step(request, caller, ladder, action, func(write simWrite, order int) bool {
		switch {
		case order >= before:
			return false
		case request.Strong, write.ackedAt < request.ArrivedAt-request.MaxAge:
			return true
		case request.TokenPresented:
			return write.caller == caller && write.id <= seen
		}
		return write.caller == caller
	})
}

func (h *simHost) step(request *dfunit.Request, caller int, ladder Ladder, action Action, needed func(simWrite, int) bool) {
	done := false
	next := func(event Event) {
		if !done {
			done = true
			ladder, action := h.router.Continue(h.s.now, ladder, event)
			h.step(request, caller, ladder, action, needed)
		}
	}
	switch action := action.(type) {
	case Refuse:
		h.s.refused++
	case UseUpstream:
		h.s.finish(action, request, needed)
	case AskPeers:
		var told []dfposition.Position
		for _, peer := range action.Peers {
			other := h.byPeer(peer)
			h.s.send(other, func() {
				if other.peer != peer {
					return
				}
				if position, known := other.know.AnswerPeer(h.s.now, dfsession.CallerOf("s", fmt.Sprint(caller))); known {
					h.s.send(h, func() {
						told = append(told, position)
						if len(told) == len(action.Peers) {
							next(PeersAnswered{Positions: told, All: true})
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
		h.waits = append(h.waits, func() { next(ViewChanged{}) })
		h.s.after(h, action.Until-h.s.now, func() { next(TimedOut{}) })
	case ConfirmPrimary:
		h.barrier(func(reached BarrierReached) { next(PrimaryConfirmed(reached)) })
		h.s.after(h, action.Until-h.s.now, func() { next(TimedOut{}) })
	}
}

// finish runs the read at the upstream and checks what it sees.
func (s *sim) finish(use UseUpstream, request *dfunit.Request, needed func(simWrite, int) bool) {
	s.rungs[use.Rung]++
	if use.Replica {
		s.replica++
	}
	for _, u := range s.upstreams {
		if u.id != use.Upstream {
			continue
		}
		s.after(nil, 1+s.span(5), func() {
			present := make([]bool, s.lastID+1)
			for _, id := range u.log[:u.applied] {
				present[id] = true
			}
			for order, write := range s.acked {
				if !present[write.id] && needed(write, order) {
					s.faults = append(s.faults, fmt.Sprintf("%d: read of %d at %s on rung %d lacks write %d of %d acknowledged at %d",
						s.now, request.ArrivedAt, u.id, use.Rung, write.id, write.caller, write.ackedAt))
					return
				}
			}
		})
	}
}
