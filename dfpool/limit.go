package dfpool

import "dragonflygrade/dfclock"

const (
	// DefaultWaiters bounds the waiters of one pool. More than this many could
	// not be served within a usual deadline.
	DefaultWaiters = 1024
	// DefaultIdleClose frees connections that a quiet service does not use.
	DefaultIdleClose = 5 * dfclock.Minute
	// DefaultReopenFirst is the wait after the first failed opening. It is a
	// few times the time to open a connection.
	DefaultReopenFirst = 50 * dfclock.Millisecond
	// DefaultReopenCap keeps the wait short enough that a returning upstream is
	// used within a second.
	DefaultReopenCap = dfclock.Second
	// maxDoublings keeps the doubling of the wait from overflowing.
	maxDoublings = 16
)
