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

func at(term dfposition.Term, offset dfposition.Offset) dfposition.Position {
	return dfposition.Position{Term: term, Offset: offset}
}

func history(t testing.TB, text string) dfposition.History {
	parsed, err := dfposition.ParseHistory(text)
	require.NoError(t, err)
	return parsed
}

func replica(t testing.TB, id dfgroup.UpstreamID, applied dfposition.Offset) dfgroup.Status {
	return dfgroup.Status{
		Upstream: id, Role: dfgroup.RoleReplica, Accepted: 1, LogTerm: 1,
		Flushed: applied, Applied: applied, History: history(t, "1:0"),
	}
}

// view has primary p in data centre "x" at 1000, replica r in "x" at 900 and
// replica s in "y" at 1000, all asked for at 100.
func view(t testing.TB) dfgroup.View {
	v := dfgroup.NewView("g", []dfgroup.Upstream{
		{ID: "p", DataCentre: "x"}, {ID: "r", DataCentre: "x"}, {ID: "s", DataCentre: "y"},
	})
	primary := replica(t, "p", 1000)
	primary.Role = dfgroup.RolePrimary
	v = v.WithStatus(primary, 100, 105)
	v = v.WithStatus(replica(t, "r", 900), 100, 105)
	return v.WithStatus(replica(t, "s", 1000), 100, 105)
}

func router(view dfgroup.View) *Router {
	r := New("x", DefaultOptions(), rand.New(rand.NewPCG(1, 2)))
	r.SetView(view)
	return r
}

func token(offset dfposition.Offset) *dfunit.Request {
	return &dfunit.Request{Need: at(1, offset), TokenPresented: true, MaxAge: 5000, ArrivedAt: 110, Deadline: 9000}
}

// settled returns the router after reports at 100 and at 200, where r has
// applied what the primary had at 100.
func settled(t testing.TB) *Router {
	r := router(view(t))
	v := r.View().WithStatus(replica(t, "r", 1000), 200, 205)
	primary := replica(t, "p", 1100)
	primary.Role = dfgroup.RolePrimary
	r.SetView(v.WithStatus(primary, 200, 205).WithStatus(replica(t, "s", 1050), 200, 205))
	return r
}

