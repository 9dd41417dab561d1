package dfedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfneighbour"
)

// Guards against hosts of a cut data centre that are ready for a moment each time
// another upstream is taken for a leader, and against hosts that stay out of
// rotation after the cut.
func TestIsolation(t *testing.T) {
	heard := reach{known: true, heardAgo: 100}
	unheard := reach{known: true, heardAgo: dfclock.Never}
	suspected := reach{known: true, suspected: true, heardAgo: 2000}
	var i isolation
	require.False(t, i.judge(false, nil), "nothing is known yet")
	require.False(t, i.judge(false, []reach{heard, heard, unheard, suspected}), "most leaders are in reach")
	require.False(t, i.judge(true, []reach{suspected, suspected, {}}), "other data centres are heard")
	require.True(t, i.judge(false, []reach{heard, suspected, suspected, {}}))
	require.True(t, i.judge(false, []reach{heard, unheard, unheard, unheard}), "leaders that were learned only now")
	require.False(t, i.judge(false, []reach{heard, heard, heard, suspected}), "the leaders answer again")
	require.True(t, i.judge(false, []reach{suspected, suspected}))
	require.False(t, i.judge(true, []reach{suspected, suspected}), "the cut is over")
}

// Guards against hosts that start inside a cut data centre and are ready until
// they have found out, and against starts that wait where nothing is cut.
func TestOrientation(t *testing.T) {
	require.False(t, surroundings{up: 500}.oriented(), "the new host has heard nobody but others like it")
	for name, s := range map[string]surroundings{
		"the platform answers":           {platform: true},
		"the speaker has judged":         {told: true},
		"another data centre answers":    {remote: true},
		"a leader elsewhere answers":     {elsewhere: true},
		"the host judges by itself then": {up: dfneighbour.AliveSpan},
	} {
		require.True(t, s.oriented(), name)
	}
}
