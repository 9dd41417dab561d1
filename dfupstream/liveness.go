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

// fresh reports whether the upstream has not ended the idle connection. It
// sends nothing, so it does not notice a path that went silent.
func (c *Conn) fresh() bool {
	for range staleMessages {
		waiting, open := peek(c.stream)
		if !open {
			return false
		}
		if !waiting {
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

// peek reports whether bytes wait in the socket and whether it is open. A stream
// that is no socket counts as open and empty.
func peek(stream net.Conn) (waiting, open bool) {
	if wrapper, ok := stream.(interface{ NetConn() net.Conn }); ok {
		stream = wrapper.NetConn()
	}
	socket, ok := stream.(syscall.Conn)
	if !ok {
		return false, true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	var buffer [1]byte
	n, failure := 0, error(nil)
	err = raw.Read(func(descriptor uintptr) bool {
		n, _, failure = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, false
	case failure == syscall.EAGAIN || failure == syscall.EINTR: //nolint:errorlint // bare error numbers
		return false, true
	case failure != nil || n == 0:
		return false, false
	}
	return true, true
}
