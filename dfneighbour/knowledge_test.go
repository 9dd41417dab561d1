package dfneighbour

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// Guards against owners that count a host as reached which was heard but was told of no
// majority, and against a host that takes its own knowledge as older than others do.
func TestReachedHostsKnowOfAMajority(t *testing.T) {
	view := NewView(host("a", 0), QuorumPollPeriods())
	for i := 1; i <= 4; i++ {
		view.Add(0, host("a", i))
	}
	view.MarkComplete()
	view.HandleRequest(1000, 900, host("a", 1), nil)
	view.HandleRequest(1000, 900, host("a", 2), nil)
	require.Equal(t, dfclock.Millis(900), view.QuorumAt(1000))
	_, reached, _ := view.Reached(1000)
	require.Equal(t, 1, reached, "none has confirmed what it was told")
	view.RecordKnowledge(host("a", 1).Address, 900)
	known, reached, at := view.Reached(1000)
	require.Equal(t, []int{5, 2}, []int{known, reached})
	require.LessOrEqual(t, at, dfclock.Millis(900))
	view.HandleReport(1500, 1400, Report{Host: host("b", 5), QuorumAge: 100, Quorums: []Contact{{Host: hostKey(host("a", 3).Address), Age: 50}}})
	require.Equal(t, dfclock.Millis(1300), view.QuorumAt(1500), "taken from before the exchange")
	require.Equal(t, dfclock.Millis(1400), view.KnownQuorumAt(1500), "taken from after the exchange")
	_, reached, at = view.Reached(1500)
	require.Equal(t, 4, reached)
	require.LessOrEqual(t, at, dfclock.Millis(900))
	_, reached, at = view.Reached(900 + reachedSteps*reachedStep + 1)
	require.Equal(t, 3, reached, "the older one counts no more")
	require.LessOrEqual(t, at, dfclock.Millis(1300))
	counts := view.ReachedCounts(1500)
	member := NewView(host("a", 1), QuorumPollPeriods())
	member.HandleReport(1500, 1450, Report{Host: host("a", 0), QuorumAge: -1, Reached: counts})
	_, reached, _ = member.Reached(1500)
	require.Equal(t, 2, reached, "no more than the member knows of hosts")
}
