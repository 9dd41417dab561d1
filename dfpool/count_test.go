package dfpool

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// TestStateCounts guards against counts by state that differ from the states of the
// connections.
func TestStateCounts(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	p := New(Config{Limit: 4, IdleTimeout: 50}, random)
	ids := func() ConnID { return ConnID(random.IntN(int(p.lastID) + 2)) }
	for step := range 5000 {
		now := dfclock.Millis(step)
		events := []Event{
			Acquire{Waiter: WaiterID(step + 1), Deadline: now.Add(30)}, Opened{Conn: ids()}, OpenFailed{Conn: ids()},
			Returned{Conn: ids(), Reusable: random.IntN(4) > 0}, Closed{Conn: ids()}, Stale{Conn: ids()},
			Silent{Conn: ids()}, ProbeFinished{Conn: ids(), OK: true}, Tick{},
		}
		p.Handle(now, events[random.IntN(len(events))])
		stats := p.Stats()
		counted := [closing + 1]int{opening: stats.Opening, idle: stats.Idle, inUse: stats.InUse, probing: stats.Probing, closing: stats.Closing}
		require.Equal(t, counted, p.counts, "step %d", step)
	}
}
