package dfedge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfresult"
)

// Guards against refusing writes to a starting leader although they can still wait,
// and against refusals without a time to come back.
func TestPaceMakesStatementsWait(t *testing.T) {
	e := &Edge{changed: make(chan struct{})}
	req := &routeRequest{service: &service{name: "orders"}, deadline: 2500, targetLatency: 150}
	require.Equal(t, waitUntil{e.changed, 1400}, e.awaitPace(1000, req, 400), "beyond the target latency, before the deadline")
	next := e.awaitPace(2200, req, 400)
	require.IsType(t, refuse{}, next)
	failure := next.(refuse).err
	require.Equal(t, dfresult.QueueFull, failure.Code)
	require.EqualValues(t, 400, failure.RetryAfter)
	require.Equal(t, dfresult.NotRun, failure.Code.Outcome())
}
