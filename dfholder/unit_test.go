package dfholder

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// typeRecorder is a sink that records the types of messages.
type typeRecorder struct {
	seen string
}

func (s *typeRecorder) Send(messageType byte, _ []byte) error {
	s.seen += string(messageType)
	return nil
}

// Guards against buffered messages that are sent to the caller a second time when
// the batch ends.
func TestBufferedMessagesAreSentOnce(t *testing.T) {
	sink := &typeRecorder{}
	filter := &refusalSink{sink: sink, inspecting: true}
	for _, messageType := range "12TDC" {
		require.NoError(t, filter.Send(byte(messageType), []byte("body")))
	}
	require.NoError(t, filter.flush())
	assert.Equal(t, "12TDC", sink.seen)
}
