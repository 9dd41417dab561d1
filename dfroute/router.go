// Package dfroute chooses the upstream that runs a request: for a write the
// primary, for a read an upstream whose data is fresh enough.
//
// A read is routed in up to five steps, called rungs, from the cheapest to the most
// expensive. They establish which log positions the read has to see: from the
// caller's token, from the host's own knowledge, from the knowledge of other slot
// holders, or from a barrier. The last rung reads from a confirmed primary.
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
	random     *rand.Rand
	view       dfgroup.View
	freshness  FreshnessHistory
	// candidates has the upstreams of the view in the same order, so that an index
	// is valid in both.
	candidates []candidate
	// hedgeBudget is the number of reads that may be hedged now;
	// 0 <= hedgeBudget <= hedgeBurst.
	hedgeBudget float64
}

// New returns a router for a host in the data centre. random is the source of
// random choices between replicas.
func New(dataCentre string, options Options, random *rand.Rand) *Router {
	return &Router{dataCentre: dataCentre, options: options, random: random}
}

// SetView replaces the view of the group by a newer one.
func (r *Router) SetView(view dfgroup.View) {
	r.view = view
	r.freshness = r.freshness.With(view)
	next := make([]candidate, 0, len(view.Upstreams))
	for i, upstream := range view.Upstreams {
		if i == maxUpstreams {
			break
		}
		next = append(next, newCandidate(upstream, r.dataCentre, r.findCandidate(upstream.ID), r.freshness))
	}
	r.candidates = next
}

// View returns the current view of the group.
func (r *Router) View() dfgroup.View {
	return r.view
}

// Write returns the action for a write: it runs on the primary of the highest
// known term, or is refused.
func (r *Router) Write() Action {
	for i := range r.candidates {
		c := &r.candidates[i]
		status := &r.view.Upstreams[i].Status
		if c.id != r.view.Primary || !c.available || status.Role != dfgroup.RolePrimary || status.Accepted != r.view.Term {
			continue
		}
		if !checkInvariant(!isLeaving(r.view.Upstreams[i]), "a leaving upstream gets no new work") {
			break
		}
		return c.actions[0]
	}
	return Refuse{Error: noPrimaryError(r.view)}
}

// Read starts the routing of a read. known must have been obtained after the read
// arrived. A read served by RungToken or RungKnown does not allocate.
func (r *Router) Read(now dfclock.Millis, request *dfunit.Request, known dfsession.LookupResult) (ReadState, Action) {
	r.hedgeBudget = min(hedgeBurst, r.hedgeBudget+HedgeShare)
	state := ReadState{arrivedAt: request.ArrivedAt, deadline: request.Deadline, request: request.ID, known: known}
	state.required.maxAge = request.MaxAge
	state.required.positions[0] = request.Need
	if now >= request.Deadline {
		return state, deadlinePassed(now, request.Deadline)
	}
	switch {
	case request.Strong:
		return r.startBarrier(now, state)
	case request.TokenPresented:
		// Writes of the caller on other connections are included if this host knows
		// them.
		state.required.positions[1] = known.Position
		state.rung = RungToken
	case known.Complete:
		state.required.positions[1] = known.Position
		state.required.positions[2] = known.Watermark
		state.rung = RungKnown
	case known.PeersSuffice && len(known.Missing) > 0:
		state.step = stepPeers
		return state, AskPeers{Peers: known.Missing, Until: state.deadlineAfter(now, r.options.PeerTimeout)}
	default:
		return r.startBarrier(now, state)
	}
	return r.selectUpstream(now, state)
}

// Continue resumes the routing of a read with the result of its last action.
func (r *Router) Continue(now dfclock.Millis, state ReadState, event Event) (ReadState, Action) {
	if now >= state.deadline {
		return state, deadlinePassed(now, state.deadline)
	}
	switch state.step {
	case stepPeers:
		return r.afterPeers(now, state, event)
	case stepBarrier:
		return r.afterBarrier(now, state, event)
	case stepWait:
		state.waitedForReplica = state.waitedForReplica || now >= state.waitUntil
		if _, timedOut := event.(TimedOut); timedOut {
			state.waitedForReplica = true
		}
		return r.selectUpstream(now, state)
	case stepConfirm:
		return r.afterConfirm(state, event)
	}
	return state, refuse(dfresult.NoFreshUpstream, "the read has already been routed")
}

