package dfplace

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpace"
)

// playSeeds is the number of seeds over which the rates of a second are averaged. One
// second of Poisson arrivals at full load varies by 7 %.
const playSeeds = 5

// startSecond is the second in which an upstream starts, recovers or is promoted, and
// startSeconds the number of seconds that are looked at from then on.
const (
	startSecond  = 8
	startSeconds = 5
)

// startOutcome sums the seconds after a start over the seeds.
type startOutcome struct {
	arrived, done, borne [startSeconds]float64
	refused              int
	onTime, requests     int
	writesOnTime, writes int
}

func (o *startOutcome) add(p *play, u *playUpstream) {
	for i := range o.arrived {
		second := dfclock.Millis(startSecond + i)
		o.arrived[i] += float64(u.arrived[second])
		o.done[i] += float64(u.done[second])
		o.borne[i] += u.borne[second]
		o.refused += u.refused[second]
	}
	o.onTime += p.onTime
	o.requests += p.requests
	o.writesOnTime += p.writesOnTime
	o.writes += p.writes
}

func (o *startOutcome) String() string {
	text := ""
	for i := range o.arrived {
		text += fmt.Sprintf(" %.2f/%.2f", o.arrived[i]/o.borne[i], o.done[i]/o.borne[i])
	}
	if o.writes > 0 {
		text += fmt.Sprintf(", writes on time %.3f", float64(o.writesOnTime)/float64(o.writes))
	}
	return fmt.Sprintf("arrived/done by second%s, refused %d, on time %.3f", text, o.refused, float64(o.onTime)/float64(o.requests))
}

func (o *startOutcome) requireNotFlooded(t *testing.T) {
	for i := range o.arrived {
		require.LessOrEqual(t, o.arrived[i], o.borne[i], "second %d after the start", i)
	}
}

// requireFilled requires 0.9 of the capacity 3 s after the start.
func (o *startOutcome) requireFilled(t *testing.T) {
	require.GreaterOrEqual(t, o.done[3], 0.9*o.borne[3])
}

var growths = []dfpace.Growth{dfpace.Unlimited{}, dfpace.Additive{}, dfpace.Multiplicative{}, dfpace.Gradient{}}

// compareGrowths plays one scenario with each rule, logs the outcomes and returns that
// of Gradient, which the hosts use.
func compareGrowths(t *testing.T, scenario func(growth dfpace.Growth, seed uint64, outcome *startOutcome)) *startOutcome {
	var outcome *startOutcome
	for _, growth := range growths {
		outcome = &startOutcome{}
		for seed := uint64(1); seed <= playSeeds; seed++ {
			scenario(growth, seed, outcome)
		}
		t.Logf("%-22T %s", growth, outcome)
	}
	return outcome
}

// Guards against hosts that flood an upstream that has just started and is still cold,
// because they expect it to be idle, and against hosts that leave it idle. Between
// them, the hosts ask for 0.95 and 1.2 of what three warm upstreams bear.
func TestRestartIsPaced(t *testing.T) {
	for _, load := range []float64{0.95, 1.2} {
		for _, hosts := range []int{1, 3, 61, 101} {
			t.Run(fmt.Sprintf("load %.2f hosts %d", load, hosts), func(t *testing.T) {
				outcome := compareGrowths(t, func(growth dfpace.Growth, seed uint64, outcome *startOutcome) {
					p := newPlay(seed, hosts, growth, load*3*playCapacity, 0)
					p.runUntil(4000)
					c := p.find("c")
					c.down = true
					p.runUntil(startSecond * dfclock.Second)
					p.restart(c, 3, 2*dfclock.Second)
					p.runUntil((startSecond + startSeconds) * dfclock.Second)
					outcome.add(p, c)
				})
				outcome.requireNotFlooded(t)
				outcome.requireFilled(t)
			})
		}
	}
}

// Guards against the same flood on an upstream that comes back after a crash under its
// old entry, so that hosts learn of it only by their own connections.
func TestRecoveryIsPaced(t *testing.T) {
	for _, hosts := range []int{1, 61} {
		t.Run(fmt.Sprintf("hosts %d", hosts), func(t *testing.T) {
			outcome := compareGrowths(t, func(growth dfpace.Growth, seed uint64, outcome *startOutcome) {
				p := newPlay(seed, hosts, growth, 0.95*3*playCapacity, 0)
				p.runUntil(4000)
				c := p.find("c")
				c.down = true
				p.runUntil(startSecond * dfclock.Second)
				c.down, c.startedAt, c.coldFactor, c.coldSpan = false, p.now, 3, 2*dfclock.Second
				p.runUntil((startSecond + startSeconds) * dfclock.Second)
				outcome.add(p, c)
			})
			outcome.requireNotFlooded(t)
			outcome.requireFilled(t)
		})
	}
}

// Guards against all writes that waited for a promotion arriving at the new leader at
// once, and against a pace that refuses writes or makes them late.
func TestPromotionIsPaced(t *testing.T) {
	for _, hosts := range []int{1, 61} {
		t.Run(fmt.Sprintf("hosts %d", hosts), func(t *testing.T) {
			outcome := compareGrowths(t, func(growth dfpace.Growth, seed uint64, outcome *startOutcome) {
				p := newPlay(seed, hosts, growth, 0.5*3*playCapacity, 0.3*playCapacity)
				p.runUntil(startSecond*dfclock.Second - 1000)
				p.find("a").down = true
				p.leader = ""
				p.runUntil(startSecond * dfclock.Second)
				p.leader = "b"
				for _, h := range p.hosts {
					h.selector.SetLeader(p.now, "b", true)
				}
				p.runUntil((startSecond + startSeconds) * dfclock.Second)
				outcome.add(p, p.find("b"))
			})
			outcome.requireNotFlooded(t)
		})
	}
}

