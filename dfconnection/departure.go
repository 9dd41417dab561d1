package dfconnection

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the kernel's state of a connection that neither side has closed.
const tcpEstablished = 1

// UntilClosed returns a context that ends when the peer closes the connection, also if
// data that it sent before has not been read. stop must be called before the next read
// from the connection; it removes the read deadline. The context of a connection that is
// not TCP ends with stop only.
func UntilClosed(conn net.Conn) (ctx context.Context, stop func()) {
	return watch(conn, func(fd int) bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && info.State != tcpEstablished
	})
}

// UntilMessage is like UntilClosed, but the context also ends when the peer sends
// something.
func UntilMessage(conn net.Conn) (ctx context.Context, stop func()) {
	return watch(conn, readable)
}

// watch returns a context that ends once ended is true. It is checked at first and
// whenever data arrives or the connection is closed.
func watch(conn net.Conn, ended func(fd int) bool) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	source, ok := conn.(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// An error means that stop was called or that this host closed the connection.
		if raw.Read(func(fd uintptr) bool { return ended(int(fd)) }) == nil {
			cancel()
		}
	}()
	return ctx, func() {
		cancel()
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// peerState is what the peer of a connection did since the last read.
type peerState int

const (
	peerQuiet peerState = iota
	peerSent
	peerClosed
)

// readable reports whether the peer has closed the connection or sent data that has not
// been read.
func readable(fd int) bool {
	return peekDescriptor(fd) != peerQuiet
}

// peekDescriptor returns what the peer did. Every error but "no data" counts as a close:
// the kernel reports one only for a connection that is lost.
func peekDescriptor(fd int) peerState {
	var buf [1]byte
	n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return peerQuiet
	case err == nil && n > 0:
		return peerSent
	}
	return peerClosed
}
