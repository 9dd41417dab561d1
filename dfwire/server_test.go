package dfwire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"io"
	"math/big"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
	"go.uber.org/goleak"

	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// TestMain guards against goroutines that outlive their server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host is a handler whose sessions answer every batch without an upstream.
type host struct {
	stored  scram.StoredCredentials
	server  *Server
	address string
	mutex   sync.Mutex
	opening Opening
	batches []string
	passed  chan Key
}

func (h *host) Lookup(service, user string) (scram.StoredCredentials, bool) {
	return h.stored, service == "orders" && user == "user"
}

func (h *host) PassOn(_ context.Context, key Key) { h.passed <- key }

func (h *host) Open(_ context.Context, opening Opening) (Session, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.opening = opening
	return &session{host: h, opening: opening}, nil
}

type session struct {
	host    *host
	opening Opening
}

func (s *session) Cancel() {}
func (s *session) Close()  {}

// Run answers with one completion for each Query, and fails on the word "lost".
func (s *session) Run(_ context.Context, batch dfunit.Batch, sink dfunit.Sink) (byte, error) {
	types := ""
	for _, message := range batch.Messages {
		types += string(message.Type)
		if text := textOf(message); strings.Contains(text, "lost") {
			return 0, dfresult.NewError(dfresult.QueueFull, "busy").WithRetryAfter(50)
		}
		if message.Type == 'Q' {
			sink.Send('C', []byte("SELECT 0\x00"))
		}
	}
	s.host.mutex.Lock()
	s.host.batches = append(s.host.batches, types)
	s.host.mutex.Unlock()
	if strings.HasSuffix(types, "H") {
		return 0, nil
	}
	return 'I', s.opening.Report("dragonflygrade.token", "t1")
}

func startHost(t testing.TB, change func(*Config)) *host {
	client, err := scram.SHA256.NewClient("user", "secret", "")
	require.NoError(t, err)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	require.NoError(t, err)
	h := &host{stored: stored, passed: make(chan Key, 1)}
	config := Config{Credentials: h, Handler: h, Canceller: h, Host: 7, LoginDelay: 1, MaxMessageBytes: 1 << 16}
	if change != nil {
		change(&config)
	}
	h.server, err = NewServer(config)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.address = listener.Addr().String()
	go h.server.Serve(listener)
	t.Cleanup(func() { h.server.Shutdown(context.Background()) })
	return h
}

func (h *host) connect(rest string) (*pgconn.PgConn, error) {
	return pgconn.Connect(context.Background(), fmt.Sprintf("postgres://user:secret@%s/%s", h.address, rest))
}

// hijack logs in and returns the stream behind the login.
func (h *host) hijack(t testing.TB) net.Conn {
	conn, err := h.connect("orders?sslmode=disable")
	require.NoError(t, err)
	hijacked, err := conn.Hijack()
	require.NoError(t, err)
	t.Cleanup(func() { hijacked.Conn.Close() })
	return hijacked.Conn
}

// ask sends bytes and returns the replies up to the end of the stream.
func ask(t testing.TB, stream net.Conn, bytes string) string {
	_, err := stream.Write([]byte(bytes))
	require.NoError(t, err)
	replies, err := io.ReadAll(stream)
	require.NoError(t, err)
	return string(replies)
}

