package dfpublish

import "dragonflygrade/dfclock"

const (
	// maxCommitRounds limits how often a publication tries to commit. Further tries are
	// rebased on the current version. A try fails only because another publication
	// succeeded.
	maxCommitRounds = 16
	// maxChainWalk limits how many previous indexes are read to find the author of a
	// change or the outcome of an attempt.
	maxChainWalk = 64
	// pollInterval is the interval between queries of the applied versions, a
	// fraction of the seconds in which a version spreads to all hosts.
	pollInterval = 200 * dfclock.Millisecond
	// confirmTimeout limits the wait for a host that confirms the head after the
	// platform came back from an older copy. Hosts do so within about 3 s.
	confirmTimeout = 6 * dfclock.Second
	// maxAuditedDiagnostics limits the diagnostics that an audit record repeats.
	maxAuditedDiagnostics = 5
)
