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

// Stable returns a free address of an IP that a stopped host can take again.
func Stable(ctx context.Context, ip string) (string, error) {
	var config net.ListenConfig
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := config.Listen(ctx, "tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		return address, listener.Close()
	}
	return "", eris.Errorf("port: no free port between %d and %d", firstPort, lastPort)
}
