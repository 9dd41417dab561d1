// Package dfupstream speaks PostgreSQL protocol v3 to upstreams. A Conn is one
// connection, and a Pool runs the decisions of package dfpool.
package dfupstream

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfframe"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// Dial opens a stream to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config tells how to reach one upstream.
type Config struct {
	// Dial is never nil.
	Dial    Dial
	Address string
	// TLS is nil for a plain connection.
	TLS             *tls.Config
	User            string
	Password        string
	Database        string
	ApplicationName string
	// IdleSessionTimeout makes the upstream close connections of a paused host;
	// zero leaves the upstream's setting.
	IdleSessionTimeout dfclock.Millis
	// Parameters are further startup parameters.
	Parameters map[string]string
	// Admit decides whether an established connection may be used; nil admits
	// every one.
	Admit func(conn *Conn) error
	// Classify is nil if no statement leaves session state behind.
	Classify Classify
	// HoldBytes bounds an answer held for a gate; zero means DefaultHoldBytes.
	HoldBytes int
}

// Conn is one connection to an upstream. Its methods are called by one
// goroutine, except Cancel, Running, Broken and Close.
type Conn struct {
	config Config
	stream net.Conn
	reader *dfframe.Reader
	pid    uint32
	secret []byte

	// broken is set once the connection is in doubt; it is then never reused.
	broken     atomic.Bool
	closing    sync.Once
	terminated atomic.Bool
	// silent is set if the upstream did not answer in time.
	silent atomic.Bool
	probe  *socketProbe
	guard  guard
	// giveUp makes reads and writes fail; it is kept to avoid an allocation.
	giveUp func()

	// status is the transaction status of the last ReadyForQuery.
	status byte
	// unfinished is true from the first byte of a batch to its ReadyForQuery.
	unfinished bool
	// mayEnd is true if a message since the last ReadyForQuery may have ended
	// the explicit transaction in which it was sent.
	mayEnd bool
	// skipping is true after an error without Sync: the upstream ignores all
	// messages before the next Sync.
	skipping   bool
	copyIn     bool
	state      State
	statements statements
	queue      replyQueue
	out        []byte

	// identity names the explicit transaction that is open, once it is known.
	identity Identity

	// batch is the state of the exchange that runs now.
	batch exchange
	// sequence counts batches; running is the current one, or zero.
	sequence uint64
	running  atomic.Uint64
	// cancelling is held while a cancel is sent, so that its batch does not end
	// before the upstream has taken the cancel.
	cancelling sync.Mutex

	// poolID identifies the connection in its pool.
	poolID uint64
}

// Open connects, authenticates and waits until the upstream is ready. An error
// is a *dfresult.Error with the outcome not run.
func Open(ctx context.Context, config Config) (*Conn, error) {
	if config.HoldBytes == 0 {
		config.HoldBytes = DefaultHoldBytes
	}
	stream, err := config.dial(ctx)
	if err != nil {
		return nil, dfresult.NewError(dfresult.UpstreamRefused, "%s: %v", config.Address, err)
	}
	c := &Conn{
		config:     config,
		stream:     stream,
		reader:     dfframe.NewReader(stream, MaxReplyBytes),
		statements: newStatements(),
		probe:      newSocketProbe(stream),
		giveUp:     func() { _ = stream.SetDeadline(time.Unix(1, 0)) },
	}
	stop := watch(ctx, c.giveUp)
	err = c.startup()
	if err == nil && config.Admit != nil {
		err = config.Admit(c)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		c.Close()
		return nil, dfresult.NewError(dfresult.UpstreamRefused, "%s: %v", config.Address, err)
	}
	return c, nil
}

// dial opens the stream and negotiates TLS.
func (c Config) dial(ctx context.Context) (net.Conn, error) {
	stream, err := c.Dial(ctx, "tcp", c.Address)
	if err != nil || c.TLS == nil {
		return stream, err
	}
	stop := watch(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	secured, err := c.secure(ctx, stream)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	return secured, nil
}

func (c Config) secure(ctx context.Context, stream net.Conn) (net.Conn, error) {
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, eris.Wrap(err, "TLS request")
	}
	if _, err := stream.Write(request); err != nil {
		return nil, eris.Wrap(err, "TLS request")
	}
	var answer [1]byte
	if _, err := stream.Read(answer[:]); err != nil {
		return nil, eris.Wrap(err, "TLS answer")
	}
	if answer[0] != 'S' {
		return nil, eris.New("the upstream refused TLS")
	}
	secured := tls.Client(stream, c.TLS)
	return secured, eris.Wrap(secured.HandshakeContext(ctx), "TLS handshake")
}

