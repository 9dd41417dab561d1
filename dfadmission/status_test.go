package dfadmission

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfadmit"
	"dragonflygrade/dfclock"
)

// Guards against a queue whose waiting and running requests are counted as each other.
func TestStatus(t *testing.T) {
	startedAt := time.Now()
	controller := New(dfadmit.Options{Limit: 1, MaxQueued: 4}, func() dfclock.Millis { return dfclock.Millis(time.Since(startedAt).Milliseconds()) })
	defer controller.Close()
	release := controller.Start()
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = controller.Admit(ctx, dfadmit.Request{Caller: "a", Deadline: dfclock.Minute})
	}()
	require.Eventually(t, func() bool { return controller.Status() == Status{Queued: 1, Running: 1, Limit: 1} }, time.Second, time.Millisecond)
	leave()
	<-ended
	release(false)
	require.Equal(t, Status{Limit: 1}, controller.Status())
}
