package dfroute

import (
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// seeds is the number of simulated runs; a soak run sets the variable.
func seeds(t testing.TB) int {
	text := os.Getenv("DRAGONFLYGRADE_SEEDS")
	if text == "" {
		return 200
	}
	count, err := strconv.Atoi(text)
	require.NoError(t, err)
	return count
}

// runs simulates the seeds from 1 on and joins what they counted.
func runs(count int, fault fault) (total sim, faulty []uint64) {
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
				if len(s.faults) > 0 {
					faulty = append(faulty, seed)
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return total, faulty
}

func (s *sim) add(other *sim) {
	for i := range s.rungs {
		s.rungs[i] += other.rungs[i]
	}
	s.replica += other.replica
	s.refused += other.refused
	s.acked = append(s.acked, other.acked...)
	s.faults = append(s.faults, other.faults...)
}

func (s *sim) served() int {
	count := 0
	for _, reads := range s.rungs {
		count += reads
	}
	return count
}

// TestReadYourWrites guards against any read that misses a write of its caller,
// a write older than its bound on age, or for a strong read any write, while
// messages are late or lost, hosts pause and die, slots move, the table is down,
// primaries change and unacknowledged tails are cut.
func TestReadYourWrites(t *testing.T) {
	total, faulty := runs(seeds(t), faultNone)
	require.Empty(t, faulty, "%v", total.faults)
	t.Logf("%d reads by rung %v, %d on replicas, %d refused, %d writes acknowledged",
		total.served(), total.rungs, total.replica, total.refused, len(total.acked))
	for _, rung := range []int{RungToken, RungKnown, RungPeers, RungBarrier, RungPrimary} {
		require.Positive(t, total.rungs[rung], "rung %d was never taken", rung)
	}
	require.Greater(t, total.served(), 4*total.refused, "most reads must be served")
	require.Greater(t, len(total.acked), 10*seeds(t), "most writes must be acknowledged")
}

// TestSoakFindings repeats the seeds by which a soak run found a holder that
// forgot the writes of a peer which had left before it granted a lease.
func TestSoakFindings(t *testing.T) {
	for _, seed := range []uint64{2714, 5301} {
		s := newSim(seed, faultNone)
		s.run()
		require.Empty(t, s.faults, "seed %d", seed)
	}
}

// TestSimulationNoticesFaults puts faults into the protocol on purpose, so that
// a simulation that checks nothing is noticed.
func TestSimulationNoticesFaults(t *testing.T) {
	for name, fault := range map[string]fault{"notify": faultNotify, "applied": faultApplied, "floor": faultFloor} {
		_, faulty := runs(40, fault)
		require.NotEmpty(t, faulty, name)
	}
}
