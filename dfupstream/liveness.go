package dfupstream

import (
	"net"
	"syscall"
	"time"
)

const (
	// staleReadTimeout bounds the reading of a message of which a part arrived.
	staleReadTimeout = 20 * time.Millisecond
	// staleMessages bounds the messages read from an idle connection.
	staleMessages = 16
)

// fresh reports whether the upstream has not ended the idle connection and left
// no reply unread. It sends nothing, so it does not notice a path that went
// silent.
func (c *Conn) fresh() bool {
	for range staleMessages {
		waiting, open := c.probe.peek()
		if !open && c.reader.Buffered() == 0 {
			return false
		}
		if !waiting && c.reader.Buffered() == 0 {
			return true
		}
		if !c.readAsynchronous() {
			return false
		}
	}
	return false
}

// readAsynchronous reads a message that belongs to no request. It returns false
// if the connection is of no use any more.
func (c *Conn) readAsynchronous() bool {
	_ = c.stream.SetReadDeadline(time.Now().Add(staleReadTimeout))
	messageType, body, err := c.reader.Next()
	_ = c.stream.SetReadDeadline(time.Time{})
	if err != nil {
		return false
	}
	if messageType == 'E' {
		if _, code := errorFields(body); code == adminShutdown {
			c.terminated.Store(true)
		}
		return false
	}
	return oneOf(messageType, "NSA")
}

// socketProbe looks into the receive buffer of a socket without reading.
type socketProbe struct {
	raw    syscall.RawConn
	look   func(descriptor uintptr) bool
	buffer [1]byte
	count  int
	err    error
}

// newSocketProbe returns nil for a stream that is no socket.
func newSocketProbe(stream net.Conn) *socketProbe {
	if wrapper, ok := stream.(interface{ NetConn() net.Conn }); ok {
		stream = wrapper.NetConn()
	}
	socket, ok := stream.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	p := &socketProbe{raw: raw}
	p.look = func(descriptor uintptr) bool {
		p.count, _, p.err = syscall.Recvfrom(int(descriptor), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return p
}

// peek reports whether bytes wait in the socket and whether it is open. A stream
// that is no socket counts as open and empty.
func (p *socketProbe) peek() (waiting, open bool) {
	if p == nil {
		return false, true
	}
	if err := p.raw.Read(p.look); err != nil {
		return false, false
	}
	switch {
	case p.err == syscall.EAGAIN || p.err == syscall.EINTR: //nolint:errorlint // bare error numbers
		return false, true
	case p.err != nil || p.count == 0:
		return false, false
	}
	return true, true
}
