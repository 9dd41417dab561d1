package dfroute

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcheck"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfunit"
)

func init() {
	dfcheck.SetHandler(dfcheck.Panic)
}

func positionAt(term dfposition.Term, offset dfposition.Offset) dfposition.Position {
	return dfposition.Position{Term: term, Offset: offset}
}

func parseHistory(t testing.TB, text string) dfposition.History {
	parsed, err := dfposition.ParseHistory(text)
	require.NoError(t, err)
	return parsed
}

func replicaStatus(t testing.TB, id dfgroup.UpstreamID, applied dfposition.Offset) dfgroup.Status {
	return dfgroup.Status{
		Upstream: id, Role: dfgroup.RoleReplica, Accepted: 1, LogTerm: 1,
		Flushed: applied, Applied: applied, History: parseHistory(t, "1:0"),
	}
}

// newTestView returns a view with primary p in data centre "x" at offset 1000,
// replica r in "x" at 900 and replica s in "y" at 1000, all requested at time 100.
func newTestView(t testing.TB) dfgroup.View {
	v := dfgroup.NewView("g", []dfgroup.Upstream{
		{ID: "p", DataCentre: "x"}, {ID: "r", DataCentre: "x"}, {ID: "s", DataCentre: "y"},
	})
	primary := replicaStatus(t, "p", 1000)
	primary.Role = dfgroup.RolePrimary
	v = v.WithStatus(primary, 100, 105)
	v = v.WithStatus(replicaStatus(t, "r", 900), 100, 105)
	return v.WithStatus(replicaStatus(t, "s", 1000), 100, 105)
}