func (r *Router) afterPeers(now dfclock.Millis, state ReadState, event Event) (ReadState, Action) {
	answer, answered := event.(PeersAnswered)
	if !answered || !answer.All || len(answer.Positions) < len(state.known.Missing) {
		return r.startBarrier(now, state)
	}
	position := state.known.Position
	for _, peerPosition := range answer.Positions {
		position = position.Max(peerPosition)
	}
	state.required.positions[1] = position
	state.required.positions[2] = state.known.Watermark
	state.rung = RungPeers
	return r.selectUpstream(now, state)
}

// startBarrier starts RungBarrier.
func (r *Router) startBarrier(now dfclock.Millis, state ReadState) (ReadState, Action) {
	if r.view.Primary == "" {
		return state, Refuse{Error: noPrimaryError(r.view)}
	}
	state.step = stepBarrier
	return state, TakeBarrier{Until: state.deadlineAfter(now, r.options.BarrierTimeout)}
}

func (r *Router) afterBarrier(now dfclock.Millis, state ReadState, event Event) (ReadState, Action) {
	reached, ok := event.(BarrierReached)
	if !ok {
		return r.startConfirm(now, state)
	}
	if !checkInvariant(reached.StartedAt >= state.arrivedAt, "a barrier starts after the read that uses it arrived") {
		return r.startConfirm(now, state)
	}
	state.required.positions[1] = reached.Position
	state.required.positions[2] = dfposition.Position{}
	state.required.maxAgeProven = true
	state.barrier = reached
	state.rung = RungBarrier
	return r.selectUpstream(now, state)
}

// startConfirm starts RungPrimary. No confirmation is requested if the read's
// barrier already confirmed the same primary.
func (r *Router) startConfirm(now dfclock.Millis, state ReadState) (ReadState, Action) {
	index := r.primaryIndex()
	if index < 0 {
		return state, Refuse{Error: noPrimaryError(r.view)}
	}
	if state.required.maxAgeProven && state.barrier.Upstream == r.candidates[index].id {
		return r.afterConfirm(state, PrimaryConfirmed(state.barrier))
	}
	state.step = stepConfirm
	return state, ConfirmPrimary{
		Upstream: r.candidates[index].id,
		Term:     r.view.Term,
		Until:    state.deadlineAfter(now, r.options.ConfirmTimeout),
	}
}

func (r *Router) afterConfirm(state ReadState, event Event) (ReadState, Action) {
	confirmed, ok := event.(PrimaryConfirmed)
	index := r.primaryIndex()
	if !ok || index < 0 || r.candidates[index].id != confirmed.Upstream || confirmed.Position.Term != r.view.Term {
		return state, refuse(dfresult.NoFreshUpstream, "the primary was not confirmed")
	}
	if !checkInvariant(confirmed.StartedAt >= state.arrivedAt, "a primary is confirmed after the read arrived") {
		return state, refuse(dfresult.NoFreshUpstream, "the primary was confirmed too early")
	}
	history := r.candidates[index].history
	end := max(confirmed.Position.Offset, r.candidates[index].applied)
	switch state.required.locate(history, end) {
	case dfposition.Discarded:
		return state, positionDiscarded(state.required)
	case dfposition.Behind:
		return state, refuse(dfresult.NoFreshUpstream, "the primary's log ends at %s before %s", confirmed.Position, state.required.highest())
	}
	state.rung, state.step = RungPrimary, stepDone
	if !checkInvariant(!isLeaving(r.view.Upstreams[index]), "a leaving upstream gets no new work") {
		return state, Refuse{Error: noPrimaryError(r.view)}
	}
	return state, r.candidates[index].actions[RungPrimary]
}

// selectUpstream chooses an upstream for a read whose requirement is known, or the
// next step if none satisfies it.
func (r *Router) selectUpstream(now dfclock.Millis, state ReadState) (ReadState, Action) {
	if index := r.chooseReplica(now, &state.required, -1); index >= 0 {
		return r.useCandidate(state, index)
	}
	if r.isDiscarded(&state.required) {
		return r.afterDiscard(now, state)
	}
	if !state.waitedForReplica {
		if index, until := r.replicaWorthWaiting(now, &state); index >= 0 {
			// The end of the wait is set once; later reports don't extend it.
			if state.waitUntil == 0 {
				state.waitUntil = until
			}
			state.step = stepWait
			return state, WaitReplica{Upstream: r.candidates[index].id, Position: state.required.highest(), Until: state.waitUntil}
		}
	}
	index := r.primaryIndex()
	if index >= 0 && !r.candidates[index].isEjected() && r.candidates[index].satisfies(now, &state.required, &r.options) {
		return r.useCandidate(state, index)
	}
	if index := r.chooseEjected(now, &state.required); index >= 0 {
		return r.useCandidate(state, index)
	}
	return r.startConfirm(now, state)
}