// failingShare returns the share of the reads that c gets from 1 s after its tenth
// failure on.
func failingShare(p *play) float64 {
	p.runUntil(3000)
	c := p.find("c")
	c.failShare = 0.45
	for len(c.failures) < 10 {
		p.runUntil(p.now + 10)
	}
	p.runUntil((p.now/dfclock.Second + 2) * dfclock.Second)
	from := p.now / dfclock.Second
	p.runUntil(p.now + 20*dfclock.Second)
	share, total := 0.0, 0.0
	for second := from; second < p.now/dfclock.Second; second++ {
		share += float64(c.arrived[second])
		for _, u := range p.upstreams {
			total += float64(u.arrived[second])
		}
	}
	return share / total
}

// Guards against an upstream that keeps its reads because its health check is good
// although it fails 45 % of its requests. With many hosts, each of them has to learn
// it from its own answers.
func TestFailingUpstreamLosesItsReads(t *testing.T) {
	for _, hosts := range []int{1, 3, 61, 101} {
		t.Run(fmt.Sprintf("hosts %d", hosts), func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				baseline := failingShare(newPlay(seed, hosts, dfpace.Unlimited{}, 0.5*3*playCapacity, 0))
				share := failingShare(newPlay(seed, hosts, dfpace.Gradient{}, 0.5*3*playCapacity, 0))
				t.Logf("seed %d: %.4f of the reads, without a limit after trials %.4f", seed, share, baseline)
				require.Less(t, share, 0.05)
			}
		})
	}
}

// Guards against the same failure at each host, counted from its own tenth failure on.
func TestFailingUpstreamLosesTheReadsOfEachHost(t *testing.T) {
	for _, hosts := range []int{1, 3, 61} {
		t.Run(fmt.Sprintf("hosts %d", hosts), func(t *testing.T) {
			for seed := uint64(1); seed <= 6; seed++ {
				p := newPlay(seed, hosts, dfpace.Gradient{}, 0.5*3*playCapacity, 0)
				p.runUntil(3000)
				p.find("c").failShare = 0.45
				p.runUntil(30000)
				reads, atC, reached := 0, 0, 0
				for _, h := range p.hosts {
					if h.reads > 0 {
						reached++
					}
					reads, atC = reads+h.reads, atC+h.readsAtC
				}
				t.Logf("seed %d: %d hosts saw ten failures, %d of %d reads", seed, reached, atC, reads)
				require.Less(t, float64(atC), 0.05*float64(reads))
			}
		})
	}
}

// Guards against faults of one upstream that take more upstreams away or leave callers
// without an answer.
func TestOneFaultyUpstream(t *testing.T) {
	faults := map[string]func(p *play, c *playUpstream){
		"five times slower": func(_ *play, c *playUpstream) { c.slowdown = 5 },
		"hanging":           func(_ *play, c *playUpstream) { c.hangs = true },
		"flapping": func(p *play, c *playUpstream) {
			c.down = p.now/(1500*dfclock.Millisecond)%2 == 1
		},
		"failing 14 %": func(_ *play, c *playUpstream) { c.failShare = 0.14 },
	}
	for name, fault := range faults {
		for _, hosts := range []int{1, 61} {
			t.Run(fmt.Sprintf("%s hosts %d", name, hosts), func(t *testing.T) {
				p := newPlay(1, hosts, dfpace.Gradient{}, 0.5*3*playCapacity, 0)
				p.runUntil(3000)
				for p.now < 20000 {
					fault(p, p.find("c"))
					p.runUntil(p.now + 100)
				}
				t.Logf("requests %d, on time %d, late %d, refused %d, expired %d; set aside %d times, paced %d times",
					p.requests, p.onTime, p.late, p.refused, p.expired, p.setAside, p.paced)
				require.LessOrEqual(t, p.mostAside, 1, "never more than half")
				require.Less(t, p.refused+p.expired, p.requests/100, "nobody starves")
			})
		}
	}
}

// Guards against setting upstreams aside because of a fault that all of them share,
// such as a statement that fails everywhere.
func TestSharedFaultSetsNoneAside(t *testing.T) {
	faults := map[string]func(u *playUpstream){
		"failing 45 %":      func(u *playUpstream) { u.failShare = 0.45 },
		"failing 14 %":      func(u *playUpstream) { u.failShare = 0.14 },
		"five times slower": func(u *playUpstream) { u.slowdown = 5 },
	}
	for name, fault := range faults {
		for _, hosts := range []int{1, 61} {
			t.Run(fmt.Sprintf("%s hosts %d", name, hosts), func(t *testing.T) {
				for seed := uint64(1); seed <= 6; seed++ {
					p := newPlay(seed, hosts, dfpace.Gradient{}, 0.5*3*playCapacity, 0)
					p.runUntil(3000)
					for _, u := range p.upstreams {
						fault(u)
					}
					p.runUntil(20000)
					require.Zero(t, p.setAside, "seed %d", seed)
				}
			})
		}
	}
}

// Guards against a decision that changes the selection while nothing is wrong.
func TestQuietStateIsUnchanged(t *testing.T) {
	for _, hosts := range []int{1, 61} {
		with, without := newPlay(1, hosts, dfpace.Gradient{}, 0.6*3*playCapacity, 0.1*playCapacity),
			newPlay(1, hosts, dfpace.Unlimited{}, 0.6*3*playCapacity, 0.1*playCapacity)
		with.runUntil(10000)
		without.runUntil(10000)
		require.Zero(t, with.setAside+with.paced)
		for i, u := range with.upstreams {
			require.Equal(t, without.upstreams[i].arrived, u.arrived)
		}
	}
}