func startupBytes(body string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

// TestStartupRefusals guards against startup messages that crash the server,
// take memory, or get in without what the server requires.
func TestStartupRefusals(t *testing.T) {
	plain := startHost(t, nil)
	encrypted := startHost(t, func(c *Config) { c.TLS, c.RequireTLS = certificate(t), true })
	const v3 = "\x00\x03\x00\x00"
	cases := []struct {
		host *host
		sent string
		want string
	}{
		{plain, startupBytes(v3 + strings.Repeat("a", maxStartupBytes)), "54000"},
		{plain, "\xff\xff\xff\xff", "54000"},
		{plain, "\x00\x00\x00\x01", "08P01"},
		{plain, startupBytes(""), "08P01"},
		{plain, startupBytes("\x00\x02\x00\x00"), "08P01"},
		{plain, startupBytes(v3 + "user\x00user"), "08P01"},
		{plain, startupBytes(v3 + "user\x00user\x00\x00x"), "08P01"},
		{plain, startupBytes(v3 + "database\x00orders\x00\x00"), "08P01"},
		{plain, startupBytes(v3 + "user\x00user\x00replication\x00true\x00\x00"), "0A000"},
		{plain, startupBytes(v3 + "user\x00user\x00client_encoding\x00LATIN1\x00\x00"), "0A000"},
		{plain, startupBytes(v3+strings.Repeat("\x01\x00\x01\x00", 1)+"user\x00u\x00\x00") + "p\x00\x00\x00\x05x", "08P01"},
		{encrypted, startupBytes(v3 + "user\x00user\x00\x00"), "28000"},
	}
	for i, c := range cases {
		stream, err := net.Dial("tcp", c.host.address)
		require.NoError(t, err)
		require.Contains(t, ask(t, stream, c.sent), "C"+c.want+"\x00", i)
		stream.Close()
	}
}

// TestMalformedMessages guards against malformed messages that reach a session
// or harm other callers.
func TestMalformedMessages(t *testing.T) {
	h := startHost(t, nil)
	other, err := h.connect("orders?sslmode=disable")
	require.NoError(t, err)
	for _, sent := range []string{
		"Q\x00\x00\x00\x03", "Q\x7f\xff\xff\xff", "Q\x00\x00\x00\x04", "Q\x00\x00\x00\x06aa", "Q\x00\x00\x00\x08a\x00b\x00",
		"z\x00\x00\x00\x04", "P\x00\x00\x00\x06s\x00", "P\x00\x00\x00\x0as\x00a\x00\x00\x01", "B\x00\x00\x00\x05s",
		"D\x00\x00\x00\x06X\x00", "C\x00\x00\x00\x05S", "E\x00\x00\x00\x05\x00", "S\x00\x00\x00\x05x", "F\x00\x00\x00\x04",
	} {
		reply := ask(t, h.hijack(t), sent)
		require.True(t, strings.HasPrefix(reply, "E"), "%q", sent)
		require.Contains(t, reply, "SFATAL\x00", "%q", sent)
		require.Regexp(t, "C(08P01|54000|0A000)\x00", reply, "%q", sent)
		_, err := other.Exec(context.Background(), "select").ReadAll()
		require.NoError(t, err)
	}
	require.NotContains(t, strings.Join(h.batches, ""), "P")
}

// TestLogin guards against callers that get in with a wrong password, and
// against answers that show which users exist.
func TestLogin(t *testing.T) {
	h := startHost(t, nil)
	before := failedLogins.Get()
	for _, address := range []string{"user:wrong@%s/orders", "nobody:secret@%s/orders", "user:secret@%s/other"} {
		_, err := pgconn.Connect(context.Background(), "postgres://"+fmt.Sprintf(address, h.address)+"?sslmode=disable")
		var failure *pgconn.PgError
		require.ErrorAs(t, err, &failure, address)
		require.Equal(t, "28P01", failure.Code)
		require.Contains(t, failure.Detail, "DF3001")
	}
	require.Equal(t, before+3, failedLogins.Get())
	require.Equal(t, h.server.mockCredentials("a", "b").Salt, h.server.mockCredentials("a", "b").Salt)
	require.NotEqual(t, h.server.mockCredentials("a", "b").Salt, h.server.mockCredentials("a", "c").Salt)
}

// TestOpening guards against settings of the caller that do not reach its session.
func TestOpening(t *testing.T) {
	h := startHost(t, nil)
	conn, err := h.connect("orders/archive?sslmode=disable&dragonflygrade.token=abc&application_name=shop" +
		"&options=-c%20dragonflygrade.caller%3Ddesk%5C%20one%20--search-path%3Dx")
	require.NoError(t, err)
	defer conn.Close(context.Background())
	require.Equal(t, []string{"orders", "archive", "user", "desk one", "abc"},
		[]string{h.opening.Service, h.opening.Database, h.opening.User, h.opening.Caller, h.opening.Token})
	require.Equal(t, map[string]string{"application_name": "shop", "search_path": "x"}, h.opening.Parameters)
	require.Equal(t, "shop", conn.ParameterStatus("application_name"))
	require.Equal(t, "on", conn.ParameterStatus("standard_conforming_strings"))
	_, err = conn.Exec(context.Background(), "insert").ReadAll()
	require.NoError(t, err)
	require.Equal(t, "t1", conn.ParameterStatus("dragonflygrade.token"))
}

// TestRefusedBatch guards against drivers that cannot tell why a request did
// not run, and against messages behind an error that run.
func TestRefusedBatch(t *testing.T) {
	h := startHost(t, nil)
	conn, err := h.connect("orders?sslmode=disable")
	require.NoError(t, err)
	defer conn.Close(context.Background())
	_, err = conn.Exec(context.Background(), "lost").ReadAll()
	var failure *pgconn.PgError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, "53400", failure.Code)
	require.Equal(t, "DF1001, outcome: not run: busy", failure.Detail)
	require.Equal(t, "Retry after 50ms.", failure.Hint)
	frontend := conn.Frontend()
	frontend.SendParse(&pgproto3.Parse{Query: "lost"})
	frontend.SendBind(&pgproto3.Bind{})
	frontend.Send(&pgproto3.Flush{})
	frontend.SendParse(&pgproto3.Parse{Query: "skipped"})
	frontend.SendSync(&pgproto3.Sync{})
	frontend.SendQuery(&pgproto3.Query{String: "select"})
	require.NoError(t, frontend.Flush())
	got := ""
	for strings.Count(got, "Z") < 2 {
		message, err := frontend.Receive()
		require.NoError(t, err)
		encoded, err := message.Encode(nil)
		require.NoError(t, err)
		got += string(encoded[0])
	}
	require.Equal(t, "EZCSZ", got)
	require.Equal(t, []string{"Q"}, h.batches)
}

