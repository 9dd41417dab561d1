package dfrevision

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a version of an older era that counts as newer.
func TestLaterErasAreGreater(t *testing.T) {
	before, err := New(1, 1<<versionBits-1)
	require.NoError(t, err)
	after, err := New(2, 1)
	require.NoError(t, err)
	require.Greater(t, after, before)
	require.Equal(t, []uint64{2, 1}, []uint64{after.Era(), after.Version()})
	require.Equal(t, "2.1", after.String())
}

// Guards against an era that alters the version, or a version the era.
func TestTooLargeNumbersAreRefused(t *testing.T) {
	for _, numbers := range [][2]uint64{{1 << eraBits, 1}, {1, 1 << versionBits}} {
		_, err := New(numbers[0], numbers[1])
		require.Error(t, err)
	}
}
