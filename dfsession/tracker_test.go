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

// newReadyTracker returns the tracker of a holder with leases from two peers until
// 3000 and a watermark at offset 100.
func newReadyTracker() *Tracker {
	tr := New(0, false, 0, 0)
	tr.SetHeldUntil(1, 20000)
	tr.SetMembership(10, Membership{RequestedAt: 5, Peers: []Peer{peerB, peerC}})
	for _, peer := range []Peer{peerB, peerC} {
		tr.RecordLease(2010, peer, 2000, LeaseTTL)
	}
	tr.SetWatermark(2030, Watermark{StartedAt: 2020, Position: at(100)})
	return tr
}

// TestCompleteNeedsLeasesAndWatermark guards against reporting knowledge as complete
// although acknowledged writes may be missing between two leases or before the first.
func TestCompleteNeedsLeasesAndWatermark(t *testing.T) {
	tr := New(0, false, 0, 0)
	tr.SetHeldUntil(1, 20000)
	require.False(t, tr.Complete(1), "no roster")
	tr.SetMembership(10, Membership{RequestedAt: 5, Peers: []Peer{peerB}})
	tr.SetWatermark(30, Watermark{StartedAt: 20, Position: at(1)})
	require.False(t, tr.Complete(30), "no lease")
	tr.RecordLease(50, peerB, 40, LeaseTTL)
	require.False(t, tr.Complete(50), "watermark older than the lease")
	require.True(t, tr.NeedsWatermark(50))
	tr.SetWatermark(70, Watermark{StartedAt: 50, Position: at(2)})
	require.False(t, tr.Complete(70), "watermark in the millisecond of the lease")
	tr.SetWatermark(80, Watermark{StartedAt: 60, Position: at(3)})
	require.True(t, tr.Complete(80))
	require.Equal(t, at(3), tr.Lookup(80, 1).Watermark)
	require.True(t, tr.Complete(1039))
	require.False(t, tr.Complete(1040), "the lease counts from before its request")
	tr.RecordLease(1050, peerB, 1030, LeaseTTL)
	require.False(t, tr.Complete(1050), "writes may have passed between two leases")
	tr.SetWatermark(1070, Watermark{StartedAt: 1060, Position: at(9)})
	require.True(t, tr.Complete(1070))
}

// TestClockNeverGoesBack guards against an expired lease that becomes valid again
// when clock readings arrive out of order.
func TestClockNeverGoesBack(t *testing.T) {
	tr := newReadyTracker()
	require.False(t, tr.Complete(3000))
	require.False(t, tr.Complete(2500))
}

// TestVacantSlotNeedsRecentRows guards against reads that miss the writes of a host
// which claimed a vacant slot after the slot rows were read.
func TestVacantSlotNeedsRecentRows(t *testing.T) {
	tr := New(0, false, 0, 0)
	tr.SetHeldUntil(1, 20000)
	tr.SetMembership(10, Membership{RequestedAt: 5, Vacant: 2})
	tr.SetWatermark(30, Watermark{StartedAt: 20})
	require.True(t, tr.Complete(5+MembershipMaxAge-1))
	require.False(t, tr.Complete(5+MembershipMaxAge))
	fresh := New(0, true, 0, 0)
	id, _, _ := fresh.RecordWrite(10, 1, at(5))
	may, due := fresh.MayAcknowledge(10, id)
	require.False(t, may)
	require.Equal(t, MembershipMaxAge+ClockMargin, due)
}

