package dfholder

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// types records the types of messages.
type types struct {
	seen string
}

func (s *types) Send(messageType byte, _ []byte) error {
	s.seen += string(messageType)
	return nil
}

// Guards against held messages that reach the caller a second time when the
// batch ends.
func TestHeldMessagesArePassedOnOnce(t *testing.T) {
	sink := &types{}
	held := &refusalSink{sink: sink, enabled: true}
	for _, messageType := range "12TDC" {
		require.NoError(t, held.Send(byte(messageType), []byte("body")))
	}
	require.NoError(t, held.flush())
	assert.Equal(t, "12TDC", sink.seen)
}
