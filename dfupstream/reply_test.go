package dfupstream

import (
	"bufio"
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfframe"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// script runs the cases of a file against a scripted upstream.
type script struct {
	t        *testing.T
	name     string
	conn     *Conn
	upstream net.Conn
	reader   *dfframe.Reader
	options  map[string]bool
	batch    dfunit.Batch
	got      []string
	done     chan struct{}
	result   dfunit.Result
	err      error
}

// TestReplies guards against replies that reach the wrong message, and against
// wrong outcomes of lost connections.
func TestReplies(t *testing.T) {
	file, err := os.Open("testdata/replies.txt")
	require.NoError(t, err)
	defer file.Close()
	s := &script{t: t}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		word, rest, _ := strings.Cut(scanner.Text(), " ")
		if word != "" && word != "#" {
			s.step(word, strings.Fields(rest))
		}
	}
	s.finish()
}

func (s *script) step(word string, tokens []string) {
	switch word {
	case "case":
		s.finish()
		s.name, s.options = strings.Join(tokens, " "), map[string]bool{}
		s.conn, s.upstream = pipe(s.t)
		s.reader = dfframe.NewReader(s.upstream, 1<<20)
	case "options":
		clear(s.options)
		for _, token := range tokens {
			s.options[token] = true
		}
	case "batch":
		s.begin(tokens)
	case "sent", "then":
		for _, token := range tokens {
			messageType, _, err := s.reader.Next()
			require.NoError(s.t, err, s.name)
			require.Equal(s.t, token, string(messageType), s.name)
		}
	case "reply":
		for _, token := range tokens {
			s.reply(token)
		}
	case "caller":
		<-s.done
		require.Equal(s.t, tokens, append([]string{}, s.got...), s.name)
	case "status":
		require.NoError(s.t, s.err, s.name)
		status := map[string]byte{"-": 0, "copy": 0}
		want, special := status[tokens[0]]
		if !special {
			want = tokens[0][0]
		}
		require.Equal(s.t, string(want), string(s.result.Status), s.name)
		require.Equal(s.t, tokens[0] == "copy", s.result.CopyIn, s.name)
	case "position":
		require.Equal(s.t, tokens[0], s.result.Position.String(), s.name)
	case "error":
		var failure *dfresult.Error
		require.ErrorAs(s.t, s.err, &failure, s.name)
		require.Equal(s.t, tokens[0], strconv.Itoa(int(failure.Code)), s.name)
	default:
		s.t.Fatal("unknown step " + word)
	}
}

func (s *script) finish() {
	if s.conn != nil {
		s.conn.Close()
		s.upstream.Close()
	}
}

func (s *script) begin(tokens []string) {
	s.batch = dfunit.Batch{}
	for _, token := range tokens {
		s.batch.Messages = append(s.batch.Messages, message(token))
	}
	options := Options{Position: s.options["position"], Write: s.options["write"]}
	if s.options["gate"] {
		options.Gate = func(context.Context, dfposition.Position) error {
			s.got = append(s.got, "gate")
			if s.options["deny"] {
				return dfresult.NewError(dfresult.HostDraining, "denied")
			}
			if s.options["refuse"] {
				return dfresult.NewError(dfresult.NotMajority, "refused")
			}
			return nil
		}
	}
	s.got, s.done = nil, make(chan struct{})
	go func() {
		defer close(s.done)
		s.result, s.err = s.conn.Exchange(context.Background(), s.batch, s, options)
	}()
}

// message builds a frontend message from type:name:text.
func message(token string) dfunit.Message {
	parts := append(strings.Split(strings.ReplaceAll(token, "_", " "), ":"), "", "")
	m := dfunit.Message{Type: token[0]}
	name, text := parts[1], parts[2]
	if text != "" {
		m.Statement = &dfunit.Statement{SQL: text}
	}
	switch m.Type {
	case 'Q':
		m.Body = []byte(name + "\x00")
	case 'P':
		m.Body = []byte(name + "\x00" + text + "\x00\x00\x00")
	case 'B':
		m.Body = []byte("\x00" + name + "\x00\x00\x00\x00\x00\x00\x00")
	case 'D', 'C':
		m.Body = []byte("S" + name + "\x00")
	case 'E':
		m.Body = []byte("\x00\x00\x00\x00\x00")
	case 'd':
		m.Body = []byte("data")
	}
	return m
}

func (s *script) reply(token string) {
	messageType, text, _ := strings.Cut(strings.ReplaceAll(token, "_", " "), ":")
	var body []byte
	switch messageType {
	case "X":
		s.upstream.Close()
		return
	case "Z":
		body = []byte(text)
	case "C":
		body = []byte(text + "\x00")
	case "D":
		encoded, err := (&pgproto3.DataRow{Values: [][]byte{[]byte(text)}}).Encode(nil)
		require.NoError(s.t, err)
		body = encoded[5:]
	case "E":
		if text == "" {
			text = "22012"
		}
		body = []byte("VERROR\x00C" + text + "\x00Mfailed\x00\x00")
	}
	_, err := s.upstream.Write(dfframe.Append(nil, messageType[0], body))
	require.NoError(s.t, err, s.name)
}

