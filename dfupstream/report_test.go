package dfupstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// TestFailureLogIsBounded guards against a log that a dead upstream floods.
func TestFailureLogIsBounded(t *testing.T) {
	var f failureLog
	lines := 0
	for now := dfclock.Millis(0); now.Before(11 * dfclock.Second); now = now.Add(10) {
		if f.note(now, "127.0.0.1:1", "refused") {
			lines++
		}
	}
	require.Equal(t, 3, lines)
}

// TestSilenceBound guards against a bound that healthy jitter reaches, and
// against one that long statements raise without limit.
func TestSilenceBound(t *testing.T) {
	var m SilenceMeter
	require.Equal(t, MinSilence, m.Bound())
	for range 100 {
		m.Answered(20)
	}
	require.Equal(t, MinSilence, m.Bound())
	for range 100 {
		m.Answered(400)
	}
	require.Greater(t, m.Bound(), dfclock.Millis(400))
	for range 100 {
		m.Answered(dfclock.Hour)
	}
	require.Equal(t, MaxSilence, m.Bound())
}
