package dfspread

import "dragonflygrade/dfclock"

const (
	// pollers is how many hosts of each data centre poll the head; one may fail.
	pollers = 2
	// pollInterval with 2 pollers in 18 data centres makes 72 reads/s.
	pollInterval = 500 * dfclock.Millisecond
	// fanOut bounds the peers that one host announces a version to. Four levels
	// reach 340 hosts of a data centre, so a version needs few hops.
	fanOut = 4
	// treeShapes is how many trees take turns.
	treeShapes = 16
	// maxHops bounds how far an announcement travels, should the hosts' lists
	// of each other differ.
	maxHops = 8
	// askInterval is the span between two questions to random peers.
	askInterval = 2 * dfclock.Second
	// retryInterval is the span while peers do not answer or after a pause, so
	// that a host that was cut off catches up within a second of healing.
	retryInterval = 250 * dfclock.Millisecond
	// steadyAnswers is how many answers in a row end the short span. One is not
	// enough, because a peer that is cut off too may give it.
	steadyAnswers = 4
	// announceTries bounds the repeats of an announcement to one peer. After
	// they end the peer's own questions are in the short span.
	announceTries = 8
	// callTimeout is when a call without an answer counts as failed.
	callTimeout = 2 * dfclock.Second
)
