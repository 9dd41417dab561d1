package dfholder

import (
	"context"

	"dragonflygrade/dfadmission"
	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// newAdmission returns the admission of reads or of writes. The two have separate
// queues because they use different connections: writes that wait for the primary
// must not delay reads at replicas.
func newAdmission(limit int, now func() dfclock.Millis) *dfadmission.Controller {
	options := dfadmit.DefaultOptions()
	options.Limit = limit
	return dfadmission.New(options, now)
}

// admitRequest waits until the request may start at this holder.
func (h *Holder) admitRequest(ctx context.Context, request dfunit.Request) (dfadmission.Release, error) {
	admission := dfadmit.Request{
		Caller:   request.Caller,
		Priority: request.Priority,
		Write:    request.Class == dfunit.ClassWrite,
		Deadline: request.Deadline,
	}
	if request.Class == dfunit.ClassRead {
		return h.reads.Admit(ctx, admission)
	}
	if h.watcher.View().Primary == "" {
		// Another slot holder may see a primary that this one cannot reach.
		admission.Deadline = min(admission.Deadline, h.now().Add(maxPrimaryWait))
	}
	release, err := h.writes.Admit(ctx, admission)
	if dfresult.HasCode(err, dfresult.DeadlinePassed) && admission.Deadline != request.Deadline {
		return nil, dfresult.NewError(dfresult.NoPrimary, "database %s", h.options.Group).WithRetryAfter(retryAfter)
	}
	return release, err
}
