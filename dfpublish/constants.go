package dfpublish

import "dragonflygrade/dfclock"

const (
	// maxRounds bounds how often one publication is rebased on a newer head.
	// Each round is lost only to a publication that succeeded.
	maxRounds = 16
	// maxWalk bounds the versions that are walked back to find an author.
	maxWalk = 64
	// waitInterval is how often the version in force is asked for; a fraction
	// of the seconds in which a version spreads.
	waitInterval = 200 * dfclock.Millisecond
	// maxShown bounds the faults that an audit record repeats.
	maxShown = 5
)
