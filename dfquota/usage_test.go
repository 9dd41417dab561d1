package dfquota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// Guards against operations that are counted after the window, and against a count that
// misses a part of the window.
func TestUsage(t *testing.T) {
	const window = 5 * dfclock.Second
	usage := NewUsage(window)
	used, refused := usage.Within(0)
	require.Zero(t, used+refused)
	for now := dfclock.Millis(0); now < 4*window; now += 100 {
		usage.Record(now, true)
		usage.Record(now, now%200 == 0)
		used, refused = usage.Within(now)
		operations := int(min(now, window)/100) + 1
		require.GreaterOrEqual(t, used+refused, 2*operations-2, now)
		require.LessOrEqual(t, used+refused, 2*(operations+5), now)
		require.Less(t, refused, used)
	}
	used, refused = usage.Within(6 * window)
	require.Zero(t, used+refused)
}
