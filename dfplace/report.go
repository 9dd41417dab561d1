package dfplace

import (
	"cmp"
	"math"
	"slices"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfreport"
)

// weightExponent is the power of the expected wait to which the weight of an upstream is
// inversely proportional. With 4, an upstream that is expected to take one and a half
// times as long gets a fifth of the weight, and one in another data centre, without a
// queue at either, a fiftieth.
const weightExponent = 4

// Choice is how an upstream is chosen by the expected waits, where carriers report:
// Weighted, TwoDrawn or Lowest. docs/design/reports.md compares them.
type Choice interface {
	// keys returns a number for each expected wait. The upstream with the lowest number
	// is chosen. draws has as many numbers in (0, 1].
	keys(waits, draws []float64) []float64
}

// Weighted draws an upstream by weights that decrease with the expected wait.
type Weighted struct{}

// TwoDrawn draws two upstreams and chooses the one with the lower expected wait.
type TwoDrawn struct{}

// Lowest chooses the lowest expected wait. It is the baseline of comparisons.
type Lowest struct{}

func (Weighted) keys(waits, draws []float64) []float64 {
	// The lowest of exponentially distributed numbers is drawn with the weights that
	// are their rates.
	keys := make([]float64, len(waits))
	for i, wait := range waits {
		keys[i] = -math.Log(draws[i]) * math.Pow(wait, weightExponent)
	}
	return keys
}

func (TwoDrawn) keys(waits, draws []float64) []float64 {
	ordered := slices.Clone(draws)
	slices.Sort(ordered)
	keys := slices.Clone(waits)
	for i := range keys {
		if len(ordered) > 2 && draws[i] > ordered[1] {
			keys[i] += math.MaxInt32
		}
	}
	return keys
}

func (Lowest) keys(waits, _ []float64) []float64 {
	return waits
}

// SetCarriers names the hosts that carry an upstream, or none. Reports of others are
// dropped.
func (s *Selector) SetCarriers(id dffleet.ID, carriers []string) {
	if c := s.candidates[id]; c != nil {
		c.carriers = carriers
		c.reports.Retain(carriers)
	}
}

// TakesReports reports whether the reports of a carrier on an upstream count.
func (s *Selector) TakesReports(id dffleet.ID, carrier string) bool {
	c := s.candidates[id]
	return c != nil && slices.Contains(c.carriers, carrier)
}

// RecordReport records the report of a carrier on an upstream.
func (s *Selector) RecordReport(now dfclock.Millis, id dffleet.ID, carrier string, report dfreport.Report) {
	if !s.TakesReports(id, carrier) {
		return
	}
	c := s.candidates[id]
	s.pace.RecordReport(now, id, c.reports.Record(now, carrier, report))
	s.pace.RecordLoad(now, id, report.Queue.Wait, report.Queue.Latency)
}

// RecordCarriedAnswer is RecordAnswer for an answer that a carrier's report counts.
func (s *Selector) RecordCarriedAnswer(now dfclock.Millis, id dffleet.ID, latency dfclock.Millis) {
	s.recordLatency(now, id, latency)
	s.pace.RecordCarriedGood(now, id, latency)
}

// MovedReads returns how many reads a report moved to another upstream since the last
// call.
func (s *Selector) MovedReads() int {
	moved := s.moved
	s.moved = 0
	return moved
}

// withReports moves an estimate of the wait, in units of 1/latencyScale ms, to the
// reported one by the weight of the reports.
func (c *candidate) withReports(now, own dfclock.Millis) dfclock.Millis {
	reported := c.reports.Estimate(now)
	if reported.Weight == 0 || reported.Latency == 0 {
		return own
	}
	return own + ((reported.Wait+reported.Latency)*latencyScale-own)*reported.Weight/dfreport.FreshFor
}

// usesCarriers reports whether one of the upstreams is used through carriers.
func (s *Selector) usesCarriers(usable []dffleet.Upstream) bool {
	return slices.ContainsFunc(usable, func(u dffleet.Upstream) bool {
		c := s.candidates[u.ID]
		return c != nil && len(c.carriers) > 0
	})
}

// isCarried reports whether one of the options is used through carriers.
func (s *Selector) isCarried(options []option) bool {
	return slices.ContainsFunc(options, func(o option) bool { return len(o.carriers) > 0 })
}

// draw returns the chosen candidate, or nil. The leader takes part only if no replica is
// expected to be better or can be used, so that its slots are left to what only it can
// run.
func (s *Selector) draw(now dfclock.Millis, options []option) *candidate {
	draws := make([]float64, len(options))
	for i := range draws {
		draws[i] = 1 - s.random()
	}
	ranked := s.rank(now, options, draws, (*candidate).score)
	unreported := s.rank(now, options, draws, func(c *candidate, now dfclock.Millis) dfclock.Millis {
		return c.ownEstimate(now) + c.distance() + c.addedLoad(now)
	})
	for i, c := range ranked {
		// A limit counts as used only by statements that want the upstream.
		if s.pace.AvailableIn(now, c.id) > 0 {
			continue
		}
		if i == 0 && unreported[0] != c {
			s.moved++
		}
		return c
	}
	return nil
}

// rank orders the candidates as they are to be chosen.
func (s *Selector) rank(now dfclock.Millis, options []option, draws []float64, value func(*candidate, dfclock.Millis) dfclock.Millis) []*candidate {
	waits := make([]float64, len(options))
	for i, o := range options {
		waits[i] = float64(value(o.candidate, now) * o.percent / 100)
	}
	keys := s.choice.keys(waits, draws)
	lowest := slices.Min(waits)
	for i, o := range options {
		if o.leads && waits[i] > lowest {
			keys[i] = math.Inf(1)
		}
	}
	order := make([]int, len(options))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(keys[i], keys[j]) })
	ranked := make([]*candidate, len(options))
	for i, at := range order {
		ranked[i] = options[at].candidate
	}
	return ranked
}