// watch calls giveUp once the context ends. The returned function ends the
// watch and reports whether the context had not ended.
func watch(ctx context.Context, giveUp func()) func() bool {
	if ctx.Done() == nil {
		return notEnded
	}
	return context.AfterFunc(ctx, giveUp)
}

func notEnded() bool { return true }

func (c *Conn) startup() error {
	parameters := map[string]string{}
	for name, value := range c.config.Parameters {
		parameters[name] = value
	}
	parameters["user"] = c.config.User
	parameters["database"] = c.config.Database
	parameters["application_name"] = c.config.ApplicationName
	if c.config.IdleSessionTimeout > 0 {
		parameters["idle_session_timeout"] = c.config.IdleSessionTimeout.String()
	}
	message := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
	encoded, err := message.Encode(nil)
	if err != nil {
		return eris.Wrap(err, "startup message")
	}
	if _, err := c.stream.Write(encoded); err != nil {
		return eris.Wrap(err, "startup message")
	}
	return c.awaitReady()
}

// awaitReady answers authentication requests until ReadyForQuery.
func (c *Conn) awaitReady() error {
	login := &login{conn: c}
	for {
		messageType, body, err := c.reader.Next()
		if err != nil {
			return eris.Wrap(err, "startup")
		}
		switch messageType {
		case 'R':
			if err := login.step(body); err != nil {
				return err
			}
		case 'K':
			if len(body) < 8 {
				return eris.New("BackendKeyData is too short")
			}
			c.pid = binary.BigEndian.Uint32(body)
			c.secret = append([]byte(nil), body[4:]...)
		case 'Z':
			if !login.done || len(body) != 1 || body[0] != 'I' {
				return eris.New("unexpected ReadyForQuery")
			}
			c.status = 'I'
			return nil
		case 'E':
			return refusal(body)
		case 'S', 'N', 'v':
		default:
			return eris.Errorf("unexpected message %q", messageType)
		}
	}
}

// refusal turns an ErrorResponse into an error.
func refusal(body []byte) error {
	var response pgproto3.ErrorResponse
	if err := response.Decode(body); err != nil {
		return eris.Wrap(err, "ErrorResponse")
	}
	return eris.Errorf("%s %s", response.Code, response.Message)
}

// login is the state of an authentication.
type login struct {
	conn         *Conn
	conversation *scram.ClientConversation
	done         bool
}

// step answers one authentication request. Only SCRAM-SHA-256 and no password
// are supported; older methods show the password or a weak hash to the network.
func (l *login) step(body []byte) error {
	if len(body) < 4 {
		return eris.New("authentication request is too short")
	}
	switch kind := binary.BigEndian.Uint32(body); kind {
	case pgproto3.AuthTypeOk:
		if l.conversation != nil && !l.conversation.Valid() {
			return eris.New("the upstream did not prove that it knows the password")
		}
		l.done = true
		return nil
	case pgproto3.AuthTypeSASL:
		return l.first(body)
	case pgproto3.AuthTypeSASLContinue:
		return l.further(string(body[4:]), true)
	case pgproto3.AuthTypeSASLFinal:
		return l.further(string(body[4:]), false)
	default:
		return eris.Errorf("authentication method %d is not supported", kind)
	}
}

func (l *login) first(body []byte) error {
	var request pgproto3.AuthenticationSASL
	if err := request.Decode(body); err != nil {
		return eris.Wrap(err, "authentication request")
	}
	client, err := scram.SHA256.NewClient(l.conn.config.User, l.conn.config.Password, "")
	if err != nil {
		return eris.Wrap(err, "SCRAM")
	}
	l.conversation = client.NewConversation()
	text, err := l.conversation.Step("")
	if err != nil {
		return eris.Wrap(err, "SCRAM")
	}
	for _, mechanism := range request.AuthMechanisms {
		if mechanism == mechanismName {
			return l.send(&pgproto3.SASLInitialResponse{AuthMechanism: mechanismName, Data: []byte(text)})
		}
	}
	return eris.New("the upstream does not offer " + mechanismName)
}

