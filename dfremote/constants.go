package dfremote

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"dragonflygrade/dfclock"
)

// DefaultCallTimeout bounds a call. It is several round trips between data
// centres, and short enough that two calls fit into a lease renewal period.
const DefaultCallTimeout = 2 * dfclock.Second

const (
	// maxMessageBytes admits a list of all slot rows at full size.
	maxMessageBytes = 32 << 20
	// reconnectFirst and reconnectMax bound the wait before a new connection;
	// a host must notice the end of an outage well within a lease renewal.
	reconnectFirst = 100 * time.Millisecond
	reconnectMax   = 2 * time.Second
	connectTimeout = 2 * time.Second
)

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay: reconnectFirst, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax,
		},
		MinConnectTimeout: connectTimeout,
	}
}
