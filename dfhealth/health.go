// Package dfhealth judges the upstreams of one group from traffic, probes and
// the replicas' own reports.
package dfhealth

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// Verdict is the judgement on one upstream, from good to bad.
type Verdict int

// Verdicts.
const (
	// Healthy upstreams answer as usual.
	Healthy Verdict = iota + 1
	// Slow upstreams answer, but much later than usual.
	Slow
	// Suspect upstreams are silent or failed a connection; either alone may be
	// the fault of one connection or of this host.
	Suspect
	// Dead upstreams are silent, refuse fresh connections and, if primary, are
	// not heard by the replicas of a majority either.
	Dead
)

// String names the verdict.
func (v Verdict) String() string {
	switch v {
	case Healthy:
		return "healthy"
	case Slow:
		return "slow"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "invalid"
}

// Event is what the tracker learns of an upstream.
type Event interface{ event() }

// Answered is any answer on any connection, after the given span. A span of
// zero tells of an answer whose request time is not known.
type Answered struct {
	Upstream dfgroup.UpstreamID
	Span     dfclock.Millis
}

// Silent tells that a request on one connection outlived its bound.
type Silent struct{ Upstream dfgroup.UpstreamID }

// ConnectFailed tells that a fresh connection, begun at StartedAt, failed.
type ConnectFailed struct {
	Upstream  dfgroup.UpstreamID
	StartedAt dfclock.Millis
}

// Reported is an upstream's own report.
type Reported struct{ Status dfgroup.Status }

func (Answered) event()      {}
func (Silent) event()        {}
func (ConnectFailed) event() {}
func (Reported) event()      {}

// state is what is known of one upstream.
type state struct {
	// heardAt is the last answer on any connection.
	heardAt dfclock.Millis
	// mean and spread are smoothed answer times in sixteenths of a millisecond.
	mean, spread dfclock.Millis
	last         dfclock.Millis
	// refusedAt is the start of the last fresh connection that failed; it counts
	// only if it lies after heardAt.
	refusedAt  dfclock.Millis
	silent     bool
	status     dfgroup.Status
	reportedAt dfclock.Millis
}

// Tracker judges the upstreams of one group.
type Tracker struct {
	options   Options
	upstreams []dfgroup.UpstreamID
	states    map[dfgroup.UpstreamID]*state
}

const scale = 16

// NewTracker returns a tracker that counts silence from now.
func NewTracker(options Options, now dfclock.Millis, upstreams []dfgroup.UpstreamID) *Tracker {
	t := &Tracker{
		options:   options,
		upstreams: append([]dfgroup.UpstreamID(nil), upstreams...),
		states:    map[dfgroup.UpstreamID]*state{},
	}
	for _, id := range upstreams {
		t.states[id] = &state{
			heardAt: now, mean: options.FirstSpan * scale, spread: options.FirstSpan * scale / 2,
			refusedAt: -1, reportedAt: -1,
		}
	}
	return t
}

// Handle takes an event. Events of unknown upstreams change nothing.
func (t *Tracker) Handle(now dfclock.Millis, event Event) {
	switch e := event.(type) {
	case Answered:
		if s := t.states[e.Upstream]; s != nil {
			s.heard(now, e.Span)
		}
	case Silent:
		if s := t.states[e.Upstream]; s != nil {
			s.silent = true
		}
	case ConnectFailed:
		if s := t.states[e.Upstream]; s != nil {
			s.refusedAt = max(s.refusedAt, e.StartedAt)
		}
	case Reported:
		if s := t.states[e.Status.Upstream]; s != nil {
			s.heard(now, 0)
			s.status = e.Status
			s.reportedAt = now
		}
	}
}

// heard smooths answer times as TCP does: gains of 1/8 and 1/4.
func (s *state) heard(now, span dfclock.Millis) {
	s.heardAt = max(s.heardAt, now)
	s.silent = false
	if span <= 0 {
		return
	}
	s.last = span
	difference := span*scale - s.mean
	s.mean += difference / 8
	s.spread += (max(difference, -difference) - s.spread) / 4
}

// Bound returns the silence of an upstream that is no longer usual.
func (t *Tracker) Bound(id dfgroup.UpstreamID) dfclock.Millis {
	s := t.states[id]
	if s == nil {
		return t.options.SilenceCap
	}
	usual := t.options.ProbePeriod + (s.mean+t.options.SpreadFactor*s.spread)/scale
	return min(max(usual, t.options.SilenceFloor), t.options.SilenceCap)
}

// Verdict judges an upstream. The primary is the one that the caller believes
// in, or empty.
func (t *Tracker) Verdict(now dfclock.Millis, id, primary dfgroup.UpstreamID) Verdict {
	s := t.states[id]
	if s == nil {
		return Suspect
	}
	silent := now-s.heardAt >= t.Bound(id)
	refused := s.refusedAt >= s.heardAt
	switch {
	case silent && refused && (id != primary || t.confirmedDead(now, primary)):
		return Dead
	case silent || refused:
		return Suspect
	case s.silent || t.slow(s):
		return Slow
	}
	return Healthy
}

// Suspected reports whether an upstream is suspect or worse.
func (t *Tracker) Suspected(now dfclock.Millis) bool {
	for _, id := range t.upstreams {
		if t.Verdict(now, id, "") >= Suspect {
			return true
		}
	}
	return false
}

// NextSilence returns when the next upstream falls silent if no further event
// comes, or Never if all are silent.
func (t *Tracker) NextSilence(now dfclock.Millis) dfclock.Millis {
	next := dfclock.Never
	for _, id := range t.upstreams {
		if at := t.states[id].heardAt.Add(t.Bound(id)); !now.Reached(at) {
			next = min(next, at)
		}
	}
	return next
}

func (t *Tracker) slow(s *state) bool {
	return s.last >= t.options.SlowFloor && s.last*scale >= t.options.SlowFactor*s.mean
}

// confirmedDead reports whether a majority is in contact with this host and
// none of it hears the primary.
func (t *Tracker) confirmedDead(now dfclock.Millis, primary dfgroup.UpstreamID) bool {
	contact := 0
	for _, id := range t.upstreams {
		s := t.states[id]
		if id == primary || s.reportedAt < 0 || now-s.reportedAt > t.options.ReportAge {
			continue
		}
		contact++
		if s.status.Following == primary && s.status.PrimarySilence < t.options.ReplicaSilence {
			return false
		}
	}
	return contact > len(t.upstreams)/2
}

// Ejected returns the upstreams that get no ordinary work. At least one
// upstream always remains, because a wrong verdict on all would stop service.
func (t *Tracker) Ejected(now dfclock.Millis, primary dfgroup.UpstreamID) map[dfgroup.UpstreamID]bool {
	ejected := map[dfgroup.UpstreamID]bool{}
	var latest dfgroup.UpstreamID
	for _, id := range t.upstreams {
		if t.Verdict(now, id, primary) >= Suspect {
			ejected[id] = true
		}
		if latest == "" || t.states[id].heardAt > t.states[latest].heardAt {
			latest = id
		}
	}
	if len(ejected) == len(t.upstreams) {
		delete(ejected, latest)
	}
	return ejected
}
