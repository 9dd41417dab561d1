// Package dfroute decides where a request runs: the read ladder and the choice
// among upstreams that are fresh enough, and the primary for writes.
package dfroute

import (
	"math/rand/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfunit"
)

// Router routes the requests of one group at one host. It is not safe for
// concurrent use.
type Router struct {
	dataCentre string
	options    Options
	source     *rand.Rand
	view       dfgroup.View
	ages       Ages
	// candidates has the upstreams of the view in the same order.
	candidates []candidate
	// hedges is the budget for hedged reads; 0 <= hedges <= hedgeBurst.
	hedges float64
}

// New returns a router for a host of the data centre. The source makes the
// random choices.
func New(dataCentre string, options Options, source *rand.Rand) *Router {
	return &Router{dataCentre: dataCentre, options: options, source: source}
}

// SetView takes a newer view of the group.
func (r *Router) SetView(view dfgroup.View) {
	r.view = view
	r.ages = r.ages.With(view)
	next := make([]candidate, 0, len(view.Upstreams))
	for i, upstream := range view.Upstreams {
		if i == maxUpstreams {
			break
		}
		next = append(next, newCandidate(upstream, r.dataCentre, r.find(upstream.ID), r.ages))
	}
	r.candidates = next
}

// View returns the view that decisions use.
func (r *Router) View() dfgroup.View {
	return r.view
}

// Write returns where a write runs: the primary of the highest term known.
func (r *Router) Write() Action {
	for i := range r.candidates {
		c := &r.candidates[i]
		status := &r.view.Upstreams[i].Status
		if c.id != r.view.Primary || !c.open || status.Role != dfgroup.RolePrimary || status.Accepted != r.view.Term {
			continue
		}
		if !holds(!leaving(r.view.Upstreams[i]), "a leaving upstream gets no new work") {
			break
		}
		return c.uses[0]
	}
	return Refuse{Error: noPrimary(r.view)}
}

// Read begins the ladder for a read. The knowledge must have been asked for
// after the read arrived. A hit on rungs 1 and 2 does not allocate.
func (r *Router) Read(now dfclock.Millis, request *dfunit.Request, known dfsession.LookupResult) (Ladder, Action) {
	r.hedges = min(hedgeBurst, r.hedges+HedgeShare)
	ladder := Ladder{arrivedAt: request.ArrivedAt, deadline: request.Deadline, request: request.ID, held: known}
	ladder.need.maxAge = request.MaxAge
	ladder.need.positions[0] = request.Need
	if now >= request.Deadline {
		return ladder, late(now, request.Deadline)
	}
	switch {
	case request.Strong:
		return r.barrier(now, ladder)
	case request.TokenPresented:
		// The caller's writes through other connections count as far as they are known.
		ladder.need.positions[1] = known.Position
		ladder.rung = RungToken
	case known.Complete:
		ladder.need.positions[1] = known.Position
		ladder.need.positions[2] = known.Watermark
		ladder.rung = RungKnown
	case known.PeersSuffice && len(known.Missing) > 0:
		ladder.step = stepPeers
		return ladder, AskPeers{Peers: known.Missing, Until: ladder.until(now, r.options.AskSpan)}
	default:
		return r.barrier(now, ladder)
	}
	return r.place(now, ladder)
}

// Continue takes the result of the ladder's last action.
func (r *Router) Continue(now dfclock.Millis, ladder Ladder, event Event) (Ladder, Action) {
	if now >= ladder.deadline {
		return ladder, late(now, ladder.deadline)
	}
	switch ladder.step {
	case stepPeers:
		return r.afterPeers(now, ladder, event)
	case stepBarrier:
		return r.afterBarrier(now, ladder, event)
	case stepWait:
		ladder.waited = ladder.waited || now >= ladder.waitUntil
		if _, timedOut := event.(TimedOut); timedOut {
			ladder.waited = true
		}
		return r.place(now, ladder)
	case stepConfirm:
		return r.afterConfirm(ladder, event)
	}
	return ladder, refuse(dfresult.NoFreshUpstream, "the read has already been routed")
}

