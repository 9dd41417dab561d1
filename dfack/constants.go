package dfack

import "dragonflygrade/dfclock"

const (
	// DefaultTimeout bounds how long a commit waits for its majority. It
	// covers a failover of the ordinary length, so that a commit that survives
	// the change of primary is still answered as done.
	DefaultTimeout = 4 * dfclock.Second
	// DefaultWaitSpan bounds one group_wait. A shorter span notices a change of
	// term earlier, a longer one sends fewer statements to a lagging replica.
	DefaultWaitSpan = 500 * dfclock.Millisecond
	// MaxWaiting bounds the commits that wait in one gate. Every report is judged
	// against all of them, so the bound also keeps that work short.
	MaxWaiting = 8192
)