// mechanismName is the SASL mechanism that the proxy uses.
const mechanismName = "SCRAM-SHA-256"

func (l *login) further(challenge string, answer bool) error {
	if l.conversation == nil {
		return eris.New("SASL message without a request")
	}
	text, err := l.conversation.Step(challenge)
	if err != nil {
		return eris.Wrap(err, "SCRAM")
	}
	if !answer {
		return nil
	}
	return l.send(&pgproto3.SASLResponse{Data: []byte(text)})
}

func (l *login) send(message pgproto3.FrontendMessage) error {
	encoded, err := message.Encode(nil)
	if err != nil {
		return eris.Wrap(err, "authentication")
	}
	_, err = l.conn.stream.Write(encoded)
	return eris.Wrap(err, "authentication")
}

// PID returns the upstream's process number of this connection.
func (c *Conn) PID() uint32 {
	return c.pid
}

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() byte {
	return c.status
}

// State tells what the statements so far left behind.
func (c *Conn) State() State {
	return c.state
}

// Broken reports whether the connection is closed or in doubt.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// Terminated reports whether the upstream's administrator ended the connection.
func (c *Conn) Terminated() bool {
	return c.terminated.Load()
}

// Silent reports whether the upstream did not answer in time.
func (c *Conn) Silent() bool {
	return c.silent.Load()
}

// Idle reports whether the connection has no open transaction, reply or COPY.
// Messages that belong to no request may still wait to be read.
func (c *Conn) Idle() bool {
	return !c.Broken() && c.status == 'I' && !c.unfinished && !c.copyIn && !c.skipping && c.queue.empty()
}

// Close ends the connection. It may be called more than once, from any goroutine.
func (c *Conn) Close() {
	c.broken.Store(true)
	c.closing.Do(func() {
		_ = c.stream.SetWriteDeadline(time.Now().Add(closeTimeout))
		_, _ = c.stream.Write([]byte{'X', 0, 0, 0, 4})
		_ = c.stream.Close()
	})
}

// Probe runs an empty query, which shows that the upstream still answers.
func (c *Conn) Probe(ctx context.Context) error {
	return c.run(ctx, "")
}

// Reset removes session state, so that another caller can get the connection.
func (c *Conn) Reset(ctx context.Context) error {
	if err := c.run(ctx, "DISCARD ALL"); err != nil {
		return err
	}
	c.state = None
	c.statements.forget()
	return nil
}

// run executes a statement of the proxy itself.
func (c *Conn) run(ctx context.Context, sql string) error {
	body := append([]byte(sql), 0)
	sink := &errorSink{}
	batch := dfunit.Batch{Messages: []dfunit.Message{{Type: 'Q', Body: body}}}
	if _, err := c.Exchange(ctx, batch, sink, Options{}); err != nil {
		return err
	}
	return sink.err
}

// errorSink keeps the first error and drops the rest.
type errorSink struct {
	err error
}

// Send takes one reply.
func (s *errorSink) Send(messageType byte, body []byte) error {
	if messageType == 'E' && s.err == nil {
		s.err = refusal(body)
	}
	return nil
}

// Options tell how to run one batch.
type Options struct {
	// Write is true if the batch may change data.
	Write bool
	// Position asks for the log position behind the batch.
	Position bool
	// Gate is called after all replies of a batch that committed arrived. The
	// end of the answer is passed on once it returns nil.
	Gate func(ctx context.Context, position dfposition.Position) error
	// Silence is the span without a message from the upstream after which Doubt
	// is called. Zero, or a nil Doubt, watches nothing.
	Silence dfclock.Millis
	// Doubt runs on a goroutine of its own, once for each further span of
	// silence, never twice at once.
	Doubt Doubt
	// Identity asks for the identity of the explicit transaction until it is
	// known, behind a batch and in the same write.
	Identity bool
}
