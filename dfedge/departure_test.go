package dfedge

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfmember"
	"dragonflygrade/dfquota"
)

// Guards against an operation that waits for a token of the limit, and takes it, after
// its caller has left.
func TestCallerLeavesWhileItWaitsForAToken(t *testing.T) {
	q := newQuota("h")
	q.host.SetLimits(1, map[string]dfquota.Limit{"o": {Rate: 10, Burst: 10}})
	q.host.SetHosts([]dfmember.Host{{ID: "h"}})
	waiting, ok := q.host.Arrive(1000, "o", 2000).(dfquota.Waiting)
	require.True(t, ok)
	decided := make(chan dfquota.Verdict, 1)
	q.waiters[waiting.Ticket] = decided
	departure, leave := context.WithCancel(context.Background())
	leave()
	require.Equal(t, dfquota.Withdrawn{}, q.await(departure, "o", waiting.Ticket, decided))
	require.Empty(t, q.waiters)
	asks := q.host.Asks(1000, nil, nil)
	for _, ask := range asks {
		require.Empty(t, ask.Ask.Wants)
	}
}