// TestAgeIsBounded guards against calling a replica fresh because it answers.
func TestAgeIsBounded(t *testing.T) {
	r := settled(t)
	request := token(900)
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

// TestReplacedPrimaryMakesNothingFresh guards against ages judged by a primary
// that still reports but was replaced.
func TestReplacedPrimaryMakesNothingFresh(t *testing.T) {
	v := view(t)
	fenced := replica(t, "s", 1000)
	fenced.Accepted, fenced.Role = 2, dfgroup.RoleFenced
	v = v.WithStatus(fenced, 300, 305)
	primary := replica(t, "p", 1000)
	primary.Role = dfgroup.RolePrimary
	v = v.WithStatus(primary, 300, 305).WithStatus(replica(t, "r", 1000), 300, 305)
	_, fresh := Ages{}.With(v).FreshAt(history(t, "1:0"), 1000)
	require.False(t, fresh)
	require.IsType(t, Refuse{}, router(v).Write())
	// The host has not heard of a higher term, and only the primary reports.
	alone := dfgroup.NewView("g", []dfgroup.Upstream{{ID: "p"}, {ID: "r"}, {ID: "s"}}).WithStatus(primary, 300, 305)
	_, fresh = Ages{}.With(alone).FreshAt(history(t, "1:0"), 1000)
	require.False(t, fresh, "one report is no majority")
	early := alone.WithStatus(replica(t, "r", 1000), 200, 205)
	since, _ := Ages{}.With(early).FreshAt(history(t, "1:0"), 1000)
	require.Equal(t, dfclock.Millis(200), since, "the majority's reports must be as recent")
}

// TestAgesStayBounded guards against a history that grows, or that loses the
// old reports by which a replica far behind is judged.
func TestAgesStayBounded(t *testing.T) {
	ages := Ages{}
	v := view(t)
	for i := 1; i <= 3000; i++ {
		now := dfclock.Millis(100 * i)
		primary := replica(t, "p", dfposition.Offset(100*i))
		primary.Role = dfgroup.RolePrimary
		v = v.WithStatus(primary, now, now+5).WithStatus(replica(t, "r", 0), now, now+5).WithStatus(replica(t, "s", 0), now, now+5)
		ages = ages.With(v)
		require.LessOrEqual(t, len(ages.reports), maxReports)
	}
	for _, behind := range []dfposition.Offset{100, 1000, 10000, 30000} {
		since, known := ages.FreshAt(history(t, "1:0"), 300000-behind)
		require.True(t, known)
		age, exact := 300000-since, dfclock.Millis(behind)
		require.GreaterOrEqual(t, age, exact, "an age must not be understated")
		require.LessOrEqual(t, age, exact+exact/4+200)
	}
}

// TestLadder guards against a rung that is skipped or taken too early.
func TestLadder(t *testing.T) {
	r := settled(t)
	anonymous := &dfunit.Request{MaxAge: 5000, ArrivedAt: 210, Deadline: 9000}
	_, action := r.Read(210, anonymous, dfsession.LookupResult{Complete: true, Position: at(1, 1050), Watermark: at(1, 900)})
	require.Equal(t, UseUpstream{Upstream: "s", Rung: RungKnown, Replica: true}, action)
	peer := dfsession.Peer{Host: "b"}
	missing := dfsession.LookupResult{PeersSuffice: true, Missing: []dfsession.Peer{peer}}
	ladder, action := r.Read(210, anonymous, missing)
	require.Equal(t, AskPeers{Peers: []dfsession.Peer{peer}, Until: 225}, action)
	_, action = r.Continue(215, ladder, PeersAnswered{Positions: []dfposition.Position{at(1, 950)}, All: true})
	require.Equal(t, RungPeers, action.(UseUpstream).Rung)
	for _, event := range []Event{TimedOut{}, PeersAnswered{All: true}, PeersAnswered{Positions: []dfposition.Position{{}}}} {
		_, action = r.Continue(225, ladder, event)
		require.IsType(t, TakeBarrier{}, action)
	}
	strong := *token(900)
	strong.Strong, strong.ArrivedAt = true, 210
	ladder, action = r.Read(210, &strong, dfsession.LookupResult{Complete: true})
	require.IsType(t, TakeBarrier{}, action)
	_, action = r.Continue(220, ladder, BarrierReached{Upstream: "p", StartedAt: 211, Position: at(1, 1040)})
	require.Equal(t, UseUpstream{Upstream: "s", Rung: RungBarrier, Replica: true}, action)
	_, action = r.Continue(220, ladder, BarrierReached{Upstream: "p", StartedAt: 211, Position: at(1, 9000)})
	require.Equal(t, UseUpstream{Upstream: "p", Rung: RungPrimary, Local: true}, action)
	ladder, action = r.Continue(460, ladder, TimedOut{})
	require.Equal(t, ConfirmPrimary{Upstream: "p", Term: 1, Until: 960}, action)
	_, action = r.Continue(470, ladder, PrimaryConfirmed{Upstream: "p", StartedAt: 461, Position: at(1, 1200)})
	require.Equal(t, RungPrimary, action.(UseUpstream).Rung)
	_, action = r.Continue(960, ladder, TimedOut{})
	require.Equal(t, dfresult.NoFreshUpstream, action.(Refuse).Error.Code)
	_, action = r.Continue(9000, ladder, TimedOut{})
	require.Equal(t, dfresult.DeadlinePassed, action.(Refuse).Error.Code)
}

// TestWaitIsBounded guards against reads that wait for a replica again and again.
func TestWaitIsBounded(t *testing.T) {
	r := settled(t)
	request := token(1060)
	request.ArrivedAt = 250
	ladder, action := r.Read(250, request, dfsession.LookupResult{})
	wait := action.(WaitReplica)
	require.Equal(t, dfgroup.UpstreamID("s"), wait.Upstream)
	require.LessOrEqual(t, wait.Until, 250+DefaultWaitMax)
	ladder, action = r.Continue(260, ladder, ViewChanged{})
	require.Equal(t, wait.Until, action.(WaitReplica).Until)
	_, action = r.Continue(wait.Until, ladder, ViewChanged{})
	require.Equal(t, UseUpstream{Upstream: "p", Rung: RungToken, Local: true}, action)
}

// TestDiscardedIsLoud guards against serving a session whose write was lost.
func TestDiscardedIsLoud(t *testing.T) {
	v := view(t)
	promoted := replica(t, "s", 950)
	promoted.Accepted, promoted.LogTerm, promoted.Role = 2, 2, dfgroup.RolePrimary
	promoted.History = history(t, "1:0,2:940")
	r := router(v.WithStatus(promoted, 300, 305))
	request := token(960)
	request.Need = at(1, 960)
	request.ArrivedAt = 310
	_, action := r.Read(310, request, dfsession.LookupResult{Position: at(2, 945)})
	require.Equal(t, dfresult.PositionDiscarded, action.(Refuse).Error.Code)
}

// TestLeavingGetsNoWork guards against new work for an upstream that is leaving.
func TestLeavingGetsNoWork(t *testing.T) {
	r := settled(t)
	r.SetView(r.View().WithLeaving("r", true).WithLeaving("s", true).WithLeaving("p", true))
	for range 20 {
		_, action := r.Read(260, token(900), dfsession.LookupResult{})
		require.IsType(t, Refuse{}, action)
	}
	require.Equal(t, dfresult.NoPrimary, r.Write().(Refuse).Error.Code)
}

// TestEjection guards against reads that pile up on a silent or slow replica,
// against one that never comes back, and against ejecting the last one.
func TestEjection(t *testing.T) {
	r := settled(t)
	choice := func(now dfclock.Millis) dfgroup.UpstreamID {
		request := token(900)
		request.ArrivedAt = now
		_, action := r.Read(now, request, dfsession.LookupResult{})
		return action.(UseUpstream).Upstream
	}
	r.Started(260, "r")
	require.Equal(t, dfgroup.UpstreamID("r"), choice(300))
	require.Equal(t, dfgroup.UpstreamID("s"), choice(261+DefaultSilentAfter), "silent")
	require.Equal(t, dfgroup.UpstreamID("r"), choice(261+DefaultSilentAfter+firstEjection), "one probe")
	require.Equal(t, dfgroup.UpstreamID("s"), choice(262+DefaultSilentAfter+firstEjection), "only one probe")
	r.Finished(2000, "r", 1, true)
	require.Equal(t, dfgroup.UpstreamID("r"), choice(2000), "answered the probe")
	for _, id := range []dfgroup.UpstreamID{"p", "r", "s"} {
		for range failuresToEject {
			r.Finished(2010, id, 1, false)
		}
	}
	require.NotEmpty(t, choice(2020), "one upstream is always left")
}

// TestLoadIsCompared guards against sending every read to one of two equal replicas.
func TestLoadIsCompared(t *testing.T) {
	r := settled(t)
	r.dataCentre = "z"
	r.SetView(r.View())
	r.Started(260, "r")
	_, action := r.Read(261, token(900), dfsession.LookupResult{})
	require.Equal(t, dfgroup.UpstreamID("s"), action.(UseUpstream).Upstream)
}

// TestHedgesAreBounded guards against hedging that doubles the load.
func TestHedgesAreBounded(t *testing.T) {
	r := settled(t)
	hedged := 0
	for range 1000 {
		ladder, action := r.Read(261, token(900), dfsession.LookupResult{})
		first := action.(UseUpstream).Upstream
		if second, ok := r.Hedge(261, ladder, first); ok {
			require.NotEqual(t, first, second.(UseUpstream).Upstream)
			hedged++
		}
	}
	require.Positive(t, hedged)
	require.LessOrEqual(t, hedged, 20)
}

// TestChecksFire puts each fault in on purpose.
func TestChecksFire(t *testing.T) {
	forged := settled(t)
	forged.candidates[1].applied = 5000
	require.Panics(t, func() { forged.Read(260, token(1090), dfsession.LookupResult{}) }, "forged applied position")
	hidden := settled(t)
	hidden.view.Upstreams[1].Leaving = true
	require.Panics(t, func() { hidden.Read(260, token(900), dfsession.LookupResult{}) }, "leaving mark not seen")
	hidden.view.Upstreams[0].Leaving = true
	require.Panics(t, func() { hidden.Write() }, "leaving primary")
	r := settled(t)
	early := *token(900)
	early.Strong, early.ArrivedAt = true, 210
	ladder, _ := r.Read(210, &early, dfsession.LookupResult{})
	require.Panics(t, func() { r.Continue(220, ladder, BarrierReached{Upstream: "p", StartedAt: 209, Position: at(1, 1)}) })
	ladder, _ = r.Continue(230, ladder, TimedOut{})
	require.Panics(t, func() { r.Continue(240, ladder, PrimaryConfirmed{Upstream: "p", StartedAt: 209, Position: at(1, 1)}) })
	previous := dfcheck.SetHandler(nil)
	defer func() { dfcheck.SetHandler(previous) }()
	before := dfcheck.Failures()
	_, action := forged.Read(260, token(1090), dfsession.LookupResult{})
	require.IsType(t, Refuse{}, action, "refused in production")
	require.Equal(t, before+1, dfcheck.Failures())
}

// TestHitsDoNotAllocate guards against garbage on the path of every read.
func TestHitsDoNotAllocate(t *testing.T) {
	r := settled(t)
	request := token(900)
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Read(260, request, dfsession.LookupResult{}) }))
}

func BenchmarkRead(b *testing.B) {
	r := settled(b)
	request := token(900)
	b.ReportAllocs()
	for b.Loop() {
		r.Read(260, request, dfsession.LookupResult{Complete: true, Position: at(1, 900), Watermark: at(1, 800)})
	}
}
