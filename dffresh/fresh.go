// Package dffresh decides which log position a read needs. Positions that a
// leader proved bound the age of what a log may lack: every commit acknowledged
// before the proof was asked for lies at or below the proved position.
package dffresh

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

const (
	// sampleGap is the least distance between two kept proofs. It is a fraction
	// of the shortest staleness that services declare.
	minSampleInterval = 50 * dfclock.Millisecond
	// sampleSpan is how long proofs are kept; staleness beyond it is served by
	// the oldest proof within.
	sampleRetention = 5 * dfclock.Second
)

// Proof is a position with the instant before which every acknowledged commit
// lies at or below it.
type Proof struct {
	At       dfclock.Millis
	Position dfposition.Position
}

// Timeline has the proofs of one service. It is not safe for concurrent use.
type Timeline struct {
	// proofs is in rising order of instants and positions.
	proofs []Proof
}

// Add takes a proof. A proof that an earlier and higher one covers adds nothing.
func (t *Timeline) Add(proof Proof) {
	n := len(t.proofs)
	if n > 0 && proof.At <= t.proofs[n-1].At {
		return
	}
	if n > 0 && proof.Position.Less(t.proofs[n-1].Position) {
		// A lower position proved later: a promotion discarded the rest.
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

// Discard drops every proof. It is used when a leader was replaced, because its
// last positions may have been rolled back.
func (t *Timeline) Discard() {
	t.proofs = t.proofs[:0]
}

// Need returns the oldest proof that allows a read at an instant to miss
// commits of at most the age. ok is false if no proof is recent enough.
func (t *Timeline) RequiredProof(now, age dfclock.Millis) (need Proof, ok bool) {
	for _, proof := range t.proofs {
		if proof.At >= now-age {
			return proof, true
		}
	}
	return Proof{}, false
}

// Newest returns the latest proof.
func (t *Timeline) Newest() (Proof, bool) {
	if len(t.proofs) == 0 {
		return Proof{}, false
	}
	return t.proofs[len(t.proofs)-1], true
}

// Lag estimates how far a log that ends at the position is behind. It is the
// age of the first proof that the log lacks, so it is too low rather than too
// high where proofs are rare; the upstream itself refuses reads that it lacks the
// position for.
func (t *Timeline) Lag(now dfclock.Millis, position dfposition.Position) dfclock.Millis {
	for _, proof := range t.proofs {
		if position.Less(proof.Position) {
			return now - proof.At
		}
	}
	return 0
}
