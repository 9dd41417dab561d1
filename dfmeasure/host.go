package dfmeasure

import (
	"fmt"
	"math/rand/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfroute"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfunit"
)

// holder is a host with a slot; it embeds the decisions as the daemon does.
type holder struct {
	m          *model
	dataCentre int
	peer       dfsession.Peer
	know       *dfsession.Tracker
	router     *dfroute.Router
	view       dfgroup.View
	// waits are reads that wait for a newer view.
	waits []func()
}

func newHolder(m *model, index int) *holder {
	h := &holder{
		m: m, dataCentre: index % dataCentres,
		peer: dfsession.Peer{Host: fmt.Sprintf("h%d", index), Incarnation: "1", Epoch: 1},
		know: dfsession.New(m.time.now, false, 0, 0),
	}
	upstreams := make([]dfgroup.Upstream, 0, dataCentres)
	for _, u := range m.group.upstreams {
		upstreams = append(upstreams, dfgroup.Upstream{ID: u.id, DataCentre: fmt.Sprint(u.dataCentre)})
	}
	h.view = dfgroup.NewView("orders/main", upstreams)
	h.router = dfroute.New(fmt.Sprint(h.dataCentre), dfroute.DefaultOptions(), rand.New(rand.NewPCG(m.seed, uint64(index)+1)))
	return h
}

// begin starts the duties once all holders exist.
func (h *holder) begin() {
	roster := dfsession.Membership{RequestedAt: h.m.time.now}
	for _, other := range h.m.holders {
		if other != h {
			roster.Peers = append(roster.Peers, other.peer)
		}
	}
	h.know.SetHeldUntil(h.m.time.now, dfclock.Never)
	h.know.SetMembership(h.m.time.now, roster)
	h.m.time.every(reportEvery, h.poll)
	h.m.time.every(dfsession.RenewInterval, h.renew)
}

// ask requests a status report.
func (h *holder) ask(u *upstream, answer func(dfgroup.Status, dfclock.Millis)) {
	askedAt := h.m.time.now
	h.m.send(h.dataCentre, u.dataCentre, func() {
		status := h.m.group.status(u)
		h.m.send(u.dataCentre, h.dataCentre, func() { answer(status, askedAt) })
	})
}

func (h *holder) poll() {
	for _, u := range h.m.group.upstreams {
		h.ask(u, h.observe)
	}
	if h.know.NeedsWatermark(h.m.time.now) {
		h.barrier(func(dfroute.BarrierReached) {})
	}
}

func (h *holder) observe(status dfgroup.Status, askedAt dfclock.Millis) {
	h.view = h.view.WithStatus(status, askedAt, h.m.time.now)
	h.router.SetView(h.view)
	waits := h.waits
	h.waits = nil
	for _, wait := range waits {
		wait()
	}
}

func (h *holder) renew() {
	sentAt := h.m.time.now
	for _, other := range h.m.holders {
		if other == h {
			continue
		}
		h.m.send(h.dataCentre, other.dataCentre, func() {
			if !other.know.GrantLease(h.m.time.now, h.peer) {
				return
			}
			h.m.send(other.dataCentre, h.dataCentre, func() {
				h.know.RecordLease(h.m.time.now, other.peer, sentAt, dfsession.LeaseTTL)
			})
		})
	}
}

// barrier reads the primary's position and has it confirmed by a majority.
func (h *holder) barrier(done func(dfroute.BarrierReached)) {
	startedAt, count, finished := h.m.time.now, 0, false
	reached := dfroute.BarrierReached{StartedAt: startedAt}
	for _, u := range h.m.group.upstreams {
		h.ask(u, func(status dfgroup.Status, askedAt dfclock.Millis) {
			h.observe(status, askedAt)
			count++
			if status.Role == dfgroup.RolePrimary {
				reached.Upstream = status.Upstream
				reached.Position = dfposition.Position{Term: status.Accepted, Offset: status.Flushed}
			}
			if finished || count < h.view.Majority() || reached.Upstream == "" {
				return
			}
			finished = true
			h.know.SetWatermark(h.m.time.now, dfsession.Watermark{StartedAt: startedAt, Position: reached.Position})
			done(reached)
		})
	}
}

// write commits at the primary, tells the peers and acknowledges.
func (h *holder) write(caller int) {
	primary := h.m.group.primary()
	h.m.send(h.dataCentre, primary.dataCentre, func() {
		number := h.m.group.commit(caller)
		h.m.send(primary.dataCentre, h.dataCentre, func() { h.committed(caller, number) })
	})
}