// TestAcknowledgementWaits guards against acknowledging a write that a peer with a
// lease does not know, and against waiting indefinitely for an unresponsive peer.
func TestAcknowledgementWaits(t *testing.T) {
	tr := newReadyTracker()
	require.True(t, tr.GrantLease(2100, peerB))
	require.True(t, tr.GrantLease(2100, peerC))
	id, notify, ok := tr.RecordWrite(2200, 7, at(150))
	require.True(t, ok)
	require.Equal(t, []Peer{peerB, peerC}, notify)
	tr.RecordAnswer(2210, id, peerB)
	may, due := tr.MayAcknowledge(2210, id)
	require.False(t, may)
	require.Equal(t, 2100+LeaseTTL+ClockMargin, due)
	require.True(t, tr.GrantLease(2300, peerC), "renewed within the timeout")
	require.False(t, tr.GrantLease(2200+NotificationTimeout, peerC), "not renewed without an answer")
	may, due = tr.MayAcknowledge(2600, id)
	require.False(t, may)
	require.True(t, tr.Acknowledge(due, id))
	require.True(t, tr.GrantLease(due, peerC))
}

// TestExpiredHolderGrantsNothing guards against answers and leases from a paused host
// whose slot another host may have claimed while its position leases are still valid.
func TestExpiredHolderGrantsNothing(t *testing.T) {
	tr := newReadyTracker()
	tr.heldUntil = 2500
	require.True(t, tr.Complete(2499))
	require.True(t, tr.GrantLease(2499, peerB))
	require.False(t, tr.Complete(2500))
	require.False(t, tr.GrantLease(2500, peerB))
	_, known := tr.AnswerPeer(2500, 7)
	require.False(t, known)
	id, _, ok := tr.RecordWrite(2600, 7, at(150))
	require.True(t, ok, "writes continue while the table is unavailable")
	require.True(t, tr.Acknowledge(2499+LeaseTTL+ClockMargin, id))
}

// TestFormerHolderIsNotified guards against stale reads at a host that has lost its
// slot but still has a lease.
func TestFormerHolderIsNotified(t *testing.T) {
	tr := newReadyTracker()
	require.True(t, tr.GrantLease(2100, peerB))
	tr.SetMembership(2150, Membership{RequestedAt: 2140, Peers: []Peer{peerC}})
	id, notify, _ := tr.RecordWrite(2200, 7, at(150))
	require.Equal(t, []Peer{peerB}, notify)
	require.False(t, tr.GrantLease(2210, peerB))
	may, due := tr.MayAcknowledge(2210, id)
	require.False(t, may)
	require.Equal(t, 2100+LeaseTTL+ClockMargin, due)
}

// TestRemovedPeerLeavesGap guards against missing the writes of a holder that gave up
// its slot before a watermark covered its lease.
func TestRemovedPeerLeavesGap(t *testing.T) {
	tr := newReadyTracker()
	next := Peer{Host: "d", Incarnation: "1", Epoch: 2}
	tr.SetMembership(2100, Membership{RequestedAt: 2090, Peers: []Peer{peerC, next}})
	tr.RecordLease(2120, next, 2110, LeaseTTL)
	require.False(t, tr.Complete(2130))
	tr.SetMembership(2140, Membership{RequestedAt: 2135, Peers: []Peer{peerC}, Vacant: 1})
	require.False(t, tr.Complete(2150))
	require.False(t, tr.Lookup(2150, 7).PeersSuffice)
	tr.SetWatermark(2170, Watermark{StartedAt: 2141, Position: at(120)})
	require.True(t, tr.Complete(2170))
	covered := newReadyTracker()
	covered.SetMembership(2100, Membership{RequestedAt: 2090, Peers: []Peer{peerC}, Vacant: 1})
	require.True(t, covered.Complete(2100), "a covered peer leaves no gap")
}

// TestReleaseStopsWrites guards against acknowledging writes of a host that its peers
// no longer, or do not yet, count as a holder.
func TestReleaseStopsWrites(t *testing.T) {
	tr := newReadyTracker()
	id, _, _ := tr.RecordWrite(2100, 7, at(110))
	tr.Release(2110)
	require.False(t, tr.GrantLease(2110, peerB))
	_, _, ok := tr.RecordWrite(2120, 7, at(120))
	require.False(t, ok)
	require.True(t, tr.Acknowledge(2120, id), "recorded before the release, and visible to all peers")
	unknown := New(0, false, 0, 0)
	id, _, _ = unknown.RecordWrite(10, 7, at(5))
	unknown.Release(20)
	may, _ := unknown.MayAcknowledge(5000, id)
	require.False(t, may)
}

