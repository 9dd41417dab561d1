package dfupstream_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

// slowSink takes long to accept the first message of an answer.
type slowSink time.Duration

func (s slowSink) Send(messageType byte, _ []byte) error {
	if messageType == 'T' {
		time.Sleep(time.Duration(s))
	}
	return nil
}

// TestSlowCallerIsNotSilence guards against a connection that is cut because
// the caller takes long to accept an answer.
func TestSlowCallerIsNotSilence(t *testing.T) {
	pool, _ := startPool(t, nil)
	conn := get(t, pool)
	batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte("select x\x00")}}}
	const bound = dfclock.Second
	var doubts atomic.Int32
	_, err := conn.Exchange(context.Background(), batch, slowSink(5*time.Second/2), dfupstream.Options{
		Silence: bound,
		Doubt:   func(uint32, int) bool { doubts.Add(1); return false },
	})
	require.NoError(t, err)
	require.Zero(t, doubts.Load())
}

// TestSilenceIsGivenUp guards against a request that waits for its deadline
// although its connection is known to be lost.
func TestSilenceIsGivenUp(t *testing.T) {
	pool, _ := startPool(t, nil)
	conn := get(t, pool)
	var doubts atomic.Int32
	batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: []byte("select sleep\x00")}}}
	_, err := conn.Exchange(context.Background(), batch, discard{}, dfupstream.Options{
		Write:   true,
		Silence: 20,
		Doubt: func(pid uint32, count int) bool {
			doubts.Add(1)
			return pid == conn.PID() && count == 2
		},
	})
	requireCode(t, dfresult.CommitUnknown, err)
	require.Equal(t, int32(3), doubts.Load())
	require.True(t, conn.Silent())
	require.True(t, conn.Broken())
}
