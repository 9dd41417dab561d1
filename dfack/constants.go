package dfack

import "dragonflygrade/dfclock"

const (
	// DefaultTimeout bounds the wait of a commit for its majority. It covers a
	// failover of usual length, so that a commit that survives the failover is
	// still acknowledged.
	DefaultTimeout = 4 * dfclock.Second
	// DefaultWaitTimeout bounds one group_wait. A shorter one detects a new term
	// earlier, a longer one sends fewer statements to a lagging replica.
	DefaultWaitTimeout = 500 * dfclock.Millisecond
	// MaxPendingCommits bounds the commits that wait in one gate. Every report is
	// checked against all of them, so it also bounds the work per report.
	MaxPendingCommits = 8192
)