func (r *Router) afterPeers(now dfclock.Millis, ladder Ladder, event Event) (Ladder, Action) {
	answer, answered := event.(PeersAnswered)
	if !answered || !answer.All || len(answer.Positions) < len(ladder.held.Missing) {
		return r.barrier(now, ladder)
	}
	position := ladder.held.Position
	for _, told := range answer.Positions {
		position = position.Max(told)
	}
	ladder.need.positions[1] = position
	ladder.need.positions[2] = ladder.held.Watermark
	ladder.rung = RungPeers
	return r.place(now, ladder)
}

// barrier begins rung 4.
func (r *Router) barrier(now dfclock.Millis, ladder Ladder) (Ladder, Action) {
	if r.view.Primary == "" {
		return ladder, Refuse{Error: noPrimary(r.view)}
	}
	ladder.step = stepBarrier
	return ladder, TakeBarrier{Until: ladder.until(now, r.options.BarrierSpan)}
}

func (r *Router) afterBarrier(now dfclock.Millis, ladder Ladder, event Event) (Ladder, Action) {
	reached, ok := event.(BarrierReached)
	if !ok {
		return r.confirm(now, ladder)
	}
	if !holds(reached.StartedAt >= ladder.arrivedAt, "a barrier starts after the read that uses it arrived") {
		return r.confirm(now, ladder)
	}
	ladder.need.positions[1] = reached.Position
	ladder.need.positions[2] = dfposition.Position{}
	ladder.need.covered = true
	ladder.barrier = reached
	ladder.rung = RungBarrier
	return r.place(now, ladder)
}

// confirm begins rung 5. A barrier has confirmed the primary already.
func (r *Router) confirm(now dfclock.Millis, ladder Ladder) (Ladder, Action) {
	at := r.primary()
	if at < 0 {
		return ladder, Refuse{Error: noPrimary(r.view)}
	}
	if ladder.need.covered && ladder.barrier.Upstream == r.candidates[at].id {
		return r.afterConfirm(ladder, PrimaryConfirmed(ladder.barrier))
	}
	ladder.step = stepConfirm
	return ladder, ConfirmPrimary{
		Upstream: r.candidates[at].id,
		Term:     r.view.Term,
		Until:    ladder.until(now, r.options.ConfirmSpan),
	}
}

func (r *Router) afterConfirm(ladder Ladder, event Event) (Ladder, Action) {
	confirmed, ok := event.(PrimaryConfirmed)
	at := r.primary()
	if !ok || at < 0 || r.candidates[at].id != confirmed.Upstream || confirmed.Position.Term != r.view.Term {
		return ladder, refuse(dfresult.NoFreshUpstream, "the primary was not confirmed")
	}
	if !holds(confirmed.StartedAt >= ladder.arrivedAt, "a primary is confirmed after the read arrived") {
		return ladder, refuse(dfresult.NoFreshUpstream, "the primary was confirmed too early")
	}
	history := r.candidates[at].history
	end := max(confirmed.Position.Offset, r.candidates[at].applied)
	switch ladder.need.locate(history, end) {
	case dfposition.Discarded:
		return ladder, discarded(ladder.need)
	case dfposition.Behind:
		return ladder, refuse(dfresult.NoFreshUpstream, "the primary's log ends at %s before %s", confirmed.Position, ladder.need.last())
	}
	ladder.rung, ladder.step = RungPrimary, stepDone
	if !holds(!leaving(r.view.Upstreams[at]), "a leaving upstream gets no new work") {
		return ladder, Refuse{Error: noPrimary(r.view)}
	}
	return ladder, r.candidates[at].uses[RungPrimary]
}

// place finds an upstream for a read whose need is known.
func (r *Router) place(now dfclock.Millis, ladder Ladder) (Ladder, Action) {
	if at := r.choose(now, &ladder.need, -1); at >= 0 {
		return r.use(ladder, at)
	}
	if r.lost(&ladder.need) {
		return r.afterLoss(now, ladder)
	}
	if !ladder.waited {
		if at, until := r.worthWaiting(now, &ladder); at >= 0 {
			// Further reports do not prolong the one wait.
			if ladder.waitUntil == 0 {
				ladder.waitUntil = until
			}
			ladder.step = stepWait
			return ladder, WaitReplica{Upstream: r.candidates[at].id, Position: ladder.need.last(), Until: ladder.waitUntil}
		}
	}
	at := r.primary()
	if at >= 0 && !r.candidates[at].out() && r.candidates[at].fresh(now, &ladder.need, &r.options) {
		return r.use(ladder, at)
	}
	if at := r.chooseEjected(now, &ladder.need); at >= 0 {
		return r.use(ladder, at)
	}
	return r.confirm(now, ladder)
}

