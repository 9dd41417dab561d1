package dfedge

import (
	"context"

	"dragonflygrade/dfconnection"
	"dragonflygrade/dfquota"
	"dragonflygrade/dfresult"
)

// ordersAdmission reports whether the host watches for callers that leave and spreads
// the callers that it refuses: where organisations are in force or the upstreams' health
// is part of the terms. e.mu must be held.
func (e *Edge) ordersAdmission() bool {
	return e.catalog.HasOrganisations() || e.options.OutlierEjection
}

// watchCaller sets departure for the current call. stop must be called before the next
// read from the caller. A caller that has closed only its sending side counts as gone
// too: its connection looks the same until something is sent to it.
func (sess *session) watchCaller() (stop func()) {
	e := sess.edge
	e.mu.Lock()
	watched := e.ordersAdmission()
	e.mu.Unlock()
	if !watched {
		sess.departure = nil
		return func() {}
	}
	sess.departure, stop = dfconnection.UntilClosed(sess.conn)
	return stop
}

// caller returns a context that ends when the request's caller leaves.
func (req *routeRequest) caller() context.Context {
	if req.departure == nil {
		return context.Background()
	}
	return req.departure
}

func errCallerLeft(req *routeRequest) *dfresult.Error {
	return dfresult.NewError(dfresult.CallerLeft, "service %s", req.service.name)
}

// await returns the decision on a waiting operation, or Withdrawn once departure ends.
func (q *quota) await(departure context.Context, organisation string, ticket dfquota.Ticket, decided chan dfquota.Verdict) dfquota.Verdict {
	select {
	case verdict := <-decided:
		return verdict
	case <-departure.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters[ticket] == nil {
		return <-decided
	}
	delete(q.waiters, ticket)
	q.host.Withdraw(organisation, ticket)
	return dfquota.Withdrawn{}
}
