package dfpeer

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// alteredTexts are texts that a message between hosts has to carry unchanged.
var alteredTexts = []string{"", "a\r", "a\r\n", "a\nb", " a ", "a;", "SELECT '\xe9\xff'", "\xff\xfe"}

// echoHandler opens units that record the batch and answer with its texts.
type echoHandler struct {
	Handler
	unit *echoUnit
}

func (h echoHandler) OpenRelayed(_ context.Context, request dfunit.Request, _ uint64) (dfunit.Unit, error) {
	h.unit.caller = request.Caller
	return h.unit, nil
}

// echoUnit answers each message with its body, and with the failure if there is one.
type echoUnit struct {
	batch   dfunit.Batch
	caller  string
	failure error
}

func (u *echoUnit) Exchange(_ context.Context, batch dfunit.Batch, sink dfunit.Sink) (dfunit.Result, error) {
	u.batch = batch
	for _, message := range batch.Messages {
		if err := sink.Send('D', message.Body); err != nil {
			return dfunit.Result{}, err
		}
	}
	return dfunit.Result{Status: 'I'}, u.failure
}

func (u *echoUnit) Cancel() {}
func (u *echoUnit) Close()  {}

// recorder keeps the bodies of answers.
type recorder struct{ bodies []string }

func (r *recorder) Send(_ byte, body []byte) error {
	r.bodies = append(r.bodies, string(body))
	return nil
}

// relayText exchanges a batch with a text in all its places with another host.
func relayText(t *testing.T, unit *echoUnit, text string) (*recorder, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test
	require.NoError(t, err)
	server := NewServer(echoHandler{unit: unit}, clock, nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	directory := NewDirectory(nil, nil)
	t.Cleanup(directory.Close)
	peer, err := directory.Peer(listener.Addr().String())
	require.NoError(t, err)
	opened, err := NewForwarder(peer, 1, clock).Open(t.Context(), dfunit.Request{Caller: text})
	require.NoError(t, err)
	defer opened.Close()
	answers := &recorder{}
	_, err = opened.Exchange(t.Context(), dfunit.Batch{Messages: []dfunit.Message{
		{Type: 'P', Body: []byte("s\x00" + text + "\x00"), Statement: &dfunit.Statement{SQL: text}},
		{Type: 'Q', Body: []byte(text + "\x00")},
	}}, answers)
	return answers, err
}

// TestAlteredRelayedText guards against a caller, a statement or a row that another host
// cannot pass on, or passes on with another text.
func TestAlteredRelayedText(t *testing.T) {
	for _, text := range alteredTexts {
		unit := &echoUnit{}
		answers, err := relayText(t, unit, text)
		require.NoError(t, err, "%q", text)
		require.Equal(t, text, unit.caller)
		require.Equal(t, text, unit.batch.Messages[0].Statement.SQL)
		require.Equal(t, text+"\x00", string(unit.batch.Messages[1].Body))
		require.Equal(t, []string{"s\x00" + text + "\x00", text + "\x00"}, answers.bodies)
	}
}

// TestRelayedErrorOfAnyText guards against "outcome unknown" in place of an error whose
// detail is not UTF-8.
func TestRelayedErrorOfAnyText(t *testing.T) {
	for _, text := range alteredTexts {
		unit := &echoUnit{failure: dfresult.NewError(dfresult.NoConnection, "%s", text)}
		_, err := relayText(t, unit, "SELECT 1")
		var failure *dfresult.Error
		require.ErrorAs(t, err, &failure)
		require.Equal(t, dfresult.NoConnection, failure.Code, "%q: %v", text, failure)
	}
}
