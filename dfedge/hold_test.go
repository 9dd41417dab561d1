package dfedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfsuccession"
)

// Guards against a change that is taken over too early from a host that is lost: with
// another target, an order of that host could discard commits of the next leader. With the
// same target, waiting as long would keep the writes held for seconds.
func TestClaimOfALostHost(t *testing.T) {
	e := newIdentityEdge(t, false)
	now := e.options.Now()
	e.options.Now = func() dfclock.Millis { return now }
	e.catalog = dfcatalog.New(6, nil, []dfcatalog.Service{{Name: "orders", SyncReplicas: 1}}, 0)
	s := &service{name: "orders"}
	last := claim{Holder: "lost", Replaced: "a", Target: "b"}
	const version = dfrevision.Revision(7)
	same := dfsuccession.Claim{Target: "b", Replaced: "a"}
	other := dfsuccession.Claim{Target: "c", Replaced: "a"}

	require.True(t, e.claimPending(s, version, last, same), "just claimed")
	require.Equal(t, last.Target, s.claimedTarget)
	now += takeoverDelay
	require.False(t, e.claimPending(s, version, last, same))
	require.True(t, e.claimPending(s, version, last, other))
	now += dfsuccession.HeldChangeSpan
	require.False(t, e.claimPending(s, version, last, other))

	own := claim{Holder: e.options.Self.ID, Replaced: "a", Target: "b"}
	require.True(t, e.claimPending(s, version+1, own, other), "claimed before this host started")
	s.heldEpoch = uint64(version + 1)
	require.False(t, e.claimPending(s, version+1, own, other), "no order was sent")
	s.orderedEpoch = s.heldEpoch
	require.True(t, e.claimPending(s, version+1, own, other), "an order was sent")
}
