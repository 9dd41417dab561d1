package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfsession"
)

// step is what a ladder waits for.
type step uint8

const (
	stepDone step = iota
	stepPeers
	stepBarrier
	stepWait
	stepConfirm
)

// Ladder is the state of one read between two actions. It is a plain value that
// the host keeps and passes to Continue.
type Ladder struct {
	request   uint64
	arrivedAt dfclock.Millis
	deadline  dfclock.Millis
	need      need
	// held is what the host knew when the read arrived.
	held dfsession.LookupResult
	// barrier is meaningful if need.covered is true.
	barrier BarrierReached
	// rung is the step that made the need known.
	rung int
	step step
	// waited is true after the one wait for a replica that is slightly behind.
	waited    bool
	waitUntil dfclock.Millis
}

// Rung returns the step of the ladder that decided, or zero.
func (l Ladder) Rung() int {
	return l.rung
}

// until bounds a step by the deadline.
func (l *Ladder) until(now, span dfclock.Millis) dfclock.Millis {
	return min(now.Add(span), l.deadline)
}
