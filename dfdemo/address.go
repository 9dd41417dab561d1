package dfdemo

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

// stableAddress returns a free address that a stopped host can take again.
func stableAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		listener, err := config.Listen(ctx, "tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		return address, listener.Close()
	}
	return "", eris.Errorf("demo: no free port between %d and %d", firstPort, lastPort)
}
