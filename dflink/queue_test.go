package dflink

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reader that spins for ever once its deadline has passed
// while a chunk that was due earlier waits.
func TestPopAfterDeadlineWithDueChunk(t *testing.T) {
	now := time.Now()
	q := &queue{changed: make(chan struct{})}
	q.chunks = []chunk{{data: []byte("x"), due: now.Add(-2 * time.Second)}}
	q.readBy = now.Add(-time.Second)
	_, err := q.pop(nil)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
