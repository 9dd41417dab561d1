package dfmessage

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against texts that make a message undecodable or arrive altered: an exchange of
// hosts that fails for one text fails again with each repetition.
func TestAlteredText(t *testing.T) {
	type name string
	type message struct {
		_      struct{} `cbor:",toarray"`
		Text   string
		Name   name
		Values map[string]string
		Rows   []string
		Nested struct{ Text string }
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		text := func() string {
			data := make([]byte, random.IntN(40))
			for i := range data {
				data[i] = byte(random.Uint32())
			}
			return string(data)
		}
		sent := message{Text: text(), Name: name(text()), Values: map[string]string{text(): text()}, Rows: []string{text(), text()}}
		sent.Nested.Text = text()
		var frame bytes.Buffer
		require.NoError(t, Write(&frame, sent))
		var received message
		require.NoError(t, Read(&frame, &received))
		require.Equal(t, sent, received)
	}
}

// Guards against a message that is sent although its receiver refuses it, which ends the
// connection between the hosts, and against a limit on the number of texts below that.
func TestLimitOfAMessage(t *testing.T) {
	var frame bytes.Buffer
	require.ErrorIs(t, Write(&frame, make([]byte, maxMessageSize)), ErrTooLarge)
	require.Zero(t, frame.Len())
	sent := make([]string, maxMessageSize-16)
	require.NoError(t, Write(&frame, sent))
	var received []string
	require.NoError(t, Read(&frame, &received))
	require.Len(t, received, len(sent))
}
