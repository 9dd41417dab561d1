package dfadmit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// Guards against a queue that refuses every request after its upstream stalled: the
// estimate from the stall exceeds what any request may wait, and without a request that
// runs nothing ever corrects it.
func TestStalledUpstreamIsTriedAgain(t *testing.T) {
	const waitLimit = 300 * dfclock.Millisecond
	q := newFixedQueue(2, 100)
	now := dfclock.Second
	for id := uint64(1); id <= 2; id++ {
		require.NoError(t, q.Enqueue(now, Request{ID: id, Caller: "a", Deadline: now + waitLimit}))
		action, ok := q.Next(now)
		require.True(t, ok)
		require.IsType(t, Start{}, action)
	}
	now += 2 * dfclock.Second
	q.Finish(now, 1, true)
	q.Finish(now, 2, true)
	require.NoError(t, q.Enqueue(now, Request{ID: 3, Caller: "a", Deadline: now + waitLimit}))
	action, ok := q.Next(now)
	require.True(t, ok)
	require.IsType(t, Start{}, action, "nothing runs, so the request can be tried")
}

// Guards against callers who are refused because statements take longer than they may
// wait, although they could start at once and be answered, only late.
func TestSlowUpstreamIsUsed(t *testing.T) {
	const waitLimit = 300 * dfclock.Millisecond
	q := newFixedQueue(2, 100)
	now := dfclock.Second
	for id := uint64(1); id <= 8; id++ {
		require.NoError(t, q.Enqueue(now, Request{ID: id, Caller: "a", Deadline: now + waitLimit, BoundsStart: true}))
		action, ok := q.Next(now)
		require.True(t, ok)
		require.IsType(t, Start{}, action)
		if id > 1 {
			now += 400
			q.Finish(now, id-1, false)
		}
	}
}
