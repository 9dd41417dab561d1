// Package dfport finds addresses for hosts that stop and start again on one machine.
package dfport

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort lie below the ports that the system gives to outgoing
	// connections. A caller that dials a stopped host again and again can be given
	// the host's own port and connect to itself, which keeps the host from coming
	// back.
	firstPort = 20000
	lastPort  = 32000
	// portTries bounds the search for a free port.
	portTries = 100
)

// reserved keeps the sockets of all reservations. A socket that is not referenced is
// closed by the garbage collector.
var reserved struct {
	sync.Mutex
	sockets []net.Listener
}

// Stable returns a free address of an IP that a stopped host can take again. No
// other call of this or another process returns it while this process runs.
func Stable(ctx context.Context, ip string) (string, error) {
	port, err := between(ctx, firstPort, lastPort, ip)
	return net.JoinHostPort(ip, strconv.Itoa(port)), err
}

// StablePort does the same for a port that is free at several IPs.
func StablePort(ctx context.Context, ips ...string) (int, error) {
	return between(ctx, firstPort, lastPort, ips...)
}

func between(ctx context.Context, first, last int, ips ...string) (int, error) {
	for range portTries {
		port := first + rand.IntN(last-first)
		if reserve(ctx, port, ips) {
			return port, nil
		}
	}
	return 0, eris.Errorf("port: no free port between %d and %d", first, last)
}

// reserve reports whether a port was free at all IPs, and then keeps other calls from
// returning it.
func reserve(ctx context.Context, port int, ips []string) bool {
	var config net.ListenConfig
	var sockets []net.Listener
	for _, ip := range ips {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		listener, err := config.Listen(ctx, "tcp4", address)
		if err == nil {
			err = listener.Close()
		}
		if err == nil {
			// An abstract socket goes away with its process, whatever ends that.
			listener, err = config.Listen(ctx, "unix", "@dragonflygrade/port/"+address)
		}
		if err != nil {
			for _, socket := range sockets {
				_ = socket.Close()
			}
			return false
		}
		sockets = append(sockets, listener)
	}
	reserved.Lock()
	defer reserved.Unlock()
	reserved.sockets = append(reserved.sockets, sockets...)
	return true
}
