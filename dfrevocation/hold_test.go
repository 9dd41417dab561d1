package dfrevocation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against writes to a leader although a newer change holds them, a hold that an
// older release ends, and one that is forgotten because a neighbour knows less.
func TestHold(t *testing.T) {
	notice := func(epoch uint64, released bool) HoldNotice {
		return HoldNotice{Service: "s", Holder: "h", Epoch: epoch, Leader: "a", Released: released}
	}
	hold, reply := Hold{}.WithNotice(notice(5, false))
	require.True(t, reply.Accepted)
	require.True(t, hold.Holds("a"))
	require.False(t, hold.Holds("b"), "another leader")
	require.True(t, hold.With(Hold{Service: "s"}).Holds("a"), "a neighbour that knows none")

	released, _ := hold.WithNotice(notice(5, true))
	require.False(t, released.Holds("a"))
	require.False(t, released.With(hold).Holds("a"), "a neighbour that has not heard of the release")
	require.False(t, hold.With(released).Holds("a"))
	_, reply = released.WithNotice(notice(5, false))
	require.False(t, reply.Accepted, "a notice that arrives after its release")

	newer, reply := hold.WithNotice(notice(7, false))
	require.Equal(t, HoldReply{Accepted: true, EarlierEpoch: 5}, reply, "the earlier promotion may take effect")
	again, reply := newer.WithNotice(notice(7, false))
	require.Equal(t, HoldReply{Accepted: true}, reply, "the same notice")
	require.True(t, again.With(released).Holds("a"), "the release of an earlier change")
	_, reply = newer.WithNotice(notice(6, false))
	require.False(t, reply.Accepted, "an older change")

	unknown, _ := Hold{}.WithNotice(notice(5, true))
	require.Equal(t, Hold{Service: "s", ReleasedEpoch: 5}, unknown, "a release before the notice")
}
