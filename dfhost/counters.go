package dfhost

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"dragonflygrade/dfunit"
)

// rungs is the number of steps of the read ladder.
const rungs = 5

// counters has the figures of one host. They are counted here as well as
// exported, because several hosts may run in one process.
type counters struct {
	set          *metrics.Set
	reads        *metrics.Counter
	replicaReads *metrics.Counter
	localReads   *metrics.Counter
	writes       *metrics.Counter
	retries      *metrics.Counter
	// repeatsRefused counts sends that a broken rule would have repeated.
	repeatsRefused *metrics.Counter
	byRung         [rungs + 1]*metrics.Counter
	version        atomic.Uint64
}

func newCounters(host string) *counters {
	set := metrics.NewSet()
	counter := func(name string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("dragonflygrade_%s{host=%q}", name, host))
	}
	c := &counters{
		set:            set,
		reads:          counter("reads_total"),
		replicaReads:   counter("replica_reads_total"),
		localReads:     counter("local_reads_total"),
		writes:         counter("writes_total"),
		retries:        counter("retries_total"),
		repeatsRefused: counter("repeats_refused_total"),
	}
	for rung := range c.byRung {
		c.byRung[rung] = set.NewCounter(fmt.Sprintf("dragonflygrade_reads_by_rung_total{host=%q,rung=\"%d\"}", host, rung))
	}
	set.NewGauge(fmt.Sprintf("dragonflygrade_configuration_version{host=%q}", host), func() float64 {
		return float64(c.version.Load())
	})
	return c
}

// served counts one batch.
func (c *counters) served(result dfunit.Result) {
	if result.Rung == 0 {
		c.writes.Inc()
		return
	}
	c.reads.Inc()
	if result.Rung <= rungs {
		c.byRung[result.Rung].Inc()
	}
	if result.Replica {
		c.replicaReads.Inc()
	}
	if result.Local {
		c.localReads.Inc()
	}
}

// Figures are the counts of one host.
type Figures struct {
	Reads, ReplicaReads, LocalReads, Writes, Retries uint64
	// ByRung counts reads by the step of the ladder; index 0 is unused.
	ByRung [rungs + 1]uint64
}

// Figures returns the counts so far.
func (h *Host) Figures() Figures {
	c := h.counters
	figures := Figures{
		Reads: c.reads.Get(), ReplicaReads: c.replicaReads.Get(), LocalReads: c.localReads.Get(),
		Writes: c.writes.Get(), Retries: c.retries.Get(),
	}
	for rung, counter := range c.byRung {
		figures.ByRung[rung] = counter.Get()
	}
	return figures
}
