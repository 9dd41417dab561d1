package dfspread

import "dragonflygrade/dfclock"

const (
	// pollersPerDataCentre is the number of hosts of each data centre that poll the
	// head, so that one of them may fail.
	pollersPerDataCentre = 2
	// pollInterval results in 72 reads/s with 2 pollers in each of 18 data centres.
	pollInterval = 500 * dfclock.Millisecond
	// fanOut bounds the peers to which one host announces a version. A tree of four
	// levels reaches 340 hosts of a data centre, so a version takes few hops.
	fanOut = 4
	// treeCount is the number of announcement trees through which versions rotate.
	treeCount = 16
	// maxHops bounds the hops of an announcement in case the hosts' lists of live
	// hosts differ.
	maxHops = 8
	// pullInterval is the mean time between pulls from random peers.
	pullInterval = 2 * dfclock.Second
	// retryInterval replaces pullInterval while peers do not answer or after a pause,
	// so that a partitioned host catches up within a second after the partition heals.
	retryInterval = 250 * dfclock.Millisecond
	// minConsecutiveAnswers is how many consecutive answers end the use of
	// retryInterval. One is not enough, because it may come from a peer in the same
	// partition.
	minConsecutiveAnswers = 4
	// maxAnnounceAttempts bounds the announcements of a version to one peer. By the
	// time they have all failed, the peer itself pulls at retryInterval.
	maxAnnounceAttempts = 8
	// callTimeout is the time after which an unanswered call counts as failed.
	callTimeout = 2 * dfclock.Second
)
