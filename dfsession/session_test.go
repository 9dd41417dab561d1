package dfsession

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcheck"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

func init() {
	dfcheck.SetHandler(dfcheck.Panic)
}

var (
	peerB = Peer{Host: "b", Incarnation: "1", Epoch: 1}
	peerC = Peer{Host: "c", Incarnation: "1", Epoch: 1}
)

func at(offset dfposition.Offset) dfposition.Position {
	return dfposition.Position{Term: 1, Offset: offset}
}

// ready returns a holder with leases from two peers until 3000 and a floor of 100.
func ready() *Knowledge {
	k := New(0, false, 0, 0)
	k.SetHeld(1, 20000)
	k.SetRoster(10, Roster{ReadAt: 5, Peers: []Peer{peerB, peerC}})
	for _, peer := range []Peer{peerB, peerC} {
		k.Leased(2010, peer, 2000, LeaseSpan)
	}
	k.SetFloor(2030, Floor{StartedAt: 2020, Position: at(100)})
	return k
}

// TestKnowledgeNeedsLeasesAndFloor guards against trusting knowledge with a gap in it.
func TestKnowledgeNeedsLeasesAndFloor(t *testing.T) {
	k := New(0, false, 0, 0)
	k.SetHeld(1, 20000)
	require.False(t, k.Complete(1), "no roster")
	k.SetRoster(10, Roster{ReadAt: 5, Peers: []Peer{peerB}})
	k.SetFloor(30, Floor{StartedAt: 20, Position: at(1)})
	require.False(t, k.Complete(30), "no lease")
	k.Leased(50, peerB, 40, LeaseSpan)
	require.False(t, k.Complete(50), "floor older than the lease")
	require.True(t, k.NeedsFloor(50))
	k.SetFloor(70, Floor{StartedAt: 50, Position: at(2)})
	require.False(t, k.Complete(70), "floor in the millisecond of the lease")
	k.SetFloor(80, Floor{StartedAt: 60, Position: at(3)})
	require.True(t, k.Complete(80))
	require.Equal(t, at(3), k.Ask(80, 1).Floor)
	require.True(t, k.Complete(1039))
	require.False(t, k.Complete(1040), "the lease counts from before its request")
	k.Leased(1050, peerB, 1030, LeaseSpan)
	require.False(t, k.Complete(1050), "writes may have passed between two leases")
	k.SetFloor(1070, Floor{StartedAt: 1060, Position: at(9)})
	require.True(t, k.Complete(1070))
}

// TestClockNeverGoesBack guards against a late reading that revives a lapsed lease.
func TestClockNeverGoesBack(t *testing.T) {
	k := ready()
	require.False(t, k.Complete(3000))
	require.False(t, k.Complete(2500))
}

// TestVacantSlotNeedsRecentRows guards against a new holder that nobody has noticed.
func TestVacantSlotNeedsRecentRows(t *testing.T) {
	k := New(0, false, 0, 0)
	k.SetHeld(1, 20000)
	k.SetRoster(10, Roster{ReadAt: 5, Vacant: 2})
	k.SetFloor(30, Floor{StartedAt: 20})
	require.True(t, k.Complete(5+RosterSpan-1))
	require.False(t, k.Complete(5+RosterSpan))
	fresh := New(0, true, 0, 0)
	id, _, _ := fresh.Record(10, 1, at(5))
	may, due := fresh.MayAcknowledge(10, id)
	require.False(t, may)
	require.Equal(t, RosterSpan+ClockMargin, due)
}

// TestAcknowledgementWaits guards against an acknowledgement that a peer with a
// lease does not know of, and against one that a silent peer holds up for ever.
func TestAcknowledgementWaits(t *testing.T) {
	k := ready()
	require.True(t, k.Grant(2100, peerB))
	require.True(t, k.Grant(2100, peerC))
	id, notify, ok := k.Record(2200, 7, at(150))
	require.True(t, ok)
	require.Equal(t, []Peer{peerB, peerC}, notify)
	k.Answered(2210, id, peerB)
	may, due := k.MayAcknowledge(2210, id)
	require.False(t, may)
	require.Equal(t, 2100+LeaseSpan+ClockMargin, due)
	require.True(t, k.Grant(2300, peerC), "renewed within the patience")
	require.False(t, k.Grant(2200+AnswerPatience, peerC), "no renewal without an answer")
	may, due = k.MayAcknowledge(2600, id)
	require.False(t, may)
	require.True(t, k.Acknowledge(due, id))
	require.True(t, k.Grant(due, peerC))
}

// TestLapsedHolderIsSilent guards against answers and grants of a paused host
// whose slot another host may have taken, while its leases still last.
func TestLapsedHolderIsSilent(t *testing.T) {
	k := ready()
	k.heldUntil = 2500
	require.True(t, k.Complete(2499))
	require.True(t, k.Grant(2499, peerB))
	require.False(t, k.Complete(2500))
	require.False(t, k.Grant(2500, peerB))
	_, known := k.Tell(2500, 7)
	require.False(t, known)
	id, _, ok := k.Record(2600, 7, at(150))
	require.True(t, ok, "writes go on while the table is down")
	require.True(t, k.Acknowledge(2499+LeaseSpan+ClockMargin, id))
}

