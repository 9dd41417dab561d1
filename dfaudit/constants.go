package dfaudit

import "dragonflygrade/dfclock"

const (
	// maxBuffered bounds the records that wait for the object store, at about
	// 500 bytes each. An outage of hours fits on a day of usual changes.
	maxBuffered = 4096
	// maxSegment bounds the records of one segment, so that a segment is read
	// and verified in one piece.
	maxSegment = 256
	// segmentAge is how long a record waits for others before its segment is
	// due. Longer segments save writes; a host that dies loses as much.
	segmentAge = 2 * dfclock.Second
	// keptAge is how long a stored segment is kept in case the object store comes back
	// from an older copy. Copies are some seconds old.
	keptAge = dfclock.Minute
	// maxKept bounds the stored segments that are kept.
	maxKept = 32
	// retryFirst and retryMax bound the wait after a failed write.
	retryFirst = 500 * dfclock.Millisecond
	retryMax   = 30 * dfclock.Second
)
