package dfquota

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// partitions are the ways in which hosts lose each other.
var partitions = map[string]func(w *world, random func(int) int){
	"one host":         func(w *world, random func(int) int) { w.cut[w.nodes[random(len(w.nodes))].ID] = w.seq + 1 },
	"a data centre":    func(w *world, random func(int) int) { w.cutOff(fmt.Sprintf("dc%d", random(3)), w.seq+1) },
	"all data centres": func(w *world, _ func(int) int) { w.cutOff("dc0", w.seq+1); w.cutOff("dc1", w.seq+2) },
	"all from all":     func(w *world, _ func(int) int) { w.split(len(w.nodes)) },
	"random groups":    func(w *world, random func(int) int) { w.split(2 + random(5)) },
	"most of the hosts": func(w *world, random func(int) int) {
		for _, n := range w.nodes[:len(w.nodes)/2-random(2)] {
			w.cut[n.ID] = w.seq + 1
		}
	},
	"a link": func(w *world, random func(int) int) { w.cutLinks[fmt.Sprintf("dc%ddc%d", random(2), 2)] = true },
}

// split puts the hosts into groups that do not reach each other.
func (w *world) split(groups int) {
	for i, n := range w.nodes {
		w.cut[n.ID] = w.seq + 1 + i%groups
	}
}

// heal ends all partitions.
func (w *world) heal() {
	clear(w.cut)
	clear(w.cutLinks)
}

// Guards against grants that add up to more than the limit while hosts lose each other, or
// when they come back, and against tokens that are returned and used twice. Arrivals at
// upstreams are counted in windows of 5 s.
func TestPartitionsStayWithinTheLimit(t *testing.T) {
	names := slices.Sorted(maps.Keys(partitions))
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(5, 21).Draw(t, "hosts")
		rate := rapid.SampledFrom([]float64{1, 2, 4, 6, 20, 60, 150}).Draw(t, "rate")
		limits := map[string]Limit{
			"a": {Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0, 0.2, 1, 3}).Draw(t, "burst")},
			"b": {Rate: rate / 3, Burst: rate / 3},
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), hosts, limits)
		w.badLinks = rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(t, "bad links")
		w.unsent = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "unsent")
		demand := rapid.SampledFrom([]float64{0.6, 2, 7}).Draw(t, "demand")
		pause := rapid.Bool().Draw(t, "pauses")
		for _, name := range []string{"a", "b"} {
			limit := limits[name]
			w.load(name, 30*second, func(at dfclock.Millis) float64 {
				if pause && at/(2*second)%2 == 0 {
					return 0
				}
				return demand * limit.Rate
			})
		}
		random := func(n int) int { return w.random.IntN(n) }
		at := dfclock.Millis(rapid.IntRange(6500, 9000).Draw(t, "at"))
		for range rapid.IntRange(1, 4).Draw(t, "partitions") {
			partition := partitions[rapid.SampledFrom(names).Draw(t, "partition")]
			w.at(at, func() { partition(w, random) })
			at += dfclock.Millis(rapid.IntRange(500, 9000).Draw(t, "span"))
			if rapid.Bool().Draw(t, "heal") {
				w.at(at, w.heal)
				at += dfclock.Millis(rapid.IntRange(0, 4000).Draw(t, "healed for"))
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			n := w.nodes[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			kind := rapid.SampledFrom([]int{2, 3, 3, 4, 6}).Draw(t, "fault")
			span := dfclock.Millis(rapid.IntRange(100, 8000).Draw(t, "for"))
			w.at(dfclock.Millis(rapid.IntRange(7000, 25000).Draw(t, "fault at")), func() { w.fault(n, kind, span) })
		}
		w.run(31 * second)
		if excess := w.excess(); excess != "" {
			t.Fatal(excess)
		}
	})
}

// Guards against tokens of operations that were never sent which are lost, and against
// those that are used after they expired or after the limit was lowered.
func TestTokenIsReturned(t *testing.T) {
	limits := map[string]Limit{"a": {Rate: 10, Burst: 10}}
	lowered := map[string]Limit{"a": {Rate: 5, Burst: 5}}
	for _, c := range []struct {
		name       string
		returnedAt dfclock.Millis
		limits     map[string]Limit
		returned   bool
	}{
		{"in time", 1200, limits, true},
		{"too late", 1000 + GrantTTL, limits, false},
		{"after the limit was lowered", 1200, lowered, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			self := dfmember.Host{ID: "a"}
			h := NewHost()
			h.SetLimits(1, limits)
			h.SetHosts([]dfmember.Host{self})
			require.IsType(t, Waiting{}, h.Arrive(1000, "a", 2000))
			sent := h.Asks(1000, nil, nil)[0]
			decisions := h.Handle(1010, sent, Grant{Version: 1, Ready: true, Parts: []Part{{Tokens: 1}}})
			require.Len(t, decisions, 1)
			token, _ := decisions[0].Verdict.(Admitted)
			h.SetLimits(2, c.limits)
			_, returned := h.Return(c.returnedAt, "a", token)
			require.Equal(t, c.returned, returned)
			_, admitted := h.Arrive(c.returnedAt, "a", c.returnedAt).(Admitted)
			require.Equal(t, c.returned, admitted, "a second operation takes the token")
		})
	}
}
