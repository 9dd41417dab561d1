// Package dfwire is the server side of PostgreSQL protocol v3 towards callers.
// It hands batches of messages to sessions and knows nothing of upstreams.
package dfwire

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
)

var (
	failedLogins      = metrics.NewCounter(`dragonflygrade_wire_failed_logins_total`)
	refusedCallers    = metrics.NewCounter(`dragonflygrade_wire_refused_callers_total`)
	malformedMessages = metrics.NewCounter(`dragonflygrade_wire_malformed_messages_total`)
	unknownCancels    = metrics.NewCounter(`dragonflygrade_wire_unknown_cancels_total`)
	cutRequests       = metrics.NewCounter(`dragonflygrade_wire_cut_requests_total`)
)

// Config has the settings of a server. Zero counts and spans mean the defaults,
// unless stated otherwise.
type Config struct {
	// TLS is nil if the server offers no encryption.
	TLS *tls.Config
	// RequireTLS refuses callers without encryption; it needs TLS.
	RequireTLS bool
	// Credentials and Handler are never nil.
	Credentials Credentials
	Handler     Handler
	// Canceller is nil if cancels for other hosts are dropped.
	Canceller Canceller
	// Host is below 4096 and differs between hosts.
	Host uint16
	// MockSecret makes unknown users look alike on all hosts; empty means a
	// random secret.
	MockSecret []byte
	// ServerVersion is told to callers whose session knows no version.
	ServerVersion   string
	MaxCallers      int
	MaxMessageBytes int
	MaxBatchBytes   int
	StartupTimeout  dfclock.Millis
	LoginDelay      dfclock.Millis
	// WriteTimeout ends callers that stop reading; they would hold a scarce
	// upstream connection.
	WriteTimeout dfclock.Millis
	// IdleTimeout and TransactionIdleTimeout close idle callers; zero means never.
	IdleTimeout            dfclock.Millis
	TransactionIdleTimeout dfclock.Millis
}

func (c Config) withDefaults() Config {
	if c.ServerVersion == "" {
		c.ServerVersion = "16.0"
	}
	if c.MaxCallers == 0 {
		c.MaxCallers = DefaultMaxCallers
	}
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if c.StartupTimeout == 0 {
		c.StartupTimeout = DefaultStartupTimeout
	}
	if c.LoginDelay == 0 {
		c.LoginDelay = DefaultLoginDelay
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	return c
}

// Server accepts callers.
type Server struct {
	config Config
	ctx    context.Context
	stop   context.CancelFunc

	draining atomic.Bool
	mutex    sync.Mutex
	listener net.Listener
	// callers has every connection by its number, which is below 1<<indexBits.
	callers map[uint32]*caller
	next    uint32
	// serving counts the goroutines of callers.
	serving sync.WaitGroup
}

// NewServer returns a server that does not listen yet.
func NewServer(config Config) (*Server, error) {
	if config.Credentials == nil || config.Handler == nil {
		return nil, eris.New("wire: credentials and handler are required")
	}
	if config.RequireTLS && config.TLS == nil {
		return nil, eris.New("wire: TLS is required but has no settings")
	}
	if config.Host >= 1<<(32-indexBits) {
		return nil, eris.Errorf("wire: host number %d is not below %d", config.Host, 1<<(32-indexBits))
	}
	if len(config.MockSecret) == 0 {
		config.MockSecret = make([]byte, 32)
		if _, err := rand.Read(config.MockSecret); err != nil {
			return nil, eris.Wrap(err, "wire: random secret")
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Server{
		config:  config.withDefaults(),
		ctx:     ctx,
		stop:    stop,
		callers: map[uint32]*caller{},
	}, nil
}

// Serve accepts callers until Shutdown. It closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	s.mutex.Unlock()
	if s.draining.Load() {
		return listener.Close()
	}
	for {
		stream, err := listener.Accept()
		if s.draining.Load() {
			if err == nil {
				_ = stream.Close()
			}
			return nil
		}
		if err != nil {
			if temporary(err) {
				continue
			}
			return eris.Wrap(err, "wire: accept")
		}
		s.admit(stream)
	}
}

// acceptPause keeps a lack of file descriptors from spinning the loop.
const acceptPause = 10 * time.Millisecond

func temporary(err error) bool {
	if eris.Is(err, net.ErrClosed) {
		return false
	}
	log.Warn().Err(err).Msg("wire: accept failed")
	time.Sleep(acceptPause)
	return true
}

// admit starts a caller's goroutine.
func (s *Server) admit(stream net.Conn) {
	c := newCaller(s, stream)
	s.mutex.Lock()
	if s.draining.Load() || len(s.callers) >= s.config.MaxCallers+refusalSlots {
		s.mutex.Unlock()
		refusedCallers.Inc()
		_ = stream.Close()
		return
	}
	c.excess = len(s.callers) >= s.config.MaxCallers
	c.index = s.freeIndex()
	s.callers[c.index] = c
	s.serving.Add(1)
	s.mutex.Unlock()
	go func() {
		defer s.serving.Done()
		defer s.forget(c)
		c.serve()
	}()
}

// freeIndex returns a number that no caller has. The mutex is held.
func (s *Server) freeIndex() uint32 {
	for {
		s.next = (s.next + 1) % (1 << indexBits)
		if _, taken := s.callers[s.next]; !taken {
			return s.next
		}
	}
}

func (s *Server) forget(c *caller) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.callers, c.index)
}

// Callers returns the number of caller connections.
func (s *Server) Callers() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.callers)
}

// Cancel cancels what runs on the caller connection with the key. It reports
// whether the key is known here.
func (s *Server) Cancel(key Key) bool {
	s.mutex.Lock()
	c := s.callers[key.PID&(1<<indexBits-1)]
	s.mutex.Unlock()
	if c == nil || key.Host() != s.config.Host {
		unknownCancels.Inc()
		return false
	}
	if !c.cancel(key.Secret) {
		unknownCancels.Inc()
		return false
	}
	return true
}

// takeCancel handles a cancel request of a caller.
func (s *Server) takeCancel(key Key) {
	if key.Host() == s.config.Host {
		s.Cancel(key)
		return
	}
	if s.config.Canceller != nil {
		s.config.Canceller.PassOn(s.ctx, key)
	}
}

// sameSecret compares in constant time.
func sameSecret(a, b uint32) bool {
	var x, y [4]byte
	binary.BigEndian.PutUint32(x[:], a)
	binary.BigEndian.PutUint32(y[:], b)
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// Drain stops accepting, tells idle callers, and lets busy ones finish their
// transaction. It does not wait.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for _, c := range s.callers {
		c.interrupt()
	}
}

// Shutdown drains the server and waits for the callers, bounded by the context.
// It returns the number of transactions and requests that were cut, which is
// zero unless the bound passed.
func (s *Server) Shutdown(ctx context.Context) int {
	s.Drain()
	done := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		s.stop()
		return 0
	case <-ctx.Done():
	}
	cut := s.cutAll()
	s.stop()
	select {
	case <-done:
	case <-time.After(cutGrace):
		s.closeAll()
		<-done
	}
	return cut
}

// cutAll counts and ends what is still open after the drain bound.
func (s *Server) cutAll() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cut := 0
	for _, c := range s.callers {
		if c.busy.Load() {
			cut++
		}
		c.expire()
	}
	cutRequests.Add(cut)
	if cut > 0 {
		log.Warn().Int("requests", cut).Msg("wire: the drain bound passed, requests were cut")
	}
	return cut
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.callers {
		_ = c.raw.Close()
	}
}
