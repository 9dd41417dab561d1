// Package dffresh decides which log position a read needs. Position proofs of the
// leader bound the staleness of a log: every commit that was acknowledged before
// the proof was requested lies at or below the proved position.
package dffresh

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

const (
	// minSampleInterval is the least time between two stored proofs. It is a
	// fraction of the shortest staleness bound that services declare.
	minSampleInterval = 50 * dfclock.Millisecond
	// sampleRetention is how long proofs are stored. Reads with a longer staleness
	// bound use the oldest stored proof.
	sampleRetention = 5 * dfclock.Second
)

// Proof is a log position and an instant. Every commit that was acknowledged
// before the instant lies at or below the position.
type Proof struct {
	At       dfclock.Millis
	Position dfposition.Position
}

// Timeline holds the proofs of one service. It is not safe for concurrent use.
type Timeline struct {
	// proofs is in ascending order of instants and positions.
	proofs []Proof
}

// Add stores a proof. A proof whose instant is not newer than that of the last one
// is ignored.
func (t *Timeline) Add(proof Proof) {
	n := len(t.proofs)
	if n > 0 && proof.At <= t.proofs[n-1].At {
		return
	}
	if n > 0 && proof.Position.Less(t.proofs[n-1].Position) {
		// A lower position at a later instant: a promotion discarded the commits
		// between them.
		t.proofs = t.proofs[:0]
		n = 0
	}
	if n > 1 && proof.At.Since(t.proofs[n-2].At) < minSampleInterval {
		t.proofs[n-1] = proof
	} else {
		t.proofs = append(t.proofs, proof)
	}
	first := 0
	for first < len(t.proofs)-1 && t.proofs[first].At.Add(sampleRetention) < proof.At {
		first++
	}
	if first > 0 {
		t.proofs = append(t.proofs[:0], t.proofs[first:]...)
	}
}

// Discard removes all proofs. It is used when a leader was replaced, because its
// last positions may have been rolled back.
func (t *Timeline) Discard() {
	t.proofs = t.proofs[:0]
}

// RequiredProof returns the oldest proof whose position a log must have reached so
// that a read at now lacks no commit older than maxAge. ok is false if no proof is
// recent enough.
func (t *Timeline) RequiredProof(now, maxAge dfclock.Millis) (required Proof, ok bool) {
	for _, proof := range t.proofs {
		if proof.At >= now-maxAge {
			return proof, true
		}
	}
	return Proof{}, false
}

// Newest returns the newest proof.
func (t *Timeline) Newest() (Proof, bool) {
	if len(t.proofs) == 0 {
		return Proof{}, false
	}
	return t.proofs[len(t.proofs)-1], true
}

// Lag estimates how far a log that ends at the position is behind. It is the age
// of the oldest proof that the log has not reached, so it is an underestimate
// where proofs are infrequent. That is safe, because an upstream refuses reads
// whose position it has not reached.
func (t *Timeline) Lag(now dfclock.Millis, position dfposition.Position) dfclock.Millis {
	for _, proof := range t.proofs {
		if position.Less(proof.Position) {
			return now - proof.At
		}
	}
	return 0
}