func newTestRouter(view dfgroup.View) *Router {
	r := New("x", DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
	r.SetView(view)
	return r
}

func requestWithToken(offset dfposition.Offset) *dfunit.Request {
	return &dfunit.Request{Need: positionAt(1, offset), TokenPresented: true, MaxAge: 5000, ArrivedAt: 110, Deadline: 9000}
}

// newReportedRouter returns a router after reports at times 100 and 200. At 200,
// r has applied the position that the primary had at 100.
func newReportedRouter(t testing.TB) *Router {
	r := newTestRouter(newTestView(t))
	v := r.View().WithStatus(replicaStatus(t, "r", 1000), 200, 205)
	primary := replicaStatus(t, "p", 1100)
	primary.Role = dfgroup.RolePrimary
	r.SetView(v.WithStatus(primary, 200, 205).WithStatus(replicaStatus(t, "s", 1050), 200, 205))
	return r
}

// Guards against treating a replica as fresh because it responds, although its
// data is older than the read allows.
func TestMaxAgeIsEnforced(t *testing.T) {
	r := newReportedRouter(t)
	request := requestWithToken(900)
	request.MaxAge = 160
	request.ArrivedAt = 260
	_, action := r.Read(260, request, dfsession.LookupResult{})
	require.Equal(t, UseUpstream{Upstream: "r", Rung: RungToken, Replica: true, Local: true}, action)
	_, action = r.Read(261, request, dfsession.LookupResult{})
	require.Equal(t, UseUpstream{Upstream: "p", Rung: RungToken, Local: true}, action)
	request.MaxAge = 30
	_, action = r.Read(261, request, dfsession.LookupResult{})
	require.IsType(t, ConfirmPrimary{}, action)
}

// Guards against computing freshness from a replaced primary that still reports.
func TestReplacedPrimaryProvesNoFreshness(t *testing.T) {
	v := newTestView(t)
	fenced := replicaStatus(t, "s", 1000)
	fenced.Accepted, fenced.Role = 2, dfgroup.RoleFenced
	v = v.WithStatus(fenced, 300, 305)
	primary := replicaStatus(t, "p", 1000)
	primary.Role = dfgroup.RolePrimary
	v = v.WithStatus(primary, 300, 305).WithStatus(replicaStatus(t, "r", 1000), 300, 305)
	_, fresh := FreshnessHistory{}.With(v).FreshAt(parseHistory(t, "1:0"), 1000)
	require.False(t, fresh)
	require.IsType(t, Refuse{}, newTestRouter(v).Write())
	// The host doesn't know of a higher term, and only the primary reports.
	onlyPrimary := dfgroup.NewView("g", []dfgroup.Upstream{{ID: "p"}, {ID: "r"}, {ID: "s"}}).WithStatus(primary, 300, 305)
	_, fresh = FreshnessHistory{}.With(onlyPrimary).FreshAt(parseHistory(t, "1:0"), 1000)
	require.False(t, fresh, "one report is not a majority")
	olderReplicaReport := onlyPrimary.WithStatus(replicaStatus(t, "r", 1000), 200, 205)
	freshAt, _ := FreshnessHistory{}.With(olderReplicaReport).FreshAt(parseHistory(t, "1:0"), 1000)
	require.Equal(t, dfclock.Millis(200), freshAt, "freshness is limited by the majority's oldest report")
}

// Guards against a history that grows without limit, and against one that drops
// the old reports needed to find the age of a replica that lags far behind.
func TestFreshnessHistoryIsBounded(t *testing.T) {
	freshness := FreshnessHistory{}
	v := newTestView(t)
	for i := 1; i <= 3000; i++ {
		now := dfclock.Millis(100 * i)
		primary := replicaStatus(t, "p", dfposition.Offset(100*i))
		primary.Role = dfgroup.RolePrimary
		v = v.WithStatus(primary, now, now+5).WithStatus(replicaStatus(t, "r", 0), now, now+5).WithStatus(replicaStatus(t, "s", 0), now, now+5)
		freshness = freshness.With(v)
		require.LessOrEqual(t, len(freshness.reports), maxReports)
	}
	for _, lag := range []dfposition.Offset{100, 1000, 10000, 30000} {
		freshAt, known := freshness.FreshAt(parseHistory(t, "1:0"), 300000-lag)
		require.True(t, known)
		age, exact := 300000-freshAt, dfclock.Millis(lag)
		require.GreaterOrEqual(t, age, exact, "the age must not be underestimated")
		require.LessOrEqual(t, age, exact+exact/4+200)
	}
}

// Guards against a rung that is skipped or taken too early.
func TestRungOrder(t *testing.T) {
	r := newReportedRouter(t)
	withoutToken := &dfunit.Request{MaxAge: 5000, ArrivedAt: 210, Deadline: 9000}
	_, action := r.Read(210, withoutToken, dfsession.LookupResult{Complete: true, Position: positionAt(1, 1050), Watermark: positionAt(1, 900)})
	require.Equal(t, UseUpstream{Upstream: "s", Rung: RungKnown, Replica: true}, action)
	peer := dfsession.Peer{Host: "b"}
	missing := dfsession.LookupResult{PeersSuffice: true, Missing: []dfsession.Peer{peer}}
	state, action := r.Read(210, withoutToken, missing)
	require.Equal(t, AskPeers{Peers: []dfsession.Peer{peer}, Until: 225}, action)
	_, action = r.Continue(215, state, PeersAnswered{Positions: []dfposition.Position{positionAt(1, 950)}, All: true})
	require.Equal(t, RungPeers, action.(UseUpstream).Rung)
	for _, event := range []Event{TimedOut{}, PeersAnswered{All: true}, PeersAnswered{Positions: []dfposition.Position{{}}}} {
		_, action = r.Continue(225, state, event)
		require.IsType(t, TakeBarrier{}, action)
	}
	strong := *requestWithToken(900)
	strong.Strong, strong.ArrivedAt = true, 210
	state, action = r.Read(210, &strong, dfsession.LookupResult{Complete: true})
	require.IsType(t, TakeBarrier{}, action)
	_, action = r.Continue(220, state, BarrierReached{Upstream: "p", StartedAt: 211, Position: positionAt(1, 1040)})
	require.Equal(t, UseUpstream{Upstream: "s", Rung: RungBarrier, Replica: true}, action)
	_, action = r.Continue(220, state, BarrierReached{Upstream: "p", StartedAt: 211, Position: positionAt(1, 9000)})
	require.Equal(t, UseUpstream{Upstream: "p", Rung: RungPrimary, Local: true}, action)
	state, action = r.Continue(460, state, TimedOut{})
	require.Equal(t, ConfirmPrimary{Upstream: "p", Term: 1, Until: 960}, action)
	_, action = r.Continue(470, state, PrimaryConfirmed{Upstream: "p", StartedAt: 461, Position: positionAt(1, 1200)})
	require.Equal(t, RungPrimary, action.(UseUpstream).Rung)
	_, action = r.Continue(960, state, TimedOut{})
	require.Equal(t, dfresult.NoFreshUpstream, action.(Refuse).Error.Code)
	_, action = r.Continue(9000, state, TimedOut{})
	require.Equal(t, dfresult.DeadlinePassed, action.(Refuse).Error.Code)
}

// Guards against a read that waits for a lagging replica more than once.
func TestWaitIsBounded(t *testing.T) {
	r := newReportedRouter(t)
	request := requestWithToken(1060)
	request.ArrivedAt = 250
	state, action := r.Read(250, request, dfsession.LookupResult{})
	wait := action.(WaitReplica)
	require.Equal(t, dfgroup.UpstreamID("s"), wait.Upstream)
	require.LessOrEqual(t, wait.Until, 250+DefaultMaxReplicaWait)
	state, action = r.Continue(260, state, ViewChanged{})
	require.Equal(t, wait.Until, action.(WaitReplica).Until)
	_, action = r.Continue(wait.Until, state, ViewChanged{})
	require.Equal(t, UseUpstream{Upstream: "p", Rung: RungToken, Local: true}, action)
}

// Guards against silently serving a session whose acknowledged write was
// discarded by a promotion.
func TestDiscardedPositionIsReported(t *testing.T) {
	v := newTestView(t)
	promoted := replicaStatus(t, "s", 950)
	promoted.Accepted, promoted.LogTerm, promoted.Role = 2, 2, dfgroup.RolePrimary
	promoted.History = parseHistory(t, "1:0,2:940")
	r := newTestRouter(v.WithStatus(promoted, 300, 305))
	request := requestWithToken(960)
	request.Need = positionAt(1, 960)
	request.ArrivedAt = 310
	_, action := r.Read(310, request, dfsession.LookupResult{Position: positionAt(2, 945)})
	require.Equal(t, dfresult.PositionDiscarded, action.(Refuse).Error.Code)
}

// Guards against new requests to an upstream that is leaving the group.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	r := newReportedRouter(t)
	r.SetView(r.View().WithLeaving("r", true).WithLeaving("s", true).WithLeaving("p", true))
	for range 20 {
		_, action := r.Read(260, requestWithToken(900), dfsession.LookupResult{})
		require.IsType(t, Refuse{}, action)
	}
	require.Equal(t, dfresult.NoPrimary, r.Write().(Refuse).Error.Code)
}

