package dfroute

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfsession"
)

// step is the event that a read waits for.
type step uint8

const (
	stepDone step = iota
	stepPeers
	stepBarrier
	stepWait
	stepConfirm
)

// ReadState is the routing state of one read between two actions. It is a plain
// value that the host keeps and passes to Continue.
type ReadState struct {
	request   uint64
	arrivedAt dfclock.Millis
	deadline  dfclock.Millis
	required  requirement
	// known is the session knowledge at the read's arrival.
	known dfsession.LookupResult
	// barrier is valid if required.maxAgeProven is true.
	barrier BarrierReached
	// rung is the routing step that determined the required positions.
	rung int
	step step
	// waitedForReplica is true after the wait for a replica that lags slightly; a
	// read waits at most once.
	waitedForReplica bool
	waitUntil        dfclock.Millis
}

// Rung returns the routing step that determined the required positions, or zero
// if none has.
func (s ReadState) Rung() int {
	return s.rung
}

// deadlineAfter returns the end of a timeout that starts now, limited to the
// read's deadline.
func (s *ReadState) deadlineAfter(now, timeout dfclock.Millis) dfclock.Millis {
	return min(now.Add(timeout), s.deadline)
}
