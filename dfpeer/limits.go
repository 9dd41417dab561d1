package dfpeer

import "time"

const (
	// dialTimeout bounds the wait for a connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// keepaliveInterval and keepaliveTimeout find connections that went silent
	// because something between two hosts lost track of them.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// minKeepaliveInterval is what a server accepts from its peers.
	minKeepaliveInterval = 5 * time.Second
	// frameBytes is the size at which answers are sent on while a batch still runs.
	frameBytes = 32 << 10
	// maxMessageBytes bounds one message between hosts.
	maxMessageBytes = 4 << 20
	// idleStreams is the number of idle relay streams kept for each peer.
	idleStreams = 64
	// requestRing is the number of batches of one unit that wait at a slot
	// holder; a caller sends one at a time, so more is a protocol error.
	requestRing = 4
)

const (
	// notifyRing is the number of positions that wait for one peer. A full
	// ring leaves the write waiting for the end of the peer's lease.
	notifyRing = 4096
	// notifyBatch is the number of positions in one message.
	notifyBatch = 256
	// notifySenders is the number of messages in flight to one peer, so that a
	// write does not wait for the round trip of the one before.
	notifySenders = 4
	// notifyTimeout is a few round trips between data centres.
	notifyTimeout = 300 * time.Millisecond
)
