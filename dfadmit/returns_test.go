package dfadmit

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// TestRefusalsDoNotAmplifyThemselves guards against refused callers who come back twice,
// at the same moment or at once, and so waste the slots or the callers' time. Before, they
// came back after the expected wait.
func TestRefusalsDoNotAmplifyThemselves(t *testing.T) {
	for _, load := range readLoads(t) {
		if load.name != "above" && load.name != "triple" {
			continue
		}
		t.Run(load.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				play := func(spread bool) loadResult {
					queue := newFixedQueue(upstreamSlots, 256)
					queue.SetSpreadReturns(spread)
					r := load.play(queue, seed, 2)
					t.Logf("seed %d, spread %t: goodput %.3f, most returns in 10 ms %.1f times the mean, asked %v, served %v",
						seed, spread, r.goodput, r.peakReturns(), r.asked, r.servedAt)
					return r
				}
				before, spread := play(false), play(true)
				require.GreaterOrEqual(t, spread.goodput, 0.9)
				require.Zero(t, spread.outside)
				require.Less(t, spread.peakReturns(), before.peakReturns())
			}
		})
	}
}

// TestReturnsFollowTheOrderOfRefusals guards against callers who overtake those that were
// refused before them, against hosts whose callers return together to a new leader, and
// against times to come back that are 0 or too late.
func TestReturnsFollowTheOrderOfRefusals(t *testing.T) {
	const interval = 5
	queue := NewReturns(0)
	for i := range dfclock.Millis(100) {
		require.Equal(t, 50+i*interval, queue.After(1000, 50, 1000, interval))
	}
	require.Equal(t, dfclock.Millis(250), queue.After(1300, 50, 1000, interval), "the promises made before still hold")
	require.InDelta(t, 50+interval/2, int(queue.After(9000, 50, 1000, interval)), interval, "no promise is left")

	const hosts, expected, latest = 61, dfclock.Millis(600), dfclock.Millis(1250)
	random := rand.New(rand.NewPCG(3, 5))
	counts := map[dfclock.Millis]int{}
	for range hosts {
		returns := NewReturns(random.Float64())
		for range 2 {
			after := returns.After(2000, expected, latest, interval*hosts)
			require.GreaterOrEqual(t, after, expected)
			require.LessOrEqual(t, after, latest)
			counts[after/100]++
		}
	}
	for _, count := range counts {
		require.LessOrEqual(t, count, 2*100/interval, "returns in 100 ms")
	}

	for _, remaining := range []dfclock.Millis{0, 1, 2, 3, 99, 2500} {
		for _, earliest := range []dfclock.Millis{0, 1, 700, 5000} {
			for _, after := range []dfclock.Millis{
				NewReturns(0.5).After(2000, earliest, LatestReturn(remaining), 300), FitReturn(earliest, remaining),
			} {
				require.Positive(t, after)
				require.LessOrEqual(t, after, max(1, remaining/2))
			}
		}
	}
}
