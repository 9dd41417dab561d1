package dfroute

import (
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// seedCount returns the number of simulation runs. Soak runs set it with
// DRAGONFLYGRADE_SEEDS.
func seedCount(t testing.TB) int {
	text := os.Getenv("DRAGONFLYGRADE_SEEDS")
	if text == "" {
		return 200
	}
	count, err := strconv.Atoi(text)
	require.NoError(t, err)
	return count
}

// runSeeds simulates the seeds from 1 to count. It returns the sum of their
// counters and the seeds with violations.
func runSeeds(count int, fault fault) (total sim, violatingSeeds []uint64) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	next := uint64(0)
	for range 4 {
		group.Go(func() {
			for {
				mutex.Lock()
				next++
				seed := next
				mutex.Unlock()
				if seed > uint64(count) {
					return
				}
				s := newSim(seed, fault)
				s.run()
				mutex.Lock()
				total.add(s)
				if len(s.violations) > 0 {
					violatingSeeds = append(violatingSeeds, seed)
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return total, violatingSeeds
}

func (s *sim) add(other *sim) {
	for i := range s.rungs {
		s.rungs[i] += other.rungs[i]
	}
	s.replicaReads += other.replicaReads
	s.refusedReads += other.refusedReads
	s.acknowledged = append(s.acknowledged, other.acknowledged...)
	s.violations = append(s.violations, other.violations...)
}

func (s *sim) served() int {
	count := 0
	for _, reads := range s.rungs {
		count += reads
	}
	return count
}

// Guards against stale reads. A read must see the acknowledged writes of its
// caller, all acknowledged writes older than its maximum age, and, if strong, all
// acknowledged writes. Meanwhile messages are delayed or lost, hosts pause and
// crash, slots move, the table is unavailable, primaries change and
// unacknowledged log tails are truncated.
func TestReadYourWrites(t *testing.T) {
	total, violatingSeeds := runSeeds(seedCount(t), faultNone)
	require.Empty(t, violatingSeeds, "%v", total.violations)
	t.Logf("%d reads by rung %v, %d on replicas, %d refused, %d writes acknowledged",
		total.served(), total.rungs, total.replicaReads, total.refusedReads, len(total.acknowledged))
	for _, rung := range []int{RungToken, RungKnown, RungPeers, RungBarrier, RungPrimary} {
		require.Positive(t, total.rungs[rung], "no read was served by rung %d", rung)
	}
	require.Greater(t, total.served(), 4*total.refusedReads, "most reads must be served")
	require.Greater(t, len(total.acknowledged), 10*seedCount(t), "most writes must be acknowledged")
}

// Repeats two seeds of a soak run with stale reads on RungKnown: a host took a
// slot, wrote and released the slot before another holder had a lease and a floor
// for it, and that holder then treated its knowledge as complete.
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{2714, 5301} {
		s := newSim(seed, faultNone)
		s.run()
		require.Empty(t, s.violations, "seed %d", seed)
	}
}

// Guards against a simulation that detects nothing: each fault injected into the
// protocol must cause violations.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	for name, fault := range map[string]fault{"notify": faultIgnorePeerAnswers, "applied": faultOverstateApplied, "floor": faultDropFloor} {
		_, violatingSeeds := runSeeds(40, fault)
		require.NotEmpty(t, violatingSeeds, name)
	}
}
