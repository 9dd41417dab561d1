package dfstandin

import (
	"net"
	"sync"
	"sync/atomic"
)

// socket is a network connection subject to the upstream's faults.
type socket struct {
	net.Conn
	upstream *Upstream
	silent   atomic.Bool
	once     sync.Once
	// ended is closed with the socket.
	ended chan struct{}
	// exempt sockets work on in a pause and in a partition, so that these can be ended.
	exempt atomic.Bool
	// started is set when the startup message was read, which faults do not hold up.
	started atomic.Bool
}

// Started makes the socket subject to faults, unless it is exempt.
func (s *socket) Started(exempt bool) {
	s.exempt.Store(exempt)
	s.started.Store(true)
}

// Open waits while a fault holds the socket up; false means that it ended.
func (s *socket) Open() bool {
	f := &s.upstream.faults
	return f.await(s.ended, func() bool {
		return s.started.Load() && !s.exempt.Load() && (f.paused || f.cut[everyone])
	})
}

// Read drops what arrives on a silent socket and waits while the link is cut.
func (s *socket) Read(p []byte) (int, error) {
	for {
		n, err := s.Conn.Read(p)
		if !s.Open() {
			return 0, net.ErrClosed
		}
		if err != nil || !s.silent.Load() {
			return n, err
		}
	}
}

// Write sends nothing on a silent socket and waits while the link is cut.
func (s *socket) Write(p []byte) (int, error) {
	if !s.Open() {
		return 0, net.ErrClosed
	}
	if s.silent.Load() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// Close leaves a silent socket open towards its peer until the upstream ends.
func (s *socket) Close() error {
	s.once.Do(func() { close(s.ended) })
	if s.silent.Load() {
		return nil
	}
	return s.Conn.Close()
}

func (s *socket) reset() {
	s.once.Do(func() { close(s.ended) })
	if conn, ok := s.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = s.Conn.Close()
}