// afterDiscard handles a required position that a later term discarded. The
// position in a token was acknowledged, so its loss is reported to the caller. A
// position known to a slot holder may belong to a write that was never
// acknowledged, so a barrier determines what the read must see instead. A barrier
// position covers unacknowledged writes and may itself be discarded by a
// promotion; another barrier is then taken.
func (r *Router) afterDiscard(now dfclock.Millis, state ReadState) (ReadState, Action) {
	tokenOnly := requirement{maxAge: state.required.maxAge}
	tokenOnly.positions[0] = state.required.positions[0]
	if r.isDiscarded(&tokenOnly) {
		return state, positionDiscarded(state.required)
	}
	return r.startBarrier(now, state)
}

// useCandidate returns the action for the chosen candidate after checking the
// choice against the view.
func (r *Router) useCandidate(state ReadState, index int) (ReadState, Action) {
	upstream := &r.view.Upstreams[index]
	verdict := state.required.locate(upstream.Status.History, upstream.Status.Applied)
	if !checkInvariant(verdict == dfposition.Contained, "the chosen upstream contains the required position") ||
		!checkInvariant(!isLeaving(*upstream), "a leaving upstream gets no new work") {
		return state, refuse(dfresult.NoFreshUpstream, "the choice of %s was refused by a check", upstream.ID)
	}
	state.step = stepDone
	return state, r.candidates[index].actions[state.rung]
}

// isDiscarded reports whether a log of the current term proves that a required
// position was discarded.
func (r *Router) isDiscarded(required *requirement) bool {
	for i := range r.candidates {
		status := &r.view.Upstreams[i].Status
		if r.view.Upstreams[i].ReportedAt > 0 && status.LogTerm == r.view.Term &&
			required.locate(status.History, status.Flushed) == dfposition.Discarded {
			return true
		}
	}
	return false
}

// replicaWorthWaiting returns the index of the replica that is expected to reach
// the position first and the end of the wait, or -1 if none is expected to reach it
// within MaxReplicaWait.
func (r *Router) replicaWorthWaiting(now dfclock.Millis, state *ReadState) (int, dfclock.Millis) {
	best, shortestWait := -1, r.options.MaxReplicaWait+1
	target := state.required.highest()
	for i := range r.candidates {
		c := &r.candidates[i]
		if !c.replica || !c.available || c.isEjected() || c.load.applyRate <= 0 || now-c.askedAt > r.options.MaxReportAge {
			continue
		}
		if target.Term != r.view.Upstreams[i].Status.LogTerm || state.required.locate(c.history, c.applied) != dfposition.Behind {
			continue
		}
		missing := float64(target.Offset - c.applied)
		wait := dfclock.Millis(missing/c.load.applyRate) - (now - c.askedAt) + r.options.ReportInterval/2
		if wait < shortestWait {
			best, shortestWait = i, max(1, wait)
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, state.deadlineAfter(now, min(2*shortestWait+r.options.ReportInterval, r.options.MaxReplicaWait))
}

// primaryIndex returns the index of the primary if it may get reads, or -1.
func (r *Router) primaryIndex() int {
	for i := range r.candidates {
		if r.candidates[i].id == r.view.Primary && r.candidates[i].available && !r.candidates[i].replica {
			return i
		}
	}
	return -1
}

func (r *Router) findCandidate(id dfgroup.UpstreamID) *candidate {
	for i := range r.candidates {
		if r.candidates[i].id == id {
			return &r.candidates[i]
		}
	}
	return nil
}

func isLeaving(upstream dfgroup.Upstream) bool {
	return upstream.Leaving || upstream.Status.Leaving
}

func noPrimaryError(view dfgroup.View) *dfresult.Error {
	return dfresult.NewError(dfresult.NoPrimary, "group %s at term %d", view.ID, view.Term).WithRetryAfter(RetryAfterPromotion)
}

func deadlinePassed(now, deadline dfclock.Millis) Action {
	return refuse(dfresult.DeadlinePassed, "%s late", now-deadline)
}

func positionDiscarded(required requirement) Action {
	return refuse(dfresult.PositionDiscarded, "position %s was replaced by a later term", required.highest())
}
