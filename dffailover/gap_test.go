package dffailover_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// faultScenario is a fault of the primary for which the failover gap is measured.
type faultScenario struct {
	name   string
	inject func(sim *simulation, primary *server)
	// faultDelay is the time from inject to the primary's fault.
	faultDelay dfclock.Millis
}

var faultScenarios = []faultScenario{
	{"killed", func(sim *simulation, p *server) { p.up = false }, 0},
	{"paused", func(sim *simulation, p *server) { p.pausedUntil = sim.now + 30*dfclock.Second }, 0},
	{"partitioned", func(sim *simulation, p *server) {
		sim.isolate(p.index, 30*dfclock.Second)
		sim.isolate(len(sim.servers)+p.index, 30*dfclock.Second)
	}, 0},
	{"planned", func(sim *simulation, p *server) {
		p.leaving = true
		if sim.strategy == fixedTimeout { // this baseline has no switchover, so the upstream is stopped
			p.leaving, p.up = false, false
		}
	}, 0},
	{"killed with the first-ranked actor", func(sim *simulation, p *server) {
		p.up = false
		sim.actors[0].crash(30 * dfclock.Second)
	}, 0},
	{"killed, table down for 11 s", func(sim *simulation, p *server) {
		sim.tableDown = true
		sim.after(11*dfclock.Second, func() { p.up = false })
	}, 11 * dfclock.Second},
}

const injectAt = 3 * dfclock.Second

// failoverGap returns the longest time without an acknowledged write around the
// fault, or the rest of the run if no later write is acknowledged.
func failoverGap(seed uint64, s faultScenario, st strategy) (dfclock.Millis, *simulation) {
	sim := newSimulation(seed, faults{}, st)
	sim.maxOutstanding = 1000 // requests lost with the old primary must not block new ones
	sim.runUntil(injectAt + dfclock.Millis(sim.rng.IntN(100)))
	s.inject(sim, sim.majorityPrimaries()[0])
	end := injectAt + s.faultDelay + 14*dfclock.Second
	sim.runUntil(end)
	longest := dfclock.Millis(0)
	for last, i := end, len(sim.ackTimes)-1; i >= 0 && last >= injectAt; i-- {
		longest = max(longest, last-sim.ackTimes[i])
		last = sim.ackTimes[i]
	}
	return longest, sim
}

// gapTable returns a Markdown table of the simulated failover gaps by fault and
// strategy: p50 and maximum in milliseconds of virtual time.
func gapTable(seed uint64, rounds int) string {
	var out strings.Builder
	out.WriteString("| Fault | State machine p50 | max | Fixed 5 s p50 | max | Table lease p50 | max |\n|---|---|---|---|---|---|---|\n")
	for _, s := range faultScenarios {
		fmt.Fprintf(&out, "| %s |", s.name)
		for _, st := range []strategy{stateMachine, fixedTimeout, tableLease} {
			gaps := make([]int, rounds)
			for i := range gaps {
				span, _ := failoverGap(seed+uint64(i), s, st)
				gaps[i] = int(span)
			}
			sort.Ints(gaps)
			fmt.Fprintf(&out, " %d | %d |", gaps[rounds/2], gaps[rounds-1])
		}
		out.WriteString("\n")
	}
	return out.String()
}

// TestGaps guards against failovers slower than the target of 3 s, switchovers
// slower than 300 ms, and writes lost in either.
func TestGaps(t *testing.T) {
	for _, s := range faultScenarios {
		for seed := range seeds(t, 5) {
			span, sim := failoverGap(seed, s, stateMachine)
			require.Empty(t, sim.violations, "%s, seed %d", s.name, seed)
			bound := 3 * dfclock.Second
			if s.name == "planned" {
				bound = 300
			}
			require.Less(t, span, bound, "%s, seed %d", s.name, seed)
		}
	}
	t.Log("\n" + gapTable(1, int(seeds(t, 1))))
}
