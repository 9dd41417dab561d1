package dfcapacity

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"dragonflygrade/dfunit"
	"dragonflygrade/dfwire"
)

const (
	// loginsAtOnce bounds the logins in progress, so that the listener's queue
	// does not overflow.
	loginsAtOnce = 16
	// iterations are few, because the work of the proof is the caller's.
	iterations = 16
	// callerRounds is how many statements each caller sends.
	callerRounds = 4
)

// entry is a server without upstreams.
type entry struct {
	stored   scram.StoredCredentials
	server   *dfwire.Server
	listener net.Listener
}

func startEntry(ctx context.Context, callers int) (*entry, error) {
	client, err := scram.SHA256.NewClient("clerk", "clerk-password", "")
	if err != nil {
		return nil, eris.Wrap(err, "credentials")
	}
	e := &entry{}
	factors := scram.KeyFactors{Salt: "0123456789abcdef", Iters: iterations}
	if e.stored, err = client.GetStoredCredentialsWithError(factors); err != nil {
		return nil, eris.Wrap(err, "credentials")
	}
	if e.server, err = dfwire.NewServer(dfwire.Config{Credentials: e, Handler: e, Host: 7, MaxCallers: callers}); err != nil {
		return nil, err
	}
	if e.listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0"); err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	go func() { _ = e.server.Serve(e.listener) }()
	return e, nil
}

// Lookup knows one user.
func (e *entry) Lookup(string, string) (scram.StoredCredentials, bool) { return e.stored, true }

// Open opens a session that answers by itself.
func (e *entry) Open(context.Context, dfwire.Opening) (dfwire.Session, error) { return idle{}, nil }

// idle answers each batch with an empty result.
type idle struct{}

// Run answers without an upstream.
func (idle) Run(_ context.Context, _ dfunit.Batch, sink dfunit.Sink) (byte, error) {
	return 'I', sink.Send('C', []byte("SELECT 0\x00"))
}

// Cancel does nothing.
func (idle) Cancel() {}

// Close does nothing.
func (idle) Close() {}

// login opens a caller's connection and keeps only its stream.
func (e *entry) login(ctx context.Context) (net.Conn, error) {
	address := e.listener.Addr().String()
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://clerk:clerk-password@%s/orders?sslmode=disable", address))
	if err != nil {
		return nil, eris.Wrap(err, "login")
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, eris.Wrap(err, "login")
	}
	return hijacked.Conn, nil
}

func (e *entry) logins(ctx context.Context, count int) ([]net.Conn, error) {
	conns := make([]net.Conn, count)
	var first error
	var once sync.Once
	var workers sync.WaitGroup
	for worker := range loginsAtOnce {
		workers.Go(func() {
			for i := worker; i < count; i += loginsAtOnce {
				conn, err := e.login(ctx)
				if err != nil {
					once.Do(func() { first = err })
					return
				}
				conns[i] = conn
			}
		})
	}
	workers.Wait()
	return conns, first
}

func (e *entry) stop(conns []net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	e.server.Shutdown(ctx)
}

// callers measures caller connections that are idle, and their statements.
// Both ends of a connection are in this process.
func (m *measurement) callers(ctx context.Context) error {
	for _, size := range m.sizes.Callers {
		if err := m.callersOf(ctx, size); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) callersOf(ctx context.Context, size int) error {
	e, err := startEntry(ctx, size)
	if err != nil {
		return err
	}
	before, started := memory(), processorTime()
	conns, err := e.logins(ctx, size)
	defer func() { e.stop(conns) }()
	if err != nil {
		return err
	}
	m.add("caller.login", size, processorTime()-started)
	m.add("caller.fresh", size, memory()-before)
	if err := m.statements(size, conns); err != nil {
		return err
	}
	m.add("caller.memory", size, memory()-before)
	started, startedAt := processorTime(), time.Now()
	if err := pause(ctx, m.sizes.Watch/2); err != nil {
		return err
	}
	m.add("caller.idle", size, (processorTime()-started)/time.Since(startedAt).Seconds())
	runtime.KeepAlive(conns)
	return nil
}

// statements lets each caller send statements one after the other.
func (m *measurement) statements(size int, conns []net.Conn) error {
	text := "SELECT 1\x00"
	message := append([]byte{'Q', 0, 0, 0, byte(4 + len(text))}, text...)
	answer := make([]byte, 256)
	started := processorTime()
	for range callerRounds {
		for _, conn := range conns {
			if _, err := conn.Write(message); err != nil {
				return eris.Wrap(err, "statement")
			}
			if _, err := conn.Read(answer); err != nil {
				return eris.Wrap(err, "statement")
			}
		}
	}
	m.add("caller.statement", size, (processorTime()-started)/callerRounds)
	return nil
}