// Send records what the caller gets.
func (s *script) Send(messageType byte, body []byte) error {
	text := string(messageType)
	if messageType == 'C' || messageType == 'Z' {
		text += ":" + strings.ReplaceAll(strings.TrimSuffix(string(body), "\x00"), " ", "_")
	}
	s.got = append(s.got, text)
	return nil
}

// pipe returns a connection that is ready, and the upstream's end of it.
func pipe(t *testing.T) (*Conn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		upstream, err := listener.Accept()
		if err != nil {
			return
		}
		backend := pgproto3.NewBackend(upstream, upstream)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		backend.Flush()
		accepted <- upstream
	}()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	conn, err := Open(context.Background(), Config{Dial: dial, Address: listener.Addr().String(), User: "user"})
	require.NoError(t, err)
	return conn, <-accepted
}

// TestQueueCheckFires puts in the fault of a reply that is still due at
// ReadyForQuery; the next caller would get it.
func TestQueueCheckFires(t *testing.T) {
	conn, upstream := pipe(t)
	defer upstream.Close()
	defer SetStrict(SetStrict(true))
	conn.batch.ended = 'I'
	conn.queue.push(expected{kind: replyBind})
	require.Panics(t, conn.checkEnd)
	SetStrict(false)
	before := failedChecks.Get()
	conn.checkEnd()
	require.True(t, conn.Broken())
	require.Equal(t, before+1, failedChecks.Get())
}

// TestHeldAnswerIsBounded guards against writes that fill the memory while they
// wait for the gate.
func TestHeldAnswerIsBounded(t *testing.T) {
	conn, upstream := pipe(t)
	defer upstream.Close()
	conn.config.HoldBytes = 100
	go func() {
		upstream.Write(dfframe.Append(nil, 'C', []byte("INSERT 0 1\x00")))
		upstream.Write(dfframe.Append(nil, 'D', make([]byte, 200)))
	}()
	options := Options{Gate: func(context.Context, dfposition.Position) error { return nil }}
	_, err := conn.Exchange(context.Background(), dfunit.Batch{Messages: []dfunit.Message{message("Q:insert")}}, &errorSink{}, options)
	require.ErrorContains(t, err, "DF1106")
	require.True(t, conn.Broken())
}

// TestEvict guards against prepared statements that fill the upstream's memory.
func TestEvict(t *testing.T) {
	s := newStatements()
	for i := range MaxPrepared + 1 {
		s.add(s.key(&dfunit.Statement{SQL: strconv.Itoa(i)}))
	}
	oldest := s.key(&dfunit.Statement{SQL: "0"})
	name := s.named[oldest].name
	require.Equal(t, name, s.evict())
	require.NotContains(t, s.named, oldest)
	require.Len(t, s.named, MaxPrepared)
}

// TestMayEnd guards against transactions that are called rolled back although
// a commit was sent.
func TestMayEnd(t *testing.T) {
	for _, sql := range []string{"commit", "/* x */ COMMIT;", "insert;END", "prepare transaction 'x'", "select 1; rollback; insert"} {
		require.True(t, mayEnd(sql), sql)
	}
	for _, sql := range []string{"insert into trends values (1)", "select commits, endless", ""} {
		require.False(t, mayEnd(sql), sql)
	}
}

// stream is an upstream that sends fixed bytes.
type stream struct {
	net.Conn
	input *strings.Reader
}

func (s stream) Read(bytes []byte) (int, error) { return s.input.Read(bytes) }
func (stream) Write(bytes []byte) (int, error)  { return len(bytes), nil }
func (stream) Close() error                     { return nil }
func (stream) SetDeadline(time.Time) error      { return nil }
func (stream) SetReadDeadline(time.Time) error  { return nil }
func (stream) SetWriteDeadline(time.Time) error { return nil }

// FuzzReplies guards against replies that crash the host, and against a
// connection that is reused after replies that do not match.
func FuzzReplies(f *testing.F) {
	f.Add("P:s1:a B:s1:a E S", "1\x00\x00\x00\x042\x00\x00\x00\x04C\x00\x00\x00\x06A\x00Z\x00\x00\x00\x05I")
	f.Add("Q:insert", "E\x00\x00\x00\x09VERR\x00Z\x00\x00\x00\x05E")
	f.Add("Q:copy_from_stdin", "G\x00\x00\x00\x04")
	f.Add("Q:commit", "C\x00\x00\x00\x0bCOMMIT\x00D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x013")
	f.Fuzz(func(t *testing.T, batch, replies string) {
		var messages []dfunit.Message
		for _, token := range strings.Fields(batch) {
			messages = append(messages, message(token))
		}
		if len(messages) == 0 || len(messages) > 100 {
			return
		}
		upstream := stream{input: strings.NewReader(replies)}
		conn := &Conn{stream: upstream, reader: dfframe.NewReader(upstream, 1<<16), statements: newStatements(),
			status: 'I', config: Config{HoldBytes: 1 << 16}}
		options := Options{Position: true, Write: true, Gate: func(context.Context, dfposition.Position) error { return nil }}
		_, err := conn.Exchange(context.Background(), dfunit.Batch{Messages: messages}, &errorSink{}, options)
		require.Equal(t, err != nil, conn.Broken())
	})
}
