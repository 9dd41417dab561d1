package dfpool

import "dragonflygrade/dfclock"

const (
	// DefaultWaiters bounds the waiters of one pool. More than this many could
	// not be served within a usual deadline.
	DefaultWaiters = 1024
	// DefaultIdleClose frees connections that a quiet service does not use.
	DefaultIdleClose = 5 * dfclock.Minute
	// DefaultReopenFirst is the wait after the first failed opening. It is
	// several times the time to open a connection.
	DefaultReopenFirst = 250 * dfclock.Millisecond
	// DefaultReopenCap bounds the wait. With the jitter, which takes up to half
	// off, a pool tries at most once in a second.
	DefaultReopenCap = 2 * dfclock.Second
	// DefaultSuspension is the wait after the administrator ended connections.
	DefaultSuspension = dfclock.Second
	// maxDoublings keeps the doubling of the wait from overflowing.
	maxDoublings = 16
)
