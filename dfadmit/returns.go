package dfadmit

import (
	"math"

	"dragonflygrade/dfclock"
)

const (
	// MaxReturnDelay is the latest return of a caller whose remaining time is unknown. In
	// the simulation at 3 times the capacity, 200 to 600 ms served fewer callers.
	MaxReturnDelay = dfclock.Second
	// phaseStep is the golden ratio's fraction. Multiples of it, modulo 1, are spread
	// evenly however many there are.
	phaseStep = 0.6180339887498949
)

// Returns decides when the callers come back that were refused for one upstream, service
// or limit: one after the other, in the order of their refusals, as fast as they can be
// served. If there are more than can return before the latest time, further ones share
// the same span in a new round. It is not safe for concurrent use.
type Returns struct {
	// nextAt is when the next caller returns, in milliseconds. Callers may be served
	// faster than one per millisecond.
	nextAt float64
	// phase is the part of the first interval of a round after which its first caller
	// returns, from 0 to 1. It differs between the hosts that refuse at the same time.
	phase float64
}

// NewReturns returns a decision without callers. Hosts that refuse callers of the same
// upstream choose phases at random, from 0 to 1.
func NewReturns(phase float64) *Returns {
	return &Returns{phase: phase}
}

// After returns the time after which a caller comes back that is refused now. It can be
// served at earliest, further ones after an interval in milliseconds each, and no caller
// comes back after latest. Callers that can be served later only come back in the second
// half of the span.
func (r *Returns) After(now, earliest, latest dfclock.Millis, interval float64) dfclock.Millis {
	latest = max(latest, 1)
	earliest = max(earliest, 1)
	if earliest > latest {
		earliest = (latest + 1) / 2
	}
	interval = math.Max(0, math.Min(interval, float64(latest-earliest)))
	at := r.nextAt
	first := float64(now+earliest) + r.phase*interval
	if at < first || at > float64(now+latest) {
		at = first
		r.phase = math.Mod(r.phase+phaseStep, 1)
	}
	r.nextAt = at + interval
	return min(max(dfclock.Millis(math.Ceil(at))-now, earliest), latest)
}

// LatestReturn returns the latest time after which a caller comes back that has the
// given time left. Half of it remains for the answer.
func LatestReturn(remaining dfclock.Millis) dfclock.Millis {
	return max(remaining/2, 1)
}

// FitReturn returns the time after which a caller with the given time left comes back
// that was refused elsewhere, where this time is not known. A time beyond the latest is
// reflected at it, so that callers stay spread.
func FitReturn(after, remaining dfclock.Millis) dfclock.Millis {
	after, latest := max(after, 1), LatestReturn(remaining)
	if after <= latest {
		return after
	}
	return latest - (after-latest)%latest
}