// TestFormerHolderIsAwaited guards against stale reads at a host that lost its
// slot but still has a lease.
func TestFormerHolderIsAwaited(t *testing.T) {
	k := ready()
	require.True(t, k.Grant(2100, peerB))
	k.SetRoster(2150, Roster{ReadAt: 2140, Peers: []Peer{peerC}})
	id, notify, _ := k.Record(2200, 7, at(150))
	require.Equal(t, []Peer{peerB}, notify)
	require.False(t, k.Grant(2210, peerB))
	may, due := k.MayAcknowledge(2210, id)
	require.False(t, may)
	require.Equal(t, 2100+LeaseSpan+ClockMargin, due)
}

// TestRemovedPeerLeavesAGap guards against forgetting that a holder without a
// lease from this host's view wrote before it gave its slot up.
func TestRemovedPeerLeavesAGap(t *testing.T) {
	k := ready()
	next := Peer{Host: "d", Incarnation: "1", Epoch: 2}
	k.SetRoster(2100, Roster{ReadAt: 2090, Peers: []Peer{peerC, next}})
	k.Leased(2120, next, 2110, LeaseSpan)
	require.False(t, k.Complete(2130))
	k.SetRoster(2140, Roster{ReadAt: 2135, Peers: []Peer{peerC}, Vacant: 1})
	require.False(t, k.Complete(2150))
	require.False(t, k.Ask(2150, 7).Askable)
	k.SetFloor(2170, Floor{StartedAt: 2141, Position: at(120)})
	require.True(t, k.Complete(2170))
	covered := ready()
	covered.SetRoster(2100, Roster{ReadAt: 2090, Peers: []Peer{peerC}, Vacant: 1})
	require.True(t, covered.Complete(2100), "a covered peer leaves no gap")
}

// TestReleasedRecordsNothing guards against writes of a host that its peers no
// longer count as a holder.
func TestReleasedRecordsNothing(t *testing.T) {
	k := ready()
	id, _, _ := k.Record(2100, 7, at(110))
	k.Release(2110)
	require.False(t, k.Grant(2110, peerB))
	_, _, ok := k.Record(2120, 7, at(120))
	require.False(t, ok)
	require.True(t, k.Acknowledge(2120, id), "recorded before, and the peers knew the holder")
	unknown := New(0, false, 0, 0)
	id, _, _ = unknown.Record(10, 7, at(5))
	unknown.Release(20)
	may, _ := unknown.MayAcknowledge(5000, id)
	require.False(t, may)
}

// TestReclaimedKeepsGrants guards against a process that forgets the leases it
// granted when it takes a slot again.
func TestReclaimedKeepsGrants(t *testing.T) {
	k := ready()
	require.True(t, k.Grant(2100, peerB))
	next := k.Reclaimed(2200, false)
	_, notify, _ := next.Record(2300, 7, at(150))
	require.Equal(t, []Peer{peerB}, notify)
	require.False(t, next.Complete(2300))
}

// TestMissingPeersAreNamed guards against asking too few peers on rung 3.
func TestMissingPeersAreNamed(t *testing.T) {
	k := ready()
	k.Leased(2600, peerC, 2590, LeaseSpan)
	answer := k.Ask(3100, 7)
	require.False(t, answer.Complete)
	require.True(t, answer.Askable)
	require.Equal(t, []Peer{peerB}, answer.Missing)
	_, known := New(0, false, 0, 0).Tell(10, 7)
	require.False(t, known, "a holder without a floor cannot answer for its predecessor")
	position, known := k.Tell(3100, 7)
	require.True(t, known)
	require.Equal(t, at(100), position)
}

// TestMemoryRaisesTheFloor guards against forgetting a write when memory is
// short, also when an older notification of the same caller arrives late.
func TestMemoryRaisesTheFloor(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		m := newMemory(1 + source.IntN(8))
		truth := map[Caller]dfposition.Position{}
		for range 200 {
			caller := Caller(source.IntN(20))
			position := at(dfposition.Offset(source.IntN(1000)))
			m.raise(caller, position)
			truth[caller] = truth[caller].Max(position)
			require.LessOrEqual(t, len(m.index), m.limit)
			for known, want := range truth {
				require.False(t, m.find(known).Less(want))
			}
		}
	}
}

// TestWritesAreBounded guards against writes that pile up behind a silent peer.
func TestWritesAreBounded(t *testing.T) {
	k := New(0, false, 0, 2)
	first, _, _ := k.Record(10, 1, at(1))
	_, _, ok := k.Record(10, 1, at(2))
	require.True(t, ok)
	_, _, ok = k.Record(10, 1, at(3))
	require.False(t, ok)
	k.Abandon(first)
	_, _, ok = k.Record(10, 1, at(4))
	require.True(t, ok)
}

// TestChecksFire puts each fault in on purpose.
func TestChecksFire(t *testing.T) {
	k := ready()
	require.True(t, k.Grant(2100, peerB))
	id, _, _ := k.Record(2200, 7, at(150))
	require.Panics(t, func() { k.Acknowledge(2210, id) }, "acknowledged without an answer")
	lost := ready()
	lost.peers[0].current, lost.peers[0].leaseUntil = false, dfclock.Millis(0)
	require.Panics(t, func() { lost.Ask(2100, 7) }, "a peer without a lease was skipped")
	before := dfcheck.Failures()
	previous := dfcheck.SetHandler(nil)
	defer func() { dfcheck.SetHandler(previous) }()
	require.False(t, k.Acknowledge(2210, id), "refused in production")
	require.Equal(t, before+1, dfcheck.Failures())
}

func BenchmarkAsk(b *testing.B) {
	k := ready()
	for i := range 1000 {
		k.Notified(2040, Caller(i), at(200))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if !k.Ask(2050, Caller(i%2000)).Complete {
			b.Fatal("incomplete")
		}
	}
}
