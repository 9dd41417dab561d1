package dfpool

import "dragonflygrade/dfclock"

// Defaults of Config, and fixed bounds.
const (
	// DefaultMaxWaiters bounds the waiters of one pool. More could not be served
	// within a typical deadline.
	DefaultMaxWaiters = 1024
	// DefaultIdleTimeout frees connections that a service with little load does not
	// use.
	DefaultIdleTimeout = 5 * dfclock.Minute
	// DefaultInitialBackoff is the backoff after the first failure to open a
	// connection. It is several times the time that opening one takes.
	DefaultInitialBackoff = 250 * dfclock.Millisecond
	// DefaultMaxBackoff bounds the backoff. Jitter shortens it by up to half, so a
	// pool tries at most once per second.
	DefaultMaxBackoff = 2 * dfclock.Second
	// DefaultSuspension is how long no connection is opened after the administrator
	// terminated connections.
	DefaultSuspension = dfclock.Second
	// furtherEvictIdle is how long a connection must have been idle to be closed for an
	// organisation that has others. Under overload, every organisation has overdue
	// waiters; they would take each other's connections for most statements.
	furtherEvictIdle = dfclock.Second
	// maxDoublings keeps the doubling of the backoff from overflowing.
	maxDoublings = 16
)
