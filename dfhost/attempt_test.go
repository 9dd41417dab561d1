package dfhost

import (
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

func newTestAttempt(noRepeat bool) *attempt {
	host := &Host{counters: newCounters("h"), log: &log.Logger{Level: log.PanicLevel}}
	request := dfunit.Request{Class: dfunit.ClassWrite, NoRepeat: noRepeat}
	return newAttempt(host, request, nil, nil)
}

// TestForcedRepeatIsRefused puts in the fault of a send that is repeated after
// an unknown outcome. The request could then run twice.
func TestForcedRepeatIsRefused(t *testing.T) {
	for _, noRepeat := range []bool{true, false} {
		a := newTestAttempt(noRepeat)
		require.NoError(t, a.beginSend())
		a.sends = noteSend(a.sends, dfunit.ClassWrite, dfresult.NewError(dfresult.CommitUnknown, "lost"))
		require.Error(t, a.beginSend())
		require.Equal(t, 1, a.sends.Sends())
		require.Equal(t, uint64(1), a.host.counters.repeatsRefused.Get())
		defer strictSends.Store(strictSends.Swap(true))
		require.Panics(t, func() { _ = a.beginSend() }, "tests must not miss it")
		strictSends.Store(false)
	}
}

// TestNoRepeatIsNotRetried guards against the retry of a request that must not
// be repeated, and against writes that are no longer retried when they did not
// run.
func TestNoRepeatIsNotRetried(t *testing.T) {
	refusal := dfresult.NewError(dfresult.TermSuperseded, "the primary was replaced")
	for _, noRepeat := range []bool{true, false} {
		a := newTestAttempt(noRepeat)
		require.True(t, a.repeatable(refusal), "nothing was sent yet")
		require.NoError(t, a.beginSend())
		a.sends = noteSend(a.sends, dfunit.ClassWrite, refusal)
		require.Equal(t, !noRepeat, a.repeatable(refusal))
	}
}
