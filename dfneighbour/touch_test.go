package dfneighbour

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// Guards against a host that takes few hosts for a majority, or a speaker and its
// successor, who counted the same hosts, for two.
func TestMajorityCountsHostsOnce(t *testing.T) {
	circle := NewCircle(host("a", 0), LeasePace())
	var touches []Touch
	for i := 1; i <= 2; i++ {
		circle.Learn(0, host("a", i))
	}
	for i := 3; i <= 6; i++ {
		circle.Learn(0, host("b", i))
		touches = append(touches, Touch{Host: touchKey(host("b", i).Address), Ago: 50})
	}
	circle.Complete()
	require.Negative(t, circle.QuorumAt(100), "nobody was heard")
	// Two hosts of the other data centre speak one after the other. Each counts
	// the same two hosts.
	for i := 3; i <= 4; i++ {
		circle.Heard(200, 150, Report{Host: host("b", i), Touches: touches[:2], QuorumAgo: -1})
	}
	require.Negative(t, circle.QuorumAt(200), "three hosts of seven")
	circle.Met(250, 220, host("a", 1), nil)
	require.Equal(t, dfclock.Millis(100), circle.QuorumAt(250), "the oldest of four counts")
	circle.Heard(300, 290, Report{Host: host("b", 5), Touches: touches, QuorumAgo: 20})
	require.Equal(t, dfclock.Millis(270), circle.QuorumAt(300), "the speaker of others knew a later one")
	require.Equal(t, dfclock.Millis(270), circle.QuorumAt(900), "silence renews nothing")
}

// Guards against a host that has just started inside a data centre that is cut
// off: it knows a few hosts, is in touch with all of them, and would tell others
// that it is in touch with a majority.
func TestNoMajorityBeforeAllHostsAreKnown(t *testing.T) {
	circle := NewCircle(host("a", 0), LeasePace())
	circle.Met(50, 40, host("a", 1), nil)
	require.Negative(t, circle.QuorumAt(100))
	for i := 2; i <= 5; i++ {
		circle.Learn(150, host("b", i))
	}
	circle.Complete()
	require.Negative(t, circle.QuorumAt(200), "two hosts of six")
}
