package dffailover_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// strike is one kind of fault at the primary, after which the gap is measured.
type strike struct {
	name string
	hit  func(w *world, primary *server)
	// wait is the time from the strike to the primary's fault.
	wait dfclock.Millis
}

var strikes = []strike{
	{"killed", func(w *world, p *server) { p.up = false }, 0},
	{"paused", func(w *world, p *server) { p.pausedUntil = w.now + 30*dfclock.Second }, 0},
	{"partitioned", func(w *world, p *server) {
		w.isolate(p.index, 30*dfclock.Second)
		w.isolate(len(w.servers)+p.index, 30*dfclock.Second)
	}, 0},
	{"planned", func(w *world, p *server) {
		p.leaving = true
		if w.rules == fixedTimeout { // the plain rule knows no planned change: the upstream is stopped
			p.leaving, p.up = false, false
		}
	}, 0},
	{"killed with the leading actor", func(w *world, p *server) {
		p.up = false
		w.actors[0].die(30 * dfclock.Second)
	}, 0},
	{"killed, table down for 11 s", func(w *world, p *server) {
		w.tableDown = true
		w.after(11*dfclock.Second, func() { p.up = false })
	}, 11 * dfclock.Second},
}

const strikeAt = 3 * dfclock.Second

// gap returns the longest time without an acknowledged write around the fault,
// or the rest of the run if writes never land again.
func gap(seed uint64, s strike, r rules) (dfclock.Millis, *world) {
	w := newWorld(seed, faults{}, r)
	w.maxOpen = 1000 // requests lost with the old primary hold nothing up
	w.runUntil(strikeAt + dfclock.Millis(w.rng.IntN(100)))
	s.hit(w, w.leaders()[0])
	end := strikeAt + s.wait + 14*dfclock.Second
	w.runUntil(end)
	longest := dfclock.Millis(0)
	for last, i := end, len(w.ackTimes)-1; i >= 0 && last >= strikeAt; i-- {
		longest = max(longest, last-w.ackTimes[i])
		last = w.ackTimes[i]
	}
	return longest, w
}

// MeasureGaps returns the failover gap in the model, by kind of fault, as a
// Markdown table of p50 and maximum in milliseconds of virtual time.
func MeasureGaps(seed uint64, rounds int) string {
	var out strings.Builder
	out.WriteString("| Fault | Ours p50 | max | Fixed 5 s p50 | max | Table only p50 | max |\n|---|---|---|---|---|---|---|\n")
	for _, s := range strikes {
		fmt.Fprintf(&out, "| %s |", s.name)
		for _, r := range []rules{ours, fixedTimeout, tableOnly} {
			gaps := make([]int, rounds)
			for i := range gaps {
				span, _ := gap(seed+uint64(i), s, r)
				gaps[i] = int(span)
			}
			sort.Ints(gaps)
			fmt.Fprintf(&out, " %d | %d |", gaps[rounds/2], gaps[rounds-1])
		}
		out.WriteString("\n")
	}
	return out.String()
}

// TestGaps guards against a failover slower than the stated aim (3 s, planned
// changes 300 ms) and against writes lost on the way.
func TestGaps(t *testing.T) {
	for _, s := range strikes {
		for seed := range seeds(t, 5) {
			span, w := gap(seed, s, ours)
			require.Empty(t, w.violations, "%s, seed %d", s.name, seed)
			bound := 3 * dfclock.Second
			if s.name == "planned" {
				bound = 300
			}
			require.Less(t, span, bound, "%s, seed %d", s.name, seed)
		}
	}
	t.Log("\n" + MeasureGaps(1, int(seeds(t, 1))))
}
