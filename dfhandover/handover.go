// Package dfhandover decides when a successor may take over from a primary whose
// writes are held. The caller holds the writes, asks for the logs and carries out
// the change.
package dfhandover

import "dragonflygrade/dfclock"

// Timings bounds the parts of a handover.
type Timings struct {
	// InFlightTimeout bounds the wait for the statements that run when writes are held.
	InFlightTimeout dfclock.Millis
	// CatchUpTimeout bounds the wait for a successor to catch up after that.
	CatchUpTimeout dfclock.Millis
	// CatchUpPollInterval separates the polls of the logs.
	CatchUpPollInterval dfclock.Millis
}

// Decision is the next step of a handover.
type Decision interface{ decision() }

// Wait means that there is nothing to do yet.
type Wait struct{}

// Poll asks all members of the group for the ends of their logs.
type Poll struct{}

// Change makes the successor the primary.
type Change struct{}

// Release ends the hold without a change, because no successor caught up.
type Release struct{}

func (Wait) decision()    {}
func (Poll) decision()    {}
func (Change) decision()  {}
func (Release) decision() {}

// Handover is the state of one handover. It is immutable; the zero value is none.
type Handover struct {
	timings Timings
	heldAt  dfclock.Millis
	// drainedAt is when the running statements had finished or timed out, if drained is
	// true. Logs that are asked for later contain every commit that was acknowledged.
	drainedAt dfclock.Millis
	drained   bool
	polledAt  dfclock.Millis
}

// New returns a handover whose writes are held since now.
func New(now dfclock.Millis, timings Timings) Handover {
	return Handover{timings: timings, heldAt: now}
}

// DrainedAt returns the instant from which on requested logs are complete. ok is false
// while statements still run.
func (h Handover) DrainedAt() (at dfclock.Millis, ok bool) {
	return h.drainedAt, h.drained
}

// WithStep returns the handover after its next step, and that step. inFlight is the
// number of statements that still run, and caughtUp whether a successor has the whole
// log of the primary, as of DrainedAt or later.
func (h Handover) WithStep(now dfclock.Millis, inFlight int, caughtUp bool) (Handover, Decision) {
	if !h.drained {
		if inFlight > 0 && !now.Reached(h.heldAt.Add(h.timings.InFlightTimeout)) {
			return h, Wait{}
		}
		h.drained, h.drainedAt, h.polledAt = true, now, now
		return h, Poll{}
	}
	switch {
	case caughtUp:
		return h, Change{}
	case now.Reached(h.drainedAt.Add(h.timings.CatchUpTimeout)):
		return h, Release{}
	case now.Reached(h.polledAt.Add(h.timings.CatchUpPollInterval)):
		h.polledAt = now
		return h, Poll{}
	}
	return h, Wait{}
}
