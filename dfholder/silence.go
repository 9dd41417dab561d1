package dfholder

import (
	"context"
	"time"

	"dragonflygrade/dfcontrol"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfunit"
)

// doubt asks the upstream over its control connection whether the statement of
// a silent connection still runs. It returns true if the connection is lost. A
// backend that is not active is asked about twice, because an answer or the
// request itself may still be on its way.
func (u *unit) doubt(pid uint32, count int) bool {
	if count == 0 {
		u.pool.Doubt(u.conn)
	}
	if !u.seemsLost(pid) {
		return false
	}
	time.Sleep(doubtPause)
	return u.seemsLost(pid)
}

// seemsLost reports whether no answer can be expected. While the upstream itself
// is in trouble, a read goes elsewhere once the upstream gets no ordinary work
// any more, and a write waits for the decision on the primary.
func (u *unit) seemsLost(pid uint32) bool {
	if !u.holder.reports(u.upstream.ID) {
		seen, found := u.holder.watcher.View().Find(u.upstream.ID)
		return u.request.Class == dfunit.ClassRead && found && seen.Ejected
	}
	ctx, cancel := context.WithTimeout(u.holder.ctx, doubtTimeout)
	defer cancel()
	activity, err := u.holder.control.Activity(ctx, u.upstream.ID, pid, u.holder.ApplicationName())
	return err == nil && activity != dfcontrol.BackendActive
}

// reports tells whether an upstream answers status polls. Questions to one that
// does not would hold up the polls, on which failure detection depends.
func (h *Holder) reports(upstream dfgroup.UpstreamID) bool {
	seen, found := h.watcher.View().Find(upstream)
	return found && h.now().Since(seen.ReportedAt) <= reportAge
}

// terminate ends the backend of a connection that went silent. It would hold
// its locks and its place within the connection limit otherwise.
func (h *Holder) terminate(upstream dfgroup.UpstreamID, pid uint32) {
	if h.ctx.Err() != nil || !h.reports(upstream) {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, terminateTimeout)
	defer cancel()
	if err := h.control.Terminate(ctx, upstream, pid, h.ApplicationName()); err != nil {
		h.log.Debug().Err(err).Str("Upstream", string(upstream)).Msg("holder: silent backend not ended")
	}
}