// Guards against reads that queue up on an unresponsive replica, against an
// ejected replica that is never used again, and against ejecting every upstream.
func TestEjection(t *testing.T) {
	r := newReportedRouter(t)
	choice := func(now dfclock.Millis) dfgroup.UpstreamID {
		request := requestWithToken(900)
		request.ArrivedAt = now
		_, action := r.Read(now, request, dfsession.LookupResult{})
		return action.(UseUpstream).Upstream
	}
	r.Started(260, "r")
	require.Equal(t, dfgroup.UpstreamID("r"), choice(300))
	require.Equal(t, dfgroup.UpstreamID("s"), choice(261+DefaultResponseTimeout), "no response within the timeout")
	require.Equal(t, dfgroup.UpstreamID("r"), choice(261+DefaultResponseTimeout+minEjectionPeriod), "first probe after the ejection period")
	require.Equal(t, dfgroup.UpstreamID("s"), choice(262+DefaultResponseTimeout+minEjectionPeriod), "one probe per ejection period")
	r.Finished(2000, "r", 1, true)
	require.Equal(t, dfgroup.UpstreamID("r"), choice(2000), "readmitted after the probe")
	for _, id := range []dfgroup.UpstreamID{"p", "r", "s"} {
		for range failuresToEject {
			r.Finished(2010, id, 1, false)
		}
	}
	require.NotEmpty(t, choice(2020), "the last upstream is kept")
}

