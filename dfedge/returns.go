package dfedge

import (
	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
)

// returnWork is the time of a typical statement at a slot, with its round trip. It sets
// how fast callers may return to a service, whose statements this host sees few of.
const returnWork = 20 * dfclock.Millisecond

// returnAfter returns when a caller comes back that this host refuses and that can be
// served at earliest. All hosts refuse callers of the service, so each lets one return in
// the time in which the slots of an upstream run a statement for every host. e.mu must be
// held.
func (e *Edge) returnAfter(now dfclock.Millis, req *routeRequest, earliest dfclock.Millis) dfclock.Millis {
	s := req.service
	if !e.ordersAdmission() || s.returns == nil {
		return earliest
	}
	leader, _ := e.fleet.Find(s.leader)
	interval := float64(returnWork) * float64(e.neighbours.HostCount(now)) / float64(max(1, leader.Slots))
	return s.returns.After(now, earliest, dfadmit.LatestReturn(req.deadline-now), interval)
}

// returnUnderLimit does the same for an operation of an organisation that has reached its
// limit, which all hosts share.
func (e *Edge) returnUnderLimit(req *routeRequest, earliest dfclock.Millis) dfclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	organisation, ok := e.catalog.Organisation(req.organisation)
	if !ok || organisation.Rate <= 0 {
		return earliest
	}
	returns := e.limitReturns[organisation.Name]
	if returns == nil {
		if len(e.limitReturns) > len(e.catalog.Organisations()) {
			// Some belong to organisations that were removed.
			clear(e.limitReturns)
		}
		returns = dfadmit.NewReturns(e.random.Float64())
		e.limitReturns[organisation.Name] = returns
	}
	interval := float64(dfclock.Second) / organisation.Rate * float64(e.neighbours.HostCount(now))
	return returns.After(now, earliest, dfadmit.LatestReturn(req.deadline-now), interval)
}

// withReturn returns a refusal of the current call whose caller comes back in the first
// half of its remaining time. Refusals by carriers do not know that time, and some
// refusals have no time to come back.
func (sess *session) withReturn(err *dfresult.Error) *dfresult.Error {
	e := sess.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ordersAdmission() || sess.deadline == dfclock.Never {
		return err
	}
	now := e.options.Now()
	if err.RetryAfter > 0 {
		return err.WithRetryAfter(dfadmit.FitReturn(err.RetryAfter, sess.deadline-now))
	}
	s := e.services[sess.route.Service]
	if s == nil || !lacksCapacity(err) {
		return err
	}
	return err.WithRetryAfter(e.returnAfter(now, &routeRequest{service: s, deadline: sess.deadline}, refusedRetryDelay))
}

// lacksCapacity reports whether a refusal is one after which the caller may succeed later.
func lacksCapacity(err *dfresult.Error) bool {
	return dfresult.HasCode(err, dfresult.QueueFull, dfresult.DeadlinePassed, dfresult.NoPrimary, dfresult.NoFreshUpstream,
		dfresult.NoConnection, dfresult.ConnectionLimit, dfresult.WrongUpstream, dfresult.UpstreamRefused, dfresult.OverLimit)
}
