package dfconnection

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfstatement"
)

// newQueueingPool returns a pool that runs one statement at a time.
func newQueueingPool(t *testing.T) *Pool {
	t.Helper()
	upstream := &limitedUpstream{limit: 8}
	startedAt := time.Now()
	clock := func() dfclock.Millis { return dfclock.Millis(time.Since(startedAt).Milliseconds()) }
	pool := NewPool(dffleet.Upstream{ID: "u"}, 8, UseCarrier, clock, upstream.opener, func(dffleet.ID, error) {}, rand.New(rand.NewPCG(1, 2)))
	pool.SetAdmissionLimit(1, false)
	t.Cleanup(pool.Close)
	return pool
}

func mustAcquire(t *testing.T, pool *Pool, organisation string, priority int) *Conn {
	t.Helper()
	conn, err := pool.Acquire(context.Background(), organisation, priority, pool.clock().Add(10*dfclock.Second))
	require.NoError(t, err)
	return conn
}

// Guards against an urgent statement that waits behind a less urgent one, and against
// a place that stays taken when its connection is returned unused.
func TestUrgentStatementStartsFirst(t *testing.T) {
	pool := newQueueingPool(t)
	held := mustAcquire(t, pool, "a", 0)
	started := make(chan int, 2)
	for i, priority := range []int{5, 0} {
		go func() {
			conn, err := pool.Acquire(context.Background(), "a", priority, pool.clock().Add(10*dfclock.Second))
			if err != nil {
				started <- -1
				return
			}
			started <- priority
			pool.Release(conn, true)
		}()
		require.Eventually(t, func() bool { return pool.admission.Queued() == i+1 }, 5*time.Second, time.Millisecond)
	}
	pool.Release(held, true)
	require.Equal(t, 0, <-started)
	require.Equal(t, 5, <-started)
}

// Guards against an open transaction that waits for a place while it keeps its
// connection and its locks, and against one that keeps its place while its caller
// pauses.
func TestOpenTransactionTakesNoPlaceAndWaitsForNone(t *testing.T) {
	pool := newQueueingPool(t)
	read := dfstatement.Call{Statement: dfstatement.Read{Item: "x"}}
	transaction := mustAcquire(t, pool, "a", 0)
	_, _, err := transaction.Exchange(nil, deadlineIn(dfclock.Second), read)
	require.NoError(t, err)
	other := mustAcquire(t, pool, "b", 5)
	_, _, err = transaction.Exchange(nil, deadlineIn(dfclock.Second), read)
	require.NoError(t, err)
	pool.Release(transaction, true)
	pool.Release(other, true)
	require.Zero(t, pool.admission.Queued())
}
