package dfedge

import (
	"context"
	"net"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsuccession"
)

// The tests of identities use a clock that starts at testStart.
const testStart = 100 * dfclock.Second

// newIdentityEdge returns a host that is not running, with version 5 of a desired state
// in which organisation alpha holds the key "a1". It follows the platform's feeds.
func newIdentityEdge(t *testing.T, strict bool) *Edge {
	t.Helper()
	edge, err := New(Options{
		Self:          dfmember.Host{ID: "one", DataCentre: "north", Address: "127.0.0.1:1"},
		CallerAddress: "127.0.0.1:2", ReadyAddress: "127.0.0.1:3", GracePeriod: dfclock.Second,
		StrictRevocation: strict, RevokeTimeout: 5 * dfclock.Second,
		Fencing: dfsuccession.PlatformFences{},
		// Nothing is called, because the host does not run.
		Platform: struct{ Platform }{}, Dialect: struct{ Dialect }{},
		Dial: func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed },
		Now:  func() dfclock.Millis { return testStart },
	}, &log.Logger{Level: log.PanicLevel})
	require.NoError(t, err)
	edge.catalog = dfcatalog.New(5, nil, nil, 0).WithOrganisations([]dfcatalog.Organisation{
		{Name: "alpha", Keys: []dfcatalog.KeyHash{dfcatalog.HashKey("a1")}},
	})
	edge.followingFeeds, edge.feedAnsweredAt, edge.feedConfirmedAt = true, testStart, testStart
	return edge
}

// requireIdentity checks the identity of the holder of a key on a route. The expected
// one is an organisation or a result code.
func requireIdentity(t *testing.T, want any, e *Edge, now dfclock.Millis, key string, anonymous bool) {
	t.Helper()
	e.recordTick(now)
	organisation, failure := e.identify(now, dfcatalog.HashKey(key), dfcatalog.Route{Database: "d", AllowAnonymous: anonymous})
	if code, refused := want.(dfresult.Code); refused {
		require.NotNil(t, failure)
		require.Equal(t, code, failure.Code)
		require.Equal(t, code == dfresult.ConfigurationAbsent, failure.RetryAfter > 0, "retry-after time")
		require.NotContains(t, failure.Error(), key)
		return
	}
	require.Nil(t, failure)
	require.Equal(t, want, organisation)
}

// runTicks runs the ticks of a host from one time to another. The platform answers its
// feeds meanwhile.
func runTicks(e *Edge, from, until dfclock.Millis) {
	for now := from; now < until; now += 50 {
		e.recordTick(now)
		e.feedAnsweredAt = now
	}
}

// Guards against keys that are asked for where there are no organisations.
func TestIdentifyWithoutOrganisations(t *testing.T) {
	e := newIdentityEdge(t, true)
	e.catalog = dfcatalog.New(5, nil, nil, 0)
	e.feedConfirmedAt = 0
	for _, key := range []string{"a1", "other"} {
		requireIdentity(t, "", e, testStart, key, false)
	}
}

// Guards against an unknown key that is refused as unknown by a host that may have
// missed a version, and against one that is not refused at once by a host that has not.
func TestIdentifyUnknownKey(t *testing.T) {
	e := newIdentityEdge(t, false)
	requireIdentity(t, "alpha", e, testStart, "a1", false)
	requireIdentity(t, "alpha", e, testStart, "a1", true)
	requireIdentity(t, "", e, testStart, "other", true)
	requireIdentity(t, dfresult.AuthenticationFailed, e, testStart, "other", false)

	e.recordVersion(testStart, 6)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, testStart, "other", false)
	requireIdentity(t, "alpha", e, testStart, "a1", false)
	requireIdentity(t, "", e, testStart, "other", true)
	e.recordVersion(testStart, 4)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, testStart, "other", false)

	e = newIdentityEdge(t, false)
	e.catalogFeedLost, e.lastCurrentAt = true, testStart
	runTicks(e, testStart, testStart+versionMaxAge)
	requireIdentity(t, dfresult.AuthenticationFailed, e, testStart+versionMaxAge-1, "other", false)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, testStart+versionMaxAge, "other", false)
	requireIdentity(t, "alpha", e, testStart+versionMaxAge, "a1", false)
}

// Guards against a host that was suspended and refuses a key as unknown that was added
// meanwhile: it has not noticed yet that its feed is dead.
func TestIdentifyAfterSuspension(t *testing.T) {
	e := newIdentityEdge(t, false)
	requireIdentity(t, dfresult.AuthenticationFailed, e, testStart+suspensionGap-1, "other", false)
	resumedAt := testStart + 10*dfclock.Second
	requireIdentity(t, dfresult.ConfigurationAbsent, e, resumedAt, "other", false)
	runTicks(e, resumedAt, resumedAt+feedStallTimeout)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, resumedAt+feedStallTimeout-1, "other", false)
	requireIdentity(t, dfresult.AuthenticationFailed, e, resumedAt+feedStallTimeout, "other", false)
}

// Guards against requests under a key whose withdrawal a host may have missed for
// longer than the settings allow, and against refusals before.
func TestIdentifyStrict(t *testing.T) {
	e := newIdentityEdge(t, true)
	limit := testStart + e.options.RevokeTimeout
	requireIdentity(t, "alpha", e, limit-1, "a1", false)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, limit, "a1", false)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, limit, "a1", true)
	requireIdentity(t, "", e, limit, "other", true)

	// A neighbour's confirmation counts from the request for it.
	e.neighbours.Add(limit, dfmember.Host{ID: "two", DataCentre: "north", Address: "127.0.0.1:4"})
	e.neighbours.HandleReport(limit, limit-100, dfneighbour.Report{
		Host: dfmember.Host{ID: "two", DataCentre: "north", Address: "127.0.0.1:4"}, CurrentAge: 200,
	})
	requireIdentity(t, "alpha", e, limit-300+e.options.RevokeTimeout-1, "a1", false)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, limit-300+e.options.RevokeTimeout, "a1", false)

	// A neighbour that has a newer version confirms only that this host lacks it.
	e = newIdentityEdge(t, true)
	e.recordVersion(testStart+1000, 6)
	e.recordVersion(testStart+2000, 7)
	e.feedConfirmedAt = testStart + 9000
	requireIdentity(t, "alpha", e, testStart+1000+e.options.RevokeTimeout-1, "a1", false)
	requireIdentity(t, dfresult.ConfigurationAbsent, e, testStart+1000+e.options.RevokeTimeout, "a1", false)
}
