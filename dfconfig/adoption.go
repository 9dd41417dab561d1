package dfconfig

import (
	"sort"

	"github.com/rotisserie/eris"
)

// Action is what the owner of an Adoption has to do.
type Action interface{ action() }

// FetchDocuments asks for service documents by address, from any source.
type FetchDocuments struct{ Addresses []string }

// FetchIndex asks for the whole index of at least the version.
type FetchIndex struct{ Version uint64 }

// Adopt puts a newer snapshot in force.
type Adopt struct{ Snapshot Snapshot }

// Refuse tells that an offer was not taken.
type Refuse struct {
	// Version was offered, InForce stays.
	Version uint64
	InForce uint64
	Why     error
}

func (FetchDocuments) action() {}
func (FetchIndex) action()     {}
func (Adopt) action()          {}
func (Refuse) action()         {}

// Adoption decides which offered versions come into force at one host. Offers
// and documents may arrive in any order and more than once.
type Adoption struct {
	// inForce never falls back to a lower version.
	inForce Snapshot
	history History
	// pending is the highest version offered above the one in force; its
	// version is 0 if there is none.
	pending Index
	// missing has the addresses of the documents that pending lacks. It is kept
	// beside pending, so that a delivery does not look at the other documents.
	missing map[string]bool
	// documents has the documents in force and those fetched for pending.
	documents map[string][]byte
}

// NewAdoption returns an adoption with no version in force.
func NewAdoption() *Adoption {
	return &Adoption{documents: make(map[string][]byte)}
}

// InForce returns the snapshot in force.
func (a *Adoption) InForce() Snapshot {
	return a.inForce
}

// Pending returns the version that documents are missing for, or 0.
func (a *Adoption) Pending() uint64 {
	return a.pending.Version
}

// Missing returns the addresses of the documents that the pending version lacks.
func (a *Adoption) Missing() []string {
	missing := make([]string, 0, len(a.missing))
	for address := range a.missing {
		missing = append(missing, address)
	}
	sort.Strings(missing)
	return missing
}

// Document returns a document that the host has.
func (a *Adoption) Document(address string) ([]byte, bool) {
	document, ok := a.documents[address]
	return document, ok
}

// Difference returns what a host at the version lacks, with the documents.
func (a *Adoption) Difference(from uint64) Difference {
	difference := a.history.Difference(from)
	difference.Documents = make(map[string]string, len(difference.Changed))
	for _, address := range difference.Changed {
		difference.Documents[address] = string(a.documents[address])
	}
	return difference
}

// OfferIndex takes an index that the head named, at the platform or at a peer.
func (a *Adoption) OfferIndex(index Index) []Action {
	if err := index.check(); err != nil {
		return []Action{Refuse{index.Version, a.inForce.Version(), err}}
	}
	if index.Version <= a.inForce.Version() {
		return a.refuseLower(index.Version)
	}
	if index.Version > a.pending.Version {
		a.pending = index
	}
	return a.advance()
}

// OfferDifference takes a difference from a peer.
func (a *Adoption) OfferDifference(difference Difference) []Action {
	if difference.To <= a.inForce.Version() {
		return a.refuseLower(difference.To)
	}
	for address, document := range difference.Documents {
		if Address([]byte(document)) == address {
			a.documents[address] = []byte(document)
			delete(a.missing, address)
		}
	}
	index, err := difference.Apply(a.inForce.index)
	if err != nil {
		return []Action{
			Refuse{difference.To, a.inForce.Version(), err},
			FetchIndex{difference.To},
		}
	}
	return a.OfferIndex(index)
}

// Deliver takes a document from any source. It asks for nothing, because all
// documents were asked for when the version was offered.
func (a *Adoption) Deliver(document []byte) []Action {
	if a.pending.Version == 0 {
		return nil
	}
	if address := Address(document); a.missing[address] {
		a.documents[address] = document
		delete(a.missing, address)
	}
	if len(a.missing) > 0 {
		return nil
	}
	return a.advance()
}

func (a *Adoption) refuseLower(version uint64) []Action {
	if version == a.inForce.Version() {
		return nil
	}
	err := eris.Errorf("config: version %d is below version %d in force", version, a.inForce.Version())
	return []Action{Refuse{version, a.inForce.Version(), err}}
}

// advance adopts the pending version once its documents are complete.
func (a *Adoption) advance() []Action {
	a.compare()
	if len(a.missing) > 0 {
		return []Action{FetchDocuments{a.Missing()}}
	}
	next, err := a.inForce.WithIndex(a.pending, a.documents)
	if err != nil {
		refused := Refuse{a.pending.Version, a.inForce.Version(), err}
		a.pending = Index{}
		return []Action{refused}
	}
	a.pending = Index{}
	if !Rises(a.inForce.Version(), next.Version()) {
		return a.refuseLower(next.Version())
	}
	a.inForce = next
	a.history = a.history.WithIndex(next.index)
	a.dropUnused()
	return []Action{Adopt{next}}
}

// compare notes which documents the pending version lacks.
func (a *Adoption) compare() {
	a.missing = make(map[string]bool)
	for _, address := range a.pending.Services {
		if _, ok := a.documents[address]; !ok {
			a.missing[address] = true
		}
	}
}

// Rises is the invariant of adoption: the version in force never decreases.
func Rises(inForce, next uint64) bool {
	return next > inForce
}

func (a *Adoption) dropUnused() {
	kept := make(map[string][]byte, len(a.inForce.index.Services))
	for _, address := range a.inForce.index.Services {
		kept[address] = a.documents[address]
	}
	a.documents = kept
}
