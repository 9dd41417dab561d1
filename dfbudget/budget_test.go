package dfbudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfcheck"
)

func init() {
	dfcheck.SetHandler(dfcheck.Panic)
}

// TestShares guards against wrong shares and reserves, and against accepting limits
// that are too small.
func TestShares(t *testing.T) {
	for _, c := range []struct{ limit, slots, share, reserved int }{{20, 3, 6, 2}, {55, 5, 10, 5}, {3, 1, 1, 2}, {22, 3, 6, 4}} {
		budget, err := New(c.limit, c.slots)
		require.NoError(t, err)
		require.Equal(t, c.share, budget.Share())
		require.Equal(t, c.reserved, budget.Reserved())
	}
	_, err := New(4, 3)
	require.ErrorContains(t, err, "want at least 5")
	_, err = New(20, 0)
	require.Error(t, err)
	require.False(t, Budget{}.MayOpen(0))
}

// TestSumWithinLimit guards against slots that together exceed the upstream's limit.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 50).Draw(t, "slots")
		budget, err := New(rapid.IntRange(slots+Reserve, 2000).Draw(t, "limit"), slots)
		require.NoError(t, err)
		open := make([]int, slots)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			at := rapid.IntRange(0, slots-1).Draw(t, "slot")
			if budget.MayOpen(open[at]) {
				open[at]++
			}
		}
		require.True(t, budget.Check(open...))
	})
}

// TestCheckFires breaks each condition of Check on purpose; the check must report it.
func TestCheckFires(t *testing.T) {
	budget, err := New(20, 3)
	require.NoError(t, err)
	require.Panics(t, func() { budget.Check(7, 0, 0) }, "a slot exceeds its share")
	require.Panics(t, func() { budget.Check(6, 6, 6, 1) }, "one slot too many")
	require.Panics(t, func() { Budget{limit: 19, slots: 3, share: 6}.Check(6, 6, 6) }, "the sum uses the reserve")
}
