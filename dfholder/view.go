package dfholder

import (
	"context"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

func (h *Holder) remember(u *unit) {
	h.unitsMu.Lock()
	defer h.unitsMu.Unlock()
	h.units[u] = struct{}{}
}

func (h *Holder) forget(u *unit) {
	h.unitsMu.Lock()
	defer h.unitsMu.Unlock()
	delete(h.units, u)
}

// viewChanged ends what still runs at a replaced primary. It can't be
// acknowledged any more, and a paused primary would hold its callers until
// their deadlines.
func (h *Holder) viewChanged(view dfgroup.View) {
	h.tellPools(view)
	h.paceWrites(view.Primary != "")
	if view.Primary == "" {
		return
	}
	h.unitsMu.Lock()
	defer h.unitsMu.Unlock()
	for u := range h.units {
		if u.term < view.Term {
			u.conn.Close()
		}
	}
	for w := range h.waits {
		if w.term < view.Term {
			w.cancel()
		}
	}
}

// paceWrites keeps writes waiting while there is no primary, and lets them go on
// at a rising rate afterwards, so that a new primary is not flooded.
func (h *Holder) paceWrites(hasPrimary bool) {
	switch {
	case !hasPrimary && !h.held:
		h.writes.hold()
	case hasPrimary && h.held:
		h.writes.release()
	}
	h.held = !hasPrimary
}

// tellPools passes on which upstreams are seen not to answer.
func (h *Holder) tellPools(view dfgroup.View) {
	for _, upstream := range view.Upstreams {
		pool := h.pools[upstream.ID]
		if pool != nil && upstream.Ejected != h.down[upstream.ID] {
			h.down[upstream.ID] = upstream.Ejected
			pool.SetReachable(!upstream.Ejected)
		}
	}
}

// replaced reports whether there is a primary of a later term.
func (h *Holder) replaced(term dfposition.Term) bool {
	view := h.watcher.View()
	return view.Primary != "" && view.Term > term
}

// wait is a write that waits for a connection to the primary of a term.
type wait struct {
	term   dfposition.Term
	cancel context.CancelFunc
}

// connection waits for a connection. A write stops waiting when its primary was
// replaced, because it can only run at the next one.
func (h *Holder) connection(ctx context.Context, request dfunit.Request, chosen choice) (*dfupstream.Conn, error) {
	pool := h.pools[chosen.upstream.ID]
	if request.Class != dfunit.ClassWrite {
		return pool.Get(ctx, request.Deadline, request.Priority)
	}
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &wait{term: chosen.term, cancel: cancel}
	h.unitsMu.Lock()
	h.waits[w] = struct{}{}
	h.unitsMu.Unlock()
	if h.replaced(chosen.term) {
		cancel()
	}
	conn, err := pool.Get(bounded, request.Deadline, request.Priority)
	h.unitsMu.Lock()
	delete(h.waits, w)
	h.unitsMu.Unlock()
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return nil, dfresult.NewError(dfresult.TermSuperseded, "the primary was replaced")
	}
	return conn, err
}
