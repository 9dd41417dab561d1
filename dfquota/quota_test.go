package dfquota

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

const second = dfclock.Second

// organisations returns the limits and the usual demand of organisations whose sizes
// follow a power law with exponent 1.2, as in the deployment of load.md.
func organisations(count int, total float64) (map[string]Limit, map[string]float64) {
	limits, demand, sum := map[string]Limit{}, map[string]float64{}, 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range count {
		name := fmt.Sprintf("org%02d", i)
		demand[name] = total * math.Pow(float64(i+1), -1.2) / sum
		limits[name] = Limit{Rate: 1.6 * demand[name], Burst: 1.6 * demand[name]}
	}
	return limits, demand
}

// play plays 61 hosts with 73 organisations, of which the given one is hot from 6 s
// on, through a fault that begins at 10 s.
func play(seed uint64, hot string, until dfclock.Millis, fault func(w *world)) (*world, map[string]Limit) {
	limits, demand := organisations(73, 935)
	w := newWorld(seed, 61, limits)
	for name := range limits {
		w.load(name, until, func(at dfclock.Millis) float64 {
			switch {
			case at < 4*second:
				return 0
			case name == hot && at >= 6*second:
				return 7 * demand[name]
			}
			return demand[name]
		})
	}
	if fault != nil {
		w.at(10*second, func() { fault(w) })
	}
	w.run(until + second)
	return w, limits
}

func requireServed(t *testing.T, w *world, limits map[string]Limit, hot string, hotShare float64, from, to dfclock.Millis) {
	t.Helper()
	require.Empty(t, w.excess())
	got := count(w.arrivals[hot], from, to) / (limits[hot].Rate * seconds(to-from))
	t.Logf("hot %s: %.3f of its limit, %d messages", hot, got, w.messages)
	require.GreaterOrEqual(t, got, hotShare, "share of the limit of %s", hot)
	var ran, asked float64
	for name := range limits {
		if name != hot {
			ran, asked = ran+count(w.arrivals[name], from, to), asked+count(w.asked[name], from, to)
		}
	}
	t.Logf("others: %.3f of what they ask", ran/asked)
	require.GreaterOrEqual(t, ran/asked, 0.95, "what the others get of what they ask")
}

// Guards against limits that refuse what is below the limit, because tokens lie unused
// at hosts without demand, and against one organisation that takes from others.
func TestHotOrganisationGetsItsLimit(t *testing.T) {
	for _, hot := range []string{"org00", "org03", "org20"} {
		w, limits := play(3, hot, 20*second, nil)
		requireServed(t, w, limits, hot, 0.95, 8*second, 20*second)
	}
}

// Guards against losing the limit of organisations whose owner is in a data centre
// that is cut off, or that is the only one that reaches the callers.
func TestDataCentreCutOff(t *testing.T) {
	for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
		w, limits := play(5, "org00", 20*second, func(w *world) {
			for _, n := range w.nodes {
				if n.DataCentre == dataCentre {
					w.cut[n.ID] = 1
				}
			}
		})
		require.Empty(t, w.excess())
		got := count(w.arrivals["org00"], 10*second, 20*second) / (limits["org00"].Rate * 10)
		t.Logf("%s cut off: %.3f", dataCentre, got)
		require.GreaterOrEqual(t, got, 0.8, "share of the limit with %s cut off", dataCentre)
	}
}
