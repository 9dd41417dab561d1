package dfholder

import (
	"context"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

func (h *Holder) trackWrite(u *unit) {
	h.unitsMu.Lock()
	defer h.unitsMu.Unlock()
	h.writeUnits[u] = struct{}{}
}

func (h *Holder) untrackWrite(u *unit) {
	h.unitsMu.Lock()
	defer h.unitsMu.Unlock()
	delete(h.writeUnits, u)
}

// onViewChanged closes the connections of writes at a replaced primary. They can no
// longer be acknowledged, and a paused primary would block their callers until the
// deadline.
func (h *Holder) onViewChanged(view dfgroup.View) {
	h.updateReachability(view)
	h.updateWriteHold(view.Primary != "")
	if view.Primary == "" {
		return
	}
	h.unitsMu.Lock()
	defer h.unitsMu.Unlock()
	for u := range h.writeUnits {
		if u.term < view.Term {
			u.conn.Close()
		}
	}
	for w := range h.connectionWaits {
		if w.term < view.Term {
			w.cancel()
		}
	}
}

// updateWriteHold queues writes while there is no primary. Afterwards they are
// admitted at a rising rate, so that a new primary is not overloaded.
func (h *Holder) updateWriteHold(hasPrimary bool) {
	switch {
	case !hasPrimary && !h.writesHeld:
		h.writes.PauseWrites()
	case hasPrimary && h.writesHeld:
		h.writes.ResumeWrites()
	}
	h.writesHeld = !hasPrimary
}

// updateReachability sets the pools of ejected upstreams to unreachable.
func (h *Holder) updateReachability(view dfgroup.View) {
	for _, upstream := range view.Upstreams {
		pool := h.pools[upstream.ID]
		if pool != nil && upstream.Ejected != h.unreachable[upstream.ID] {
			h.unreachable[upstream.ID] = upstream.Ejected
			pool.SetReachable(!upstream.Ejected)
		}
	}
}

// isSuperseded reports whether there is a primary with a later term.
func (h *Holder) isSuperseded(term dfposition.Term) bool {
	view := h.watcher.View()
	return view.Primary != "" && view.Term > term
}

// connectionWait is a write that waits for a connection to the primary of term.
type connectionWait struct {
	term   dfposition.Term
	cancel context.CancelFunc
}

// acquireConnection waits for a connection to the target. A write stops waiting when
// its primary is replaced, because it can then run only at the new one.
func (h *Holder) acquireConnection(ctx context.Context, request dfunit.Request, target routeTarget) (*dfupstream.Conn, error) {
	pool := h.pools[target.upstream.ID]
	if request.Class != dfunit.ClassWrite {
		return pool.Get(ctx, request.Deadline, request.Priority)
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &connectionWait{term: target.term, cancel: cancel}
	h.unitsMu.Lock()
	h.connectionWaits[w] = struct{}{}
	h.unitsMu.Unlock()
	if h.isSuperseded(target.term) {
		cancel()
	}
	conn, err := pool.Get(waitCtx, request.Deadline, request.Priority)
	h.unitsMu.Lock()
	delete(h.connectionWaits, w)
	h.unitsMu.Unlock()
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		return nil, dfresult.NewError(dfresult.TermSuperseded, "the primary was replaced")
	}
	return conn, err
}
