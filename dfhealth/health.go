// Package dfhealth detects failed and slow upstreams of one group from traffic,
// probes and the upstreams' status reports.
package dfhealth

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// State is the health of one upstream. Higher values are worse.
type State int

// States of an upstream.
const (
	// Healthy upstreams respond within their usual response time.
	Healthy State = iota + 1
	// Slow upstreams respond much later than usual, or a request timed out since
	// their last response.
	Slow
	// Suspect upstreams exceeded the silence timeout or failed a new connection.
	// Either alone may be a fault of one connection or of this host.
	Suspect
	// Dead upstreams exceeded the silence timeout and failed a new connection. A
	// primary is dead only if, in addition, a majority of the upstreams report
	// and none of them hears from it.
	Dead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
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

// Event is an observation of an upstream that Tracker.Handle takes.
type Event interface{ event() }

// Answered reports a response on any connection. ResponseTime is zero if the
// time of the request is not known.
type Answered struct {
	Upstream     dfgroup.UpstreamID
	ResponseTime dfclock.Millis
}

// RequestTimedOut reports that a request on one connection got no response in
// time.
type RequestTimedOut struct{ Upstream dfgroup.UpstreamID }

// ConnectFailed reports that a new connection, attempted at StartedAt, failed.
type ConnectFailed struct {
	Upstream  dfgroup.UpstreamID
	StartedAt dfclock.Millis
}

// Reported carries an upstream's status report.
type Reported struct{ Status dfgroup.Status }

func (Answered) event()        {}
func (RequestTimedOut) event() {}
func (ConnectFailed) event()   {}
func (Reported) event()        {}

// upstreamState holds the observations of one upstream.
type upstreamState struct {
	// lastResponseAt is the time of the last response on any connection.
	lastResponseAt dfclock.Millis
	// meanResponseTime and deviation are moving averages in units of
	// 1/fixedPointScale milliseconds.
	meanResponseTime, deviation dfclock.Millis
	lastResponseTime            dfclock.Millis
	// connectFailedAt is the start of the last connection attempt that failed. It
	// counts only if it is not before lastResponseAt.
	connectFailedAt dfclock.Millis
	requestTimedOut bool
	status          dfgroup.Status
	reportedAt      dfclock.Millis
}

// Tracker tracks the health of the upstreams of one group.
type Tracker struct {
	options   Options
	upstreams []dfgroup.UpstreamID
	states    map[dfgroup.UpstreamID]*upstreamState
}

// fixedPointScale keeps fractions of a millisecond in the moving averages.
const fixedPointScale = 16

// NewTracker returns a tracker that treats now as the time of every upstream's
// last response.
func NewTracker(options Options, now dfclock.Millis, upstreams []dfgroup.UpstreamID) *Tracker {
	t := &Tracker{
		options:   options,
		upstreams: append([]dfgroup.UpstreamID(nil), upstreams...),
		states:    map[dfgroup.UpstreamID]*upstreamState{},
	}
	for _, id := range upstreams {
		t.states[id] = &upstreamState{
			lastResponseAt:   now,
			meanResponseTime: options.InitialResponseTime * fixedPointScale,
			deviation:        options.InitialResponseTime * fixedPointScale / 2,
			connectFailedAt:  -1, reportedAt: -1,
		}
	}
	return t
}

// Handle updates the tracker with an event. Events of unknown upstreams are
// ignored.
func (t *Tracker) Handle(now dfclock.Millis, event Event) {
	switch e := event.(type) {
	case Answered:
		if s := t.states[e.Upstream]; s != nil {
			s.recordResponse(now, e.ResponseTime)
		}
	case RequestTimedOut:
		if s := t.states[e.Upstream]; s != nil {
			s.requestTimedOut = true
		}
	case ConnectFailed:
		if s := t.states[e.Upstream]; s != nil {
			s.connectFailedAt = max(s.connectFailedAt, e.StartedAt)
		}
	case Reported:
		if s := t.states[e.Status.Upstream]; s != nil {
			s.recordResponse(now, 0)
			s.status = e.Status
			s.reportedAt = now
		}
	}
}

// recordResponse updates the mean and the deviation of the response time with
// the gains of TCP's round-trip estimator, 1/8 and 1/4.
func (s *upstreamState) recordResponse(now, responseTime dfclock.Millis) {
	s.lastResponseAt = max(s.lastResponseAt, now)
	s.requestTimedOut = false
	if responseTime <= 0 {
		return
	}
	s.lastResponseTime = responseTime
	difference := responseTime*fixedPointScale - s.meanResponseTime
	s.meanResponseTime += difference / 8
	s.deviation += (max(difference, -difference) - s.deviation) / 4
}

// SilenceTimeout returns how long an upstream may go without a response before
// it is suspect.
func (t *Tracker) SilenceTimeout(id dfgroup.UpstreamID) dfclock.Millis {
	s := t.states[id]
	if s == nil {
		return t.options.MaxSilenceTimeout
	}
	timeout := t.options.ProbePeriod + (s.meanResponseTime+t.options.DeviationFactor*s.deviation)/fixedPointScale
	return min(max(timeout, t.options.MinSilenceTimeout), t.options.MaxSilenceTimeout)
}

// State returns the health of an upstream. primary is the primary as known to
// the caller, or empty.
func (t *Tracker) State(now dfclock.Millis, id, primary dfgroup.UpstreamID) State {
	s := t.states[id]
	if s == nil {
		return Suspect
	}
	silent := now-s.lastResponseAt >= t.SilenceTimeout(id)
	connectFailed := s.connectFailedAt >= s.lastResponseAt
	switch {
	case silent && connectFailed && (id != primary || t.majorityLostPrimary(now, primary)):
		return Dead
	case silent || connectFailed:
		return Suspect
	case s.requestTimedOut || t.isSlow(s):
		return Slow
	}
	return Healthy
}

// Suspected reports whether any upstream is suspect or dead.
func (t *Tracker) Suspected(now dfclock.Millis) bool {
	for _, id := range t.upstreams {
		if t.State(now, id, "") >= Suspect {
			return true
		}
	}
	return false
}

// NextSilenceTimeout returns when the next upstream exceeds its silence timeout
// if no further event arrives, or Never if all have exceeded it.
func (t *Tracker) NextSilenceTimeout(now dfclock.Millis) dfclock.Millis {
	next := dfclock.Never
	for _, id := range t.upstreams {
		if at := t.states[id].lastResponseAt.Add(t.SilenceTimeout(id)); !now.Reached(at) {
			next = min(next, at)
		}
	}
	return next
}

func (t *Tracker) isSlow(s *upstreamState) bool {
	return s.lastResponseTime >= t.options.MinSlowResponseTime && s.lastResponseTime*fixedPointScale >= t.options.SlowFactor*s.meanResponseTime
}

// majorityLostPrimary reports whether the upstreams with a recent report, without
// the primary, are a majority and none of them hears from the primary.
func (t *Tracker) majorityLostPrimary(now dfclock.Millis, primary dfgroup.UpstreamID) bool {
	reporting := 0
	for _, id := range t.upstreams {
		s := t.states[id]
		if id == primary || s.reportedAt < 0 || now-s.reportedAt > t.options.MaxReportAge {
			continue
		}
		reporting++
		if s.status.Following == primary && s.status.PrimarySilence < t.options.MinPrimarySilence {
			return false
		}
	}
	return reporting > len(t.upstreams)/2
}

// Ejected returns the upstreams that get no ordinary requests. The upstream with
// the most recent response is kept if all are suspect, because false positives
// on all of them would otherwise stop the service.
func (t *Tracker) Ejected(now dfclock.Millis, primary dfgroup.UpstreamID) map[dfgroup.UpstreamID]bool {
	ejected := map[dfgroup.UpstreamID]bool{}
	var mostRecent dfgroup.UpstreamID
	for _, id := range t.upstreams {
		if t.State(now, id, primary) >= Suspect {
			ejected[id] = true
		}
		if mostRecent == "" || t.states[id].lastResponseAt > t.states[mostRecent].lastResponseAt {
			mostRecent = id
		}
	}
	if len(ejected) == len(t.upstreams) {
		delete(ejected, mostRecent)
	}
	return ejected
}