// TestReclaimedKeepsGrants guards against losing track of granted leases when the same
// process claims a slot again.
func TestReclaimedKeepsGrants(t *testing.T) {
	tr := newReadyTracker()
	require.True(t, tr.GrantLease(2100, peerB))
	next := tr.Reclaimed(2200, false)
	_, notify, _ := next.RecordWrite(2300, 7, at(150))
	require.Equal(t, []Peer{peerB}, notify)
	require.False(t, next.Complete(2300))
}

// TestMissingPeers guards against asking too few peers on rung 3 of the read ladder.
func TestMissingPeers(t *testing.T) {
	tr := newReadyTracker()
	tr.RecordLease(2600, peerC, 2590, LeaseTTL)
	answer := tr.Lookup(3100, 7)
	require.False(t, answer.Complete)
	require.True(t, answer.PeersSuffice)
	require.Equal(t, []Peer{peerB}, answer.Missing)
	_, known := New(0, false, 0, 0).AnswerPeer(10, 7)
	require.False(t, known, "a holder without a watermark cannot answer for its predecessor")
	position, known := tr.AnswerPeer(3100, 7)
	require.True(t, known)
	require.Equal(t, at(100), position)
}

// TestEvictionKeepsPositions guards against losing a write when the cache is full, also
// when an older notification for an evicted caller arrives late.
func TestEvictionKeepsPositions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		cache := newPositionCache(1 + rng.IntN(8))
		truth := map[Caller]dfposition.Position{}
		for range 200 {
			caller := Caller(rng.IntN(20))
			position := at(dfposition.Offset(rng.IntN(1000)))
			cache.advance(caller, position)
			truth[caller] = truth[caller].Max(position)
			require.LessOrEqual(t, len(cache.byCaller), cache.limit)
			for known, want := range truth {
				require.False(t, cache.lookup(known).Less(want))
			}
		}
	}
}

// TestPendingWritesAreBounded guards against unbounded pending writes while a peer does
// not answer.
func TestPendingWritesAreBounded(t *testing.T) {
	tr := New(0, false, 0, 2)
	first, _, _ := tr.RecordWrite(10, 1, at(1))
	_, _, ok := tr.RecordWrite(10, 1, at(2))
	require.True(t, ok)
	_, _, ok = tr.RecordWrite(10, 1, at(3))
	require.False(t, ok)
	tr.Abandon(first)
	_, _, ok = tr.RecordWrite(10, 1, at(4))
	require.True(t, ok)
}

// TestChecksFire injects a fault for each invariant check and expects it to fail.
func TestChecksFire(t *testing.T) {
	tr := newReadyTracker()
	require.True(t, tr.GrantLease(2100, peerB))
	id, _, _ := tr.RecordWrite(2200, 7, at(150))
	require.Panics(t, func() { tr.Acknowledge(2210, id) }, "acknowledged without an answer")
	lost := newReadyTracker()
	lost.peers[0].current, lost.peers[0].leaseUntil = false, dfclock.Millis(0)
	require.Panics(t, func() { lost.Lookup(2100, 7) }, "a peer without a lease was skipped")
	before := dfcheck.Failures()
	previous := dfcheck.SetHandler(nil)
	defer func() { dfcheck.SetHandler(previous) }()
	require.False(t, tr.Acknowledge(2210, id), "refused in production")
	require.Equal(t, before+1, dfcheck.Failures())
}

func BenchmarkAsk(b *testing.B) {
	tr := newReadyTracker()
	for i := range 1000 {
		tr.RecordNotification(2040, Caller(i), at(200))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if !tr.Lookup(2050, Caller(i%2000)).Complete {
			b.Fatal("incomplete")
		}
	}
}