func (h *holder) committed(caller, number int) {
	position := dfposition.Position{Term: 1, Offset: dfposition.Offset(number)}
	hash := h.m.hash(caller)
	id, peers, ok := h.know.RecordWrite(h.m.time.now, hash, position)
	if !ok {
		return
	}
	for _, other := range h.m.holders {
		for _, peer := range peers {
			if other.peer != peer {
				continue
			}
			h.m.send(h.dataCentre, other.dataCentre, func() {
				other.know.RecordNotification(h.m.time.now, hash, position)
				h.m.send(other.dataCentre, h.dataCentre, func() { h.know.RecordAnswer(h.m.time.now, id, peer) })
			})
		}
	}
	// A majority has flushed after a round trip between data centres.
	var attempt func()
	attempt = func() {
		if may, _ := h.know.MayAcknowledge(h.m.time.now, id); !may {
			h.m.time.after(1, attempt)
			return
		}
		h.know.Acknowledge(h.m.time.now, id)
		h.m.group.acknowledge(number)
		h.m.tokens[caller] = h.m.tokens[caller].Max(position)
	}
	h.m.time.after(2*h.m.deployment.Between, attempt)
}

// read runs the ladder for one request.
func (h *holder) read(caller int, class Class, tokens bool) {
	now := h.m.time.now
	request := &dfunit.Request{MaxAge: class.MaxAge, ArrivedAt: now, Deadline: now + requestSpan}
	if tokens {
		request.TokenPresented, request.Need = true, h.m.tokens[caller]
	}
	result := &result{arrivedAt: now, own: h.m.group.own(caller), class: class}
	ladder, action := h.router.Read(now, request, h.know.Lookup(now, h.m.hash(caller)))
	h.step(result, caller, ladder, action)
}

func (h *holder) step(result *result, caller int, ladder dfroute.ReadState, action dfroute.Action) {
	done := false
	next := func(event dfroute.Event) {
		if !done {
			done = true
			ladder, action := h.router.Continue(h.m.time.now, ladder, event)
			h.step(result, caller, ladder, action)
		}
	}
	timeout := func(until dfclock.Millis) {
		h.m.time.after(max(0, until-h.m.time.now), func() { next(dfroute.TimedOut{}) })
	}
	switch action := action.(type) {
	case dfroute.Refuse:
		h.m.counts.refuse(result)
	case dfroute.UseUpstream:
		h.execute(result, action)
	case dfroute.AskPeers:
		h.askPeers(action, caller, next)
		timeout(action.Until)
	case dfroute.TakeBarrier:
		h.barrier(func(reached dfroute.BarrierReached) { next(reached) })
		timeout(action.Until)
	case dfroute.WaitReplica:
		h.waits = append(h.waits, func() { next(dfroute.ViewChanged{}) })
		timeout(action.Until)
	case dfroute.ConfirmPrimary:
		h.barrier(func(reached dfroute.BarrierReached) { next(dfroute.PrimaryConfirmed(reached)) })
		timeout(action.Until)
	}
}

func (h *holder) askPeers(action dfroute.AskPeers, caller int, next func(dfroute.Event)) {
	told := make([]dfposition.Position, 0, len(action.Peers))
	for _, other := range h.m.holders {
		for _, peer := range action.Peers {
			if other.peer != peer {
				continue
			}
			h.m.send(h.dataCentre, other.dataCentre, func() {
				position, known := other.know.AnswerPeer(h.m.time.now, h.m.hash(caller))
				if !known {
					return
				}
				h.m.send(other.dataCentre, h.dataCentre, func() {
					told = append(told, position)
					if len(told) == len(action.Peers) {
						next(dfroute.PeersAnswered{Positions: told, All: true})
					}
				})
			})
		}
	}
}

func (h *holder) execute(result *result, use dfroute.UseUpstream) {
	startedAt := h.m.time.now
	h.router.Started(startedAt, use.Upstream)
	for _, u := range h.m.group.upstreams {
		if u.id != use.Upstream {
			continue
		}
		h.m.send(h.dataCentre, u.dataCentre, func() {
			result.rung, result.replica, result.local = use.Rung, use.Replica, use.Local
			h.m.counts.read(h.m, result, h.m.group.see(u))
			h.m.time.after(statement+within, func() {
				h.router.Finished(h.m.time.now, use.Upstream, h.m.time.now-startedAt, true)
			})
		})
	}
}
