// Package dfport finds addresses for hosts that stop and start again on one machine.
package dfport

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"

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

// Stable returns a free address of an IP that a stopped host can take again. No
// other call of this or another process returns it while this process runs.
func Stable(ctx context.Context, ip string) (string, error) {
	return between(ctx, ip, firstPort, lastPort)
}

func between(ctx context.Context, ip string, first, last int) (string, error) {
	var config net.ListenConfig
	for range portTries {
		address := net.JoinHostPort(ip, strconv.Itoa(first+rand.IntN(last-first)))
		listener, err := config.Listen(ctx, "tcp4", address)
		if err != nil {
			continue
		}
		// An abstract socket goes away with its process, whatever ends that.
		if _, err := config.Listen(ctx, "unix", "@dragonflygrade/port/"+address); err != nil {
			_ = listener.Close()
			continue
		}
		return address, listener.Close()
	}
	return "", eris.Errorf("port: no free port between %d and %d", first, last)
}
