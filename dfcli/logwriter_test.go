package dfcli

import (
	"bytes"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// Guards against a process that ends with a panic because one of its goroutines
// writes a line while the log is closed.
func TestLogAfterClose(t *testing.T) {
	for range 50 {
		var out bytes.Buffer
		writer := newLogWriter(&out)
		logger := &log.Logger{Writer: writer}
		logger.Info().Msg("first")
		var late sync.WaitGroup
		for range 4 {
			late.Go(func() {
				for range 20 {
					logger.Info().Msg("late")
				}
			})
		}
		require.NoError(t, writer.Close())
		late.Wait()
		logger.Info().Msg("last")
		require.NoError(t, writer.Close())
		require.Contains(t, out.String(), "first")
		require.NotContains(t, out.String(), "last")
	}
}
