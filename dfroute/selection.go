package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// Tiers of replicas that satisfy a read, best first.
const (
	tierLocal = iota
	tierRemote
	tierBusy
	tierCount
)

// chooseReplica returns the index of a replica that satisfies the requirement, or
// -1. An ejected replica that is due for a probe comes first, then the less loaded
// of two random replicas of the best tier.
func (r *Router) chooseReplica(now dfclock.Millis, required *requirement, exclude int) int {
	var indices [maxUpstreams]uint8
	count, bestTier := 0, tierCount
	for i := range r.candidates {
		c := &r.candidates[i]
		if i == exclude || !c.replica || !c.satisfies(now, required, &r.options) {
			continue
		}
		r.ejectIfUnresponsive(now, i)
		if c.isEjected() {
			if r.admitProbe(now, c) {
				return i
			}
			continue
		}
		tier := r.tier(c)
		if tier < bestTier {
			bestTier, count = tier, 0
		}
		if tier == bestTier {
			indices[count] = uint8(i)
			count++
		}
	}
	return r.pickLessLoaded(indices[:count])
}

func (r *Router) tier(c *candidate) int {
	if r.options.BusyThreshold > 0 && c.load.outstanding >= r.options.BusyThreshold {
		return tierBusy
	}
	if c.local {
		return tierLocal
	}
	return tierRemote
}

// pickLessLoaded returns the index with the lower score of two random candidates,
// or -1 if there is none.
func (r *Router) pickLessLoaded(indices []uint8) int {
	switch len(indices) {
	case 0:
		return -1
	case 1:
		return int(indices[0])
	}
	first := r.random.IntN(len(indices))
	second := r.random.IntN(len(indices) - 1)
	if second >= first {
		second++
	}
	one, other := int(indices[first]), int(indices[second])
	if r.candidates[other].score() < r.candidates[one].score() {
		return other
	}
	return one
}

// chooseEjected returns the index of the ejected replica with the lowest score that
// satisfies the requirement, or -1. It is used when no other upstream is left.
func (r *Router) chooseEjected(now dfclock.Millis, required *requirement) int {
	best := -1
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.replica && c.isEjected() && c.satisfies(now, required, &r.options) &&
			(best < 0 || c.score() < r.candidates[best].score()) {
			best = i
		}
	}
	return best
}

// Started records that a request was sent to an upstream.
func (r *Router) Started(now dfclock.Millis, id dfgroup.UpstreamID) {
	c := r.findCandidate(id)
	if c == nil {
		return
	}
	if c.load.outstanding == 0 {
		c.load.noResponseSince = now
	}
	c.load.outstanding++
}

// Finished records the end of a request. ok is false if the connection failed or
// timed out. A statement error does not count as a failure of the upstream.
func (r *Router) Finished(now dfclock.Millis, id dfgroup.UpstreamID, latency dfclock.Millis, ok bool) {
	c := r.findCandidate(id)
	if c == nil {
		return
	}
	c.load.outstanding = max(0, c.load.outstanding-1)
	c.load.noResponseSince = now
	if c.load.latency == 0 || c.load.ejectedUntil > 0 {
		// The first sample and the latency of a probe replace the average, because
		// older samples don't describe the upstream's present state.
		c.load.latency = float64(latency)
	}
	c.load.latency += latencyWeight * (float64(latency) - c.load.latency)
	if !ok {
		c.load.consecutiveFailures++
		if c.load.consecutiveFailures >= failuresToEject || c.load.ejectedUntil > 0 {
			r.eject(now, c)
		}
		return
	}
	c.load.consecutiveFailures = 0
	if r.isSlow(c) {
		r.eject(now, c)
		return
	}
	c.load.ejectedUntil, c.load.ejectionPeriod = 0, 0
}

// isSlow reports whether another available upstream is faster by more than
// slowLatencyRatio.
func (r *Router) isSlow(c *candidate) bool {
	if c.load.latency <= float64(MinSlowLatency) {
		return false
	}
	for i := range r.candidates {
		other := &r.candidates[i]
		if other.id != c.id && other.available && !other.isEjected() && other.load.latency*slowLatencyRatio < c.load.latency {
			return true
		}
	}
	return false
}

// ejectIfUnresponsive ejects an upstream whose outstanding requests have had no
// response for longer than ResponseTimeout.
func (r *Router) ejectIfUnresponsive(now dfclock.Millis, index int) {
	c := &r.candidates[index]
	if c.load.outstanding > 0 && c.load.ejectedUntil == 0 && now-c.load.noResponseSince > r.options.ResponseTimeout {
		r.eject(now, c)
	}
}

// eject ejects an upstream for a period that doubles each time. The last upstream
// that is not ejected is kept.
func (r *Router) eject(now dfclock.Millis, c *candidate) {
	if c.load.ejectedUntil == 0 && !r.hasAlternative(c) {
		return
	}
	c.load.ejectionPeriod = min(max(minEjectionPeriod, 2*c.load.ejectionPeriod), maxEjectionPeriod)
	c.load.ejectedUntil = now.Add(c.load.ejectionPeriod)
	c.load.consecutiveFailures = 0
}

func (r *Router) hasAlternative(c *candidate) bool {
	for i := range r.candidates {
		other := &r.candidates[i]
		if other.id != c.id && other.available && !other.isEjected() {
			return true
		}
	}
	return false
}

// admitProbe lets one request through to an ejected upstream whose ejection period
// has ended. The next probe is due one period later, in case this one gets no
// response. An upstream ejected by the view is probed by others, not by the router.
func (r *Router) admitProbe(now dfclock.Millis, c *candidate) bool {
	if c.ejectedByView || now < c.load.ejectedUntil {
		return false
	}
	c.load.ejectedUntil = now.Add(max(minEjectionPeriod, c.load.ejectionPeriod))
	return true
}

// HedgeDelay returns how long a read at the upstream may go without a response
// before it is worth sending a second time.
func (r *Router) HedgeDelay(id dfgroup.UpstreamID) dfclock.Millis {
	c := r.findCandidate(id)
	if c == nil {
		return minHedgeDelay
	}
	return max(minHedgeDelay, dfclock.Millis(hedgeLatencyRatio*c.load.latency))
}

// Hedge returns an action that sends a read to a second replica, other than first,
// if the budget allows it and such a replica satisfies the read.
func (r *Router) Hedge(now dfclock.Millis, state ReadState, first dfgroup.UpstreamID) (Action, bool) {
	if r.hedgeBudget < 1 || state.step != stepDone || state.rung == 0 || now >= state.deadline {
		return nil, false
	}
	exclude := -1
	for i := range r.candidates {
		if r.candidates[i].id == first {
			exclude = i
		}
	}
	index := r.chooseReplica(now, &state.required, exclude)
	if index < 0 {
		return nil, false
	}
	_, action := r.useCandidate(state, index)
	if _, usable := action.(UseUpstream); !usable {
		return nil, false
	}
	r.hedgeBudget--
	return action, true
}
