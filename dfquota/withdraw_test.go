package dfquota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfmember"
)

// Guards against an operation that takes a token after its caller has left.
func TestWithdrawnOperationTakesNoToken(t *testing.T) {
	h, self := NewHost(), dfmember.Host{ID: "h"}
	h.SetLimits(1, map[string]Limit{"o": {Rate: 10, Burst: 10}})
	h.SetHosts([]dfmember.Host{self})
	left, ok := h.Arrive(1000, "o", 2000).(Waiting)
	require.True(t, ok)
	stays, ok := h.Arrive(1000, "o", 2000).(Waiting)
	require.True(t, ok)
	asks := h.Asks(1000, nil, nil)
	require.Len(t, asks, 1)
	h.Withdraw("o", left.Ticket)
	decisions := h.Handle(1010, asks[0], Grant{Ready: true, Parts: []Part{{Tokens: 1}}})
	require.Equal(t, []Decision{{Ticket: stays.Ticket, Verdict: Admitted{}}}, decisions)
}
