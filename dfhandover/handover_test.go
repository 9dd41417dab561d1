package dfhandover

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

var scriptTimings = Timings{
	InFlightTimeout: 100 * dfclock.Millisecond, CatchUpTimeout: 300 * dfclock.Millisecond, CatchUpPollInterval: 50 * dfclock.Millisecond,
}

// TestScripts runs every case of testdata/handover.txt. Each case names the failure that
// it guards against.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/handover.txt")
	require.NoError(t, err)
	for _, block := range strings.Split(string(data), "\ncase ")[1:] {
		name, lines, _ := strings.Cut(block, "\n")
		t.Run(name, func(t *testing.T) {
			handover := New(0, scriptTimings)
			for _, line := range strings.Split(lines, "\n") {
				fields := strings.Fields(line)
				if len(fields) == 0 || fields[0] != "step" {
					continue
				}
				now, err := strconv.Atoi(fields[1])
				require.NoError(t, err)
				inFlight := 0
				for _, field := range fields {
					if count, ok := strings.CutPrefix(field, "inflight="); ok {
						inFlight, err = strconv.Atoi(count)
						require.NoError(t, err)
					}
				}
				next, decision := handover.WithStep(dfclock.Millis(now), inFlight, slices.Contains(fields, "caughtup"))
				handover = next
				require.Equal(t, fields[len(fields)-1], describe(decision), "at %d ms", now)
			}
		})
	}
}

func describe(decision Decision) string {
	switch decision.(type) {
	case Poll:
		return "poll"
	case Change:
		return "change"
	case Release:
		return "release"
	}
	return "wait"
}
