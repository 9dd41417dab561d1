package dfedge

import (
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfquota"
	"dragonflygrade/dfresult"
)

// Guards against statements that are held until their deadline although the upstreams
// have no capacity for them, and against connections that broke and are taken for a
// lack of capacity, which would refuse a read that another upstream can serve.
func TestStatementIsRefusedWithoutCapacity(t *testing.T) {
	now := dfclock.Millis(1000)
	e := &Edge{options: Options{Now: func() dfclock.Millis { return now }}}
	full := dfresult.NewError(dfresult.QueueFull, "upstream u")
	replica := target{connRoute: connRoute{queued: true, acquireTimeout: 240}, upstream: "u"}
	leader, unqueued := replica, replica
	leader.needsProof, unqueued.queued = true, false
	firstOfTwo := leader
	firstOfTwo.hasNext = true
	cases := map[string]struct {
		to      target
		err     error
		admitBy dfclock.Millis
		refused bool
	}{
		"a replica, with time left":           {replica, full, 1200, false},
		"a replica, after the wait":           {replica, full, 1000, true},
		"the leader, which has no substitute": {leader, full, 1200, true},
		"a carrier without a connection":      {replica, dfresult.NewError(dfresult.NoConnection, "upstream u"), 1000, true},
		"the first of two carriers":           {firstOfTwo, dfresult.NewError(dfresult.NoConnection, "upstream u"), 1000, false},
		"the first of two, with a full queue": {firstOfTwo, full, 1000, true},
		"a broken connection":                 {replica, eris.New("connection: receive: timeout"), 1000, false},
		"a replica that is behind":            {replica, dfresult.NewError(dfresult.NoFreshUpstream, "u"), 1000, false},
		"a host that does not queue":          {unqueued, full, 1000, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			refusal := e.refuseForCapacity(&routeRequest{admitBy: c.admitBy}, c.to, c.err)
			require.Equal(t, c.refused, refusal != nil)
			if refusal != nil {
				require.Positive(t, refusal.RetryAfter)
				require.Equal(t, dfresult.NotRun, refusal.Code.Outcome())
			}
		})
	}
}

// Guards against callers that stay with a host which has lost the majority and refuses
// them all, because it gets no tokens for their organisations.
func TestHostWithoutMajorityIsNotReady(t *testing.T) {
	for name, c := range map[string]struct {
		catalog dfcatalog.Catalog
		unready bool
	}{
		"with limits":    {newCatalog(1), true},
		"without limits": {newCatalog(0), false},
	} {
		t.Run(name, func(t *testing.T) {
			n := newCarrierNetwork(t, 2, c.catalog)
			e := n.hosts["north0"]
			e.neighbours.MarkComplete()
			start := BootTime()
			hear := func(now dfclock.Millis) {
				for id := range n.hosts {
					e.neighbours.HandleRequest(now, now, dfmember.Host{ID: id, DataCentre: id[:5], Address: id + ":1"}, nil)
				}
			}
			require.False(t, e.majorityLost(start), "before the first contact")
			hear(start)
			require.False(t, e.majorityLost(start+dfquota.QuorumTTL-1))
			require.Equal(t, c.unready, e.majorityLost(start+dfquota.QuorumTTL))
			hear(start + dfquota.QuorumTTL)
			require.False(t, e.majorityLost(start+2*dfquota.QuorumTTL-1))
		})
	}
}

// Guards against a host that follows the feeds of a platform which has gone silent and
// tells its neighbours that it misses no version: they would serve withdrawn keys.
func TestSilentFeedsAreNotCurrent(t *testing.T) {
	for name, c := range map[string]struct {
		organisations int
		want          dfclock.Millis
	}{
		"with keys":    {1, 5000},
		"without keys": {0, 5000 + feedSilenceTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			e := newCarrierNetwork(t, 2, newCatalog(c.organisations)).hosts["north0"]
			e.followingFeeds, e.feedAnsweredAt = true, 5000
			require.Equal(t, 5000+feedSilenceTimeout-1, e.currentAt(5000+feedSilenceTimeout-1))
			require.Equal(t, c.want, e.currentAt(5000+feedSilenceTimeout))
		})
	}
}

// Guards against carriers of organisations that take statements as queued, so that no
// expected wait is checked, and have no queue for them.
func TestOrganisationCarriersQueueStatements(t *testing.T) {
	n := newCarrierNetwork(t, 4, newCatalog(3))
	carriers := 0
	for _, e := range n.hosts {
		now, s := BootTime(), e.services["orders"]
		plan := e.connectionPlan(now, s, "u")
		use := e.connectionUse(now, s, "u", plan)
		if use != dfconnection.UseOrganisationCarrier {
			continue
		}
		carriers++
		require.Positive(t, e.admissionLimit("u", plan, use))
	}
	require.Positive(t, carriers)
}
