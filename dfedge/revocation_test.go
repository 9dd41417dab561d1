package dfedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfrevocation"
)

// Guards against a revocation that fails although every host has confirmed it,
// because the wait ends before the queued replies are counted.
func TestEveryReplyCounts(t *testing.T) {
	for range 50 {
		e := &Edge{options: Options{Now: BootTime}}
		events := make(chan dfrevocation.Event, 2)
		events <- dfrevocation.Accepted{Host: "a"}
		events <- dfrevocation.Accepted{Host: "b"}
		verdict, open := e.awaitVerdict(dfrevocation.NewTally(BootTime(), []string{"a", "b"}), events)
		require.Equal(t, dfrevocation.Clear, verdict)
		require.Empty(t, open)
	}
}