// Guards against sending every read to one of two equal replicas.
func TestLessLoadedReplicaIsChosen(t *testing.T) {
	r := newReportedRouter(t)
	r.dataCentre = "z"
	r.SetView(r.View())
	r.Started(260, "r")
	_, action := r.Read(261, requestWithToken(900), dfsession.LookupResult{})
	require.Equal(t, dfgroup.UpstreamID("s"), action.(UseUpstream).Upstream)
}

// Guards against hedged reads that exceed HedgeShare and multiply the load.
func TestHedgeBudgetIsEnforced(t *testing.T) {
	r := newReportedRouter(t)
	hedged := 0
	for range 1000 {
		state, action := r.Read(261, requestWithToken(900), dfsession.LookupResult{})
		first := action.(UseUpstream).Upstream
		if second, ok := r.Hedge(261, state, first); ok {
			require.NotEqual(t, first, second.(UseUpstream).Upstream)
			hedged++
		}
	}
	require.Positive(t, hedged)
	require.LessOrEqual(t, hedged, 20)
}

// Guards against invariant checks that never fail: each violation is injected and
// must panic in tests, or refuse the request without the panic handler.
func TestInvariantViolationsAreRefused(t *testing.T) {
	wrongApplied := newReportedRouter(t)
	wrongApplied.candidates[1].applied = 5000
	require.Panics(t, func() { wrongApplied.Read(260, requestWithToken(1090), dfsession.LookupResult{}) }, "wrong applied position")
	unseenLeaving := newReportedRouter(t)
	unseenLeaving.view.Upstreams[1].Leaving = true
	require.Panics(t, func() { unseenLeaving.Read(260, requestWithToken(900), dfsession.LookupResult{}) }, "leaving replica")
	unseenLeaving.view.Upstreams[0].Leaving = true
	require.Panics(t, func() { unseenLeaving.Write() }, "leaving primary")
	r := newReportedRouter(t)
	early := *requestWithToken(900)
	early.Strong, early.ArrivedAt = true, 210
	state, _ := r.Read(210, &early, dfsession.LookupResult{})
	require.Panics(t, func() {
		r.Continue(220, state, BarrierReached{Upstream: "p", StartedAt: 209, Position: positionAt(1, 1)})
	})
	state, _ = r.Continue(230, state, TimedOut{})
	require.Panics(t, func() {
		r.Continue(240, state, PrimaryConfirmed{Upstream: "p", StartedAt: 209, Position: positionAt(1, 1)})
	})
	previous := dfcheck.SetHandler(nil)
	defer func() { dfcheck.SetHandler(previous) }()
	before := dfcheck.Failures()
	_, action := wrongApplied.Read(260, requestWithToken(1090), dfsession.LookupResult{})
	require.IsType(t, Refuse{}, action, "refused when the handler does not panic")
	require.Equal(t, before+1, dfcheck.Failures())
}

// Guards against heap allocations on the path that every read takes.
func TestTokenReadDoesNotAllocate(t *testing.T) {
	r := newReportedRouter(t)
	request := requestWithToken(900)
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Read(260, request, dfsession.LookupResult{}) }))
}

func BenchmarkRead(b *testing.B) {
	r := newReportedRouter(b)
	request := requestWithToken(900)
	b.ReportAllocs()
	for b.Loop() {
		r.Read(260, request, dfsession.LookupResult{Complete: true, Position: positionAt(1, 900), Watermark: positionAt(1, 800)})
	}
}
