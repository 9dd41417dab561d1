package dfholder

import (
	"context"
	"time"

	"dragonflygrade/dfcontrol"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfunit"
)

// confirmLost queries the upstream over the control connection whether the statement
// of a silent connection is still running, and returns true if the connection is
// lost. A backend that is not active is queried twice, because the request or its
// response may still be in transit. previousChecks counts the earlier calls for the
// same batch.
func (u *unit) confirmLost(pid uint32, previousChecks int) bool {
	if previousChecks == 0 {
		u.pool.Doubt(u.conn)
	}
	if !u.isAnswerLost(pid) {
		return false
	}
	time.Sleep(backendRecheckDelay)
	return u.isAnswerLost(pid)
}

// isAnswerLost reports whether no response can be expected. If the upstream does not
// respond to status polls, a read is given up once the upstream is ejected, and a
// write waits until failure detection has decided about the primary.
func (u *unit) isAnswerLost(pid uint32) bool {
	if !u.holder.isReporting(u.upstream.ID) {
		seen, found := u.holder.watcher.View().Find(u.upstream.ID)
		return u.request.Class == dfunit.ClassRead && found && seen.Ejected
	}
	ctx, cancel := context.WithTimeout(u.holder.ctx, backendQueryTimeout)
	defer cancel()
	activity, err := u.holder.control.Activity(ctx, u.upstream.ID, pid, u.holder.ApplicationName())
	return err == nil && activity != dfcontrol.BackendActive
}

// isReporting reports whether an upstream responds to status polls. Queries to one
// that does not would delay the polls, on which failure detection depends.
func (h *Holder) isReporting(upstream dfgroup.UpstreamID) bool {
	seen, found := h.watcher.View().Find(upstream)
	return found && h.now().Since(seen.ReportedAt) <= maxReportAge
}

// terminateBackend terminates the backend of a silent connection. Otherwise it would
// keep its locks and count towards the upstream's connection limit.
func (h *Holder) terminateBackend(upstream dfgroup.UpstreamID, pid uint32) {
	if h.ctx.Err() != nil || !h.isReporting(upstream) {
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, terminateTimeout)
	defer cancel()
	if err := h.control.Terminate(ctx, upstream, pid, h.ApplicationName()); err != nil {
		h.log.Debug().Err(err).Str("Upstream", string(upstream)).Msg("holder: terminating the backend of a silent connection failed")
	}
}
