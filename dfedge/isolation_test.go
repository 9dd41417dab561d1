package dfedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfneighbour"
)

// Guards against hosts of an isolated data centre that report ready for a moment
// whenever another upstream becomes leader, and against hosts that stay out of
// rotation after the partition.
func TestIsolation(t *testing.T) {
	heard := leaderContact{known: true, heardAgo: 100}
	unheard := leaderContact{known: true, heardAgo: dfclock.Never}
	suspected := leaderContact{known: true, suspected: true, heardAgo: 2000}
	var i isolation
	require.False(t, i.evaluate(false, nil), "no leader is known yet")
	require.False(t, i.evaluate(false, []leaderContact{heard, heard, unheard, suspected}), "most leaders are reachable")
	require.False(t, i.evaluate(true, []leaderContact{suspected, suspected, {}}), "another data centre is reachable")
	require.True(t, i.evaluate(false, []leaderContact{heard, suspected, suspected, {}}))
	require.True(t, i.evaluate(false, []leaderContact{heard, unheard, unheard, unheard}), "new leaders that have not answered yet")
	require.False(t, i.evaluate(false, []leaderContact{heard, heard, heard, suspected}), "the leaders answer again")
	require.True(t, i.evaluate(false, []leaderContact{suspected, suspected}))
	require.False(t, i.evaluate(true, []leaderContact{suspected, suspected}), "the partition is over")
}

// Guards against hosts that start inside an isolated data centre and report ready
// until they have detected it, and against delayed starts when there is no
// partition.
func TestOrientation(t *testing.T) {
	require.False(t, startupEvidence{uptime: 500}.isolationKnown(), "the new host has heard only from hosts of its own data centre")
	for name, evidence := range map[string]startupEvidence{
		"the platform answers":                       {platformReachable: true},
		"the speaker has decided":                    {speakerJudged: true},
		"another data centre answers":                {remoteHostReachable: true},
		"a leader in another data centre answers":    {remoteLeaderReachable: true},
		"the host has been up long enough to decide": {uptime: dfneighbour.LivenessTimeout},
	} {
		require.True(t, evidence.isolationKnown(), name)
	}
}