// TestLimits guards against more callers than the host can serve.
func TestLimits(t *testing.T) {
	h := startHost(t, func(c *Config) { c.MaxCallers = 1 })
	h.hijack(t)
	_, err := h.connect("orders?sslmode=disable")
	require.ErrorContains(t, err, "53300")
	h = startHost(t, func(c *Config) { c.IdleTimeout = 50 })
	replies, err := io.ReadAll(h.hijack(t))
	require.NoError(t, err)
	require.Contains(t, string(replies), "C"+stateIdle+"\x00")
}

// TestCancelKeys guards against cancels that are lost on another host, and
// against guessed secrets.
func TestCancelKeys(t *testing.T) {
	h := startHost(t, nil)
	conn, err := h.connect("orders?sslmode=disable")
	require.NoError(t, err)
	defer conn.Close(context.Background())
	secret := binary.BigEndian.Uint32(conn.SecretKey())
	require.True(t, h.server.Cancel(Key{PID: conn.PID(), Secret: secret}))
	require.False(t, h.server.Cancel(Key{PID: conn.PID(), Secret: secret + 1}))
	foreign := Key{PID: 9<<indexBits | 5, Secret: 3}
	stream, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	request, err := (&pgproto3.CancelRequest{ProcessID: foreign.PID, SecretKey: binary.BigEndian.AppendUint32(nil, 3)}).Encode(nil)
	require.NoError(t, err)
	require.Empty(t, ask(t, stream, string(request)))
	passed := <-h.passed
	require.Equal(t, foreign, passed)
	require.Equal(t, uint16(9), passed.Host())
}

// TestTLS guards against encryption that drivers cannot use.
func TestTLS(t *testing.T) {
	h := startHost(t, func(c *Config) { c.TLS, c.RequireTLS = certificate(t), true })
	conn, err := h.connect("orders?sslmode=require")
	require.NoError(t, err)
	_, err = conn.Exec(context.Background(), "select").ReadAll()
	require.NoError(t, err)
	require.Zero(t, h.server.Shutdown(context.Background()))
	_, err = conn.ReceiveMessage(context.Background())
	require.ErrorContains(t, err, "57P01")
}

// TestBytesBeforeTLS guards against plain bytes that someone else injects ahead
// of the handshake.
func TestBytesBeforeTLS(t *testing.T) {
	h := startHost(t, func(c *Config) { c.TLS = certificate(t) })
	stream, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	_, err = stream.Write([]byte(startupBytes("\x04\xd2\x16\x2f") + "Q"))
	require.NoError(t, err)
	replies, _ := io.ReadAll(stream)
	require.Empty(t, replies)
}

func certificate(t testing.TB) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// memory is a stream that ends after its input.
type memory struct {
	net.Conn
	io.Reader
}

func (m memory) Read(bytes []byte) (int, error)   { return m.Reader.Read(bytes) }
func (memory) Write(bytes []byte) (int, error)    { return len(bytes), nil }
func (memory) Close() error                       { return nil }
func (memory) RemoteAddr() net.Addr               { return &net.TCPAddr{} }
func (memory) SetDeadline(time.Time) error        { return nil }
func (memory) SetReadDeadline(time.Time) error    { return nil }
func (memory) SetWriteDeadline(t time.Time) error { return nil }

// FuzzStartup guards against startup messages that crash the server.
func FuzzStartup(f *testing.F) {
	f.Add([]byte("\x00\x03\x00\x00user\x00u\x00options\x00-c a=b --c-d=e\\ f\x00\x00"))
	f.Add([]byte("\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02"))
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) < 4 {
			return
		}
		parsed, err := parseStartup(body)
		if err == nil && parsed.cancel == nil {
			parsed.opening()
		}
	})
}

// FuzzMessages guards against messages that crash the server or keep it busy
// after the input ended.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x0cs\x00lost\x00\x00\x00H\x00\x00\x00\x04S\x00\x00\x00\x04"))
	f.Add([]byte("Q\x00\x00\x00\x0bselect\x00d\x00\x00\x00\x05xc\x00\x00\x00\x04X\x00\x00\x00\x04"))
	f.Add([]byte("B\x00\x00\x00\x0c\x00s\x00\x00\x00\x00\x00\x00D\x00\x00\x00\x07Ss\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00S\x00\x00\x00\x04"))
	h := &host{}
	server, err := NewServer(Config{Credentials: h, Handler: h, MaxMessageBytes: 1 << 16})
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, input []byte) {
		for _, failed := range []bool{false, true} {
			c := newCaller(server, memory{Reader: strings.NewReader(string(input))})
			c.failed = failed
			c.setSession(&session{host: &host{}, opening: Opening{Report: c.report}})
			c.loop()
			c.stop()
		}
	})
}
