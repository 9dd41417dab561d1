package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// Tiers of fresh replicas, best first.
const (
	tierLocal = iota
	tierRemote
	tierBusy
	tiers
)

// choose returns the place of a fresh replica, or -1: an ejected one that is
// due for a probe, else the better of two random ones of the best tier.
func (r *Router) choose(now dfclock.Millis, need *need, except int) int {
	var places [maxUpstreams]uint8
	count, best := 0, tiers
	for i := range r.candidates {
		c := &r.candidates[i]
		if i == except || !c.replica || !c.fresh(now, need, &r.options) {
			continue
		}
		r.judgeSilence(now, i)
		if c.out() {
			if r.probe(now, c) {
				return i
			}
			continue
		}
		tier := r.tier(c)
		if tier < best {
			best, count = tier, 0
		}
		if tier == best {
			places[count] = uint8(i)
			count++
		}
	}
	return r.better(places[:count])
}

func (r *Router) tier(c *candidate) int {
	if r.options.Busy > 0 && c.load.outstanding >= r.options.Busy {
		return tierBusy
	}
	if c.local {
		return tierLocal
	}
	return tierRemote
}

// better compares two random places.
func (r *Router) better(places []uint8) int {
	switch len(places) {
	case 0:
		return -1
	case 1:
		return int(places[0])
	}
	first := r.source.IntN(len(places))
	second := r.source.IntN(len(places) - 1)
	if second >= first {
		second++
	}
	one, other := int(places[first]), int(places[second])
	if r.candidates[other].score() < r.candidates[one].score() {
		return other
	}
	return one
}

// chooseEjected returns a fresh replica although it is ejected, because no other
// upstream is left.
func (r *Router) chooseEjected(now dfclock.Millis, need *need) int {
	best := -1
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.replica && c.out() && c.fresh(now, need, &r.options) &&
			(best < 0 || c.score() < r.candidates[best].score()) {
			best = i
		}
	}
	return best
}

// Started records that a request was sent to the upstream.
func (r *Router) Started(now dfclock.Millis, id dfgroup.UpstreamID) {
	c := r.find(id)
	if c == nil {
		return
	}
	if c.load.outstanding == 0 {
		c.load.waitingSince = now
	}
	c.load.outstanding++
}

// Finished records the end of a request. ok is false if the connection failed
// or was silent; an error of the statement is no failure of the upstream.
func (r *Router) Finished(now dfclock.Millis, id dfgroup.UpstreamID, latency dfclock.Millis, ok bool) {
	c := r.find(id)
	if c == nil {
		return
	}
	c.load.outstanding = max(0, c.load.outstanding-1)
	c.load.waitingSince = now
	if c.load.latency == 0 || c.load.ejectedUntil > 0 {
		// A probe tells how the upstream is now.
		c.load.latency = float64(latency)
	}
	c.load.latency += latencyWeight * (float64(latency) - c.load.latency)
	if !ok {
		c.load.failures++
		if c.load.failures >= failuresToEject || c.load.ejectedUntil > 0 {
			r.eject(now, c)
		}
		return
	}
	c.load.failures = 0
	if r.slow(c) {
		r.eject(now, c)
		return
	}
	c.load.ejectedUntil, c.load.ejection = 0, 0
}

// slow reports whether another open upstream is much faster.
func (r *Router) slow(c *candidate) bool {
	if c.load.latency <= float64(SlowFloor) {
		return false
	}
	for i := range r.candidates {
		other := &r.candidates[i]
		if other.id != c.id && other.open && !other.out() && other.load.latency*slowRatio < c.load.latency {
			return true
		}
	}
	return false
}

// judgeSilence ejects an upstream that owes answers for too long.
func (r *Router) judgeSilence(now dfclock.Millis, at int) {
	c := &r.candidates[at]
	if c.load.outstanding > 0 && c.load.ejectedUntil == 0 && now-c.load.waitingSince > r.options.SilentAfter {
		r.eject(now, c)
	}
}

// eject takes an upstream out for a span that doubles each time. The last one
// that is left stays.
func (r *Router) eject(now dfclock.Millis, c *candidate) {
	if c.load.ejectedUntil == 0 && !r.anotherLeft(c) {
		return
	}
	c.load.ejection = min(max(firstEjection, 2*c.load.ejection), maxEjection)
	c.load.ejectedUntil = now.Add(c.load.ejection)
	c.load.failures = 0
}

func (r *Router) anotherLeft(c *candidate) bool {
	for i := range r.candidates {
		other := &r.candidates[i]
		if other.id != c.id && other.open && !other.out() {
			return true
		}
	}
	return false
}

// probe lets one request through to an ejected upstream whose span has passed.
// The next one waits for another span, in case this one is never answered. An
// upstream that the view marks as ejected is probed by others.
func (r *Router) probe(now dfclock.Millis, c *candidate) bool {
	if c.ejected || now < c.load.ejectedUntil {
		return false
	}
	c.load.ejectedUntil = now.Add(max(firstEjection, c.load.ejection))
	return true
}

// HedgeAfter returns after which span without an answer a read at the upstream
// is worth sending a second time.
func (r *Router) HedgeAfter(id dfgroup.UpstreamID) dfclock.Millis {
	c := r.find(id)
	if c == nil {
		return hedgeAfterFloor
	}
	return max(hedgeAfterFloor, dfclock.Millis(hedgeAfterRatio*c.load.latency))
}

// Hedge returns a second replica for a read that was routed to the first one,
// if the budget permits.
func (r *Router) Hedge(now dfclock.Millis, ladder Ladder, first dfgroup.UpstreamID) (Action, bool) {
	if r.hedges < 1 || ladder.step != stepDone || ladder.rung == 0 || now >= ladder.deadline {
		return nil, false
	}
	except := -1
	for i := range r.candidates {
		if r.candidates[i].id == first {
			except = i
		}
	}
	at := r.choose(now, &ladder.need, except)
	if at < 0 {
		return nil, false
	}
	_, action := r.use(ladder, at)
	if _, usable := action.(UseUpstream); !usable {
		return nil, false
	}
	r.hedges--
	return action, true
}