// afterLoss handles a position that is gone for good. The position in a token
// was acknowledged, so its loss is reported. What a slot holder knows may belong
// to a write that was never acknowledged; a barrier then tells what the read
// must see. A barrier position may itself be cut by a promotion, since it covers
// writes that are not acknowledged yet; then another one is taken.
func (r *Router) afterLoss(now dfclock.Millis, ladder Ladder) (Ladder, Action) {
	token := need{maxAge: ladder.need.maxAge}
	token.positions[0] = ladder.need.positions[0]
	if r.lost(&token) {
		return ladder, discarded(ladder.need)
	}
	return r.barrier(now, ladder)
}

// use checks a choice against the view before it takes effect.
func (r *Router) use(ladder Ladder, at int) (Ladder, Action) {
	upstream := &r.view.Upstreams[at]
	verdict := ladder.need.locate(upstream.Status.History, upstream.Status.Applied)
	if !holds(verdict == dfposition.Contained, "the chosen upstream contains the required position") ||
		!holds(!leaving(*upstream), "a leaving upstream gets no new work") {
		return ladder, refuse(dfresult.NoFreshUpstream, "the choice of %s was refused by a check", upstream.ID)
	}
	ladder.step = stepDone
	return ladder, r.candidates[at].uses[ladder.rung]
}

// lost reports whether a log of the current term proves that a position is gone.
func (r *Router) lost(need *need) bool {
	for i := range r.candidates {
		status := &r.view.Upstreams[i].Status
		if r.view.Upstreams[i].ReportedAt > 0 && status.LogTerm == r.view.Term &&
			need.locate(status.History, status.Flushed) == dfposition.Discarded {
			return true
		}
	}
	return false
}

// worthWaiting returns the replica that is expected to reach the position
// soonest if that is soon enough, and the instant when the wait ends.
func (r *Router) worthWaiting(now dfclock.Millis, ladder *Ladder) (int, dfclock.Millis) {
	best, shortest := -1, r.options.WaitMax+1
	want := ladder.need.last()
	for i := range r.candidates {
		c := &r.candidates[i]
		if !c.replica || !c.open || c.out() || c.load.applyRate <= 0 || now-c.askedAt > r.options.MaxSilence {
			continue
		}
		if want.Term != r.view.Upstreams[i].Status.LogTerm || ladder.need.locate(c.history, c.applied) != dfposition.Behind {
			continue
		}
		missing := float64(want.Offset - c.applied)
		span := dfclock.Millis(missing/c.load.applyRate) - (now - c.askedAt) + r.options.ReportSpan/2
		if span < shortest {
			best, shortest = i, max(1, span)
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, ladder.until(now, min(2*shortest+r.options.ReportSpan, r.options.WaitMax))
}

// primary returns the place of the primary that may get reads, or -1.
func (r *Router) primary() int {
	for i := range r.candidates {
		if r.candidates[i].id == r.view.Primary && r.candidates[i].open && !r.candidates[i].replica {
			return i
		}
	}
	return -1
}

func (r *Router) find(id dfgroup.UpstreamID) *candidate {
	for i := range r.candidates {
		if r.candidates[i].id == id {
			return &r.candidates[i]
		}
	}
	return nil
}

func leaving(upstream dfgroup.Upstream) bool {
	return upstream.Leaving || upstream.Status.Leaving
}

func noPrimary(view dfgroup.View) *dfresult.Error {
	return dfresult.NewError(dfresult.NoPrimary, "group %s at term %d", view.ID, view.Term).WithRetryAfter(RetryAfterPromotion)
}

func late(now, deadline dfclock.Millis) Action {
	return refuse(dfresult.DeadlinePassed, "%s late", now-deadline)
}

func discarded(need need) Action {
	return refuse(dfresult.PositionDiscarded, "position %s was replaced by a later term", need.last())
}
