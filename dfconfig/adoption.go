package dfconfig

import (
	"sort"

	"github.com/rotisserie/eris"
)

// Action is an output of an Adoption, to be executed by its owner.
type Action interface{ action() }

// FetchDocuments requests service documents by content address, from any source.
type FetchDocuments struct{ Addresses []string }

// FetchIndex requests the whole index of the version or a newer one.
type FetchIndex struct{ Version uint64 }

// Adopt applies a newer snapshot.
type Adopt struct{ Snapshot Snapshot }

// Reject reports that an offered version was not adopted.
type Reject struct {
	// Version is the offered version. Applied is the version that stays applied.
	Version uint64
	Applied uint64
	Err     error
}

func (FetchDocuments) action() {}
func (FetchIndex) action()     {}
func (Adopt) action()          {}
func (Reject) action()         {}

// Adoption decides which of the offered versions are applied at one host. Offers and
// documents may arrive in any order and more than once.
type Adoption struct {
	// applied is only ever replaced by a newer version.
	applied Snapshot
	history History
	// pending is the index with the highest version offered above the applied one.
	// Its version is 0 if there is none.
	pending Index
	// missing has the addresses of the documents that pending lacks. It is stored,
	// so that delivering a document does not have to check all the others.
	missing map[string]bool
	// documents has the documents of the applied version and those received since,
	// by content address.
	documents map[string][]byte
}

// NewAdoption returns an adoption at version 0, which has no services.
func NewAdoption() *Adoption {
	return &Adoption{documents: make(map[string][]byte)}
}

// Applied returns the applied snapshot.
func (a *Adoption) Applied() Snapshot {
	return a.applied
}

// Pending returns the version that waits for documents, or 0.
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

// Document returns a stored document by content address.
func (a *Adoption) Document(address string) ([]byte, bool) {
	document, ok := a.documents[address]
	return document, ok
}

// Difference returns the changes from a version to the applied one, with the
// changed documents.
func (a *Adoption) Difference(from uint64) Difference {
	difference := a.history.Difference(from)
	difference.Documents = make(map[string]string, len(difference.Changed))
	for _, address := range difference.Changed {
		difference.Documents[address] = string(a.documents[address])
	}
	return difference
}

// OfferIndex handles an index that was named by the head, as read from the platform
// or learned from a peer.
func (a *Adoption) OfferIndex(index Index) []Action {
	if err := index.validate(); err != nil {
		return []Action{Reject{index.Version, a.applied.Version(), err}}
	}
	if index.Version <= a.applied.Version() {
		return a.rejectOlder(index.Version)
	}
	if index.Version > a.pending.Version {
		a.pending = index
	}
	return a.adoptPending()
}

// OfferDifference handles a difference from a peer. Its documents are kept even if
// it does not apply, because the pending version may need them.
func (a *Adoption) OfferDifference(difference Difference) []Action {
	if difference.To <= a.applied.Version() {
		return a.rejectOlder(difference.To)
	}
	for address, document := range difference.Documents {
		if ContentAddress([]byte(document)) == address {
			a.documents[address] = []byte(document)
			delete(a.missing, address)
		}
	}
	index, err := difference.Apply(a.applied.index)
	if err != nil {
		return []Action{
			Reject{difference.To, a.applied.Version(), err},
			FetchIndex{difference.To},
		}
	}
	return a.OfferIndex(index)
}

// Deliver handles a document from any source. It requests no further documents,
// because all missing ones were requested when the version was offered.
func (a *Adoption) Deliver(document []byte) []Action {
	if a.pending.Version == 0 {
		return nil
	}
	if address := ContentAddress(document); a.missing[address] {
		a.documents[address] = document
		delete(a.missing, address)
	}
	if len(a.missing) > 0 {
		return nil
	}
	return a.adoptPending()
}

func (a *Adoption) rejectOlder(version uint64) []Action {
	if version == a.applied.Version() {
		return nil
	}
	err := eris.Errorf("config: version %d is older than the applied version %d", version, a.applied.Version())
	return []Action{Reject{version, a.applied.Version(), err}}
}

// adoptPending applies the pending version if all its documents are present, and
// requests the missing ones otherwise.
func (a *Adoption) adoptPending() []Action {
	a.updateMissing()
	if len(a.missing) > 0 {
		return []Action{FetchDocuments{a.Missing()}}
	}
	next, err := a.applied.WithIndex(a.pending, a.documents)
	if err != nil {
		rejected := Reject{a.pending.Version, a.applied.Version(), err}
		a.pending = Index{}
		return []Action{rejected}
	}
	a.pending = Index{}
	if !VersionIncreases(a.applied.Version(), next.Version()) {
		return a.rejectOlder(next.Version())
	}
	a.applied = next
	a.history = a.history.WithIndex(next.index)
	a.dropUnusedDocuments()
	return []Action{Adopt{next}}
}

// updateMissing recomputes the addresses of the documents that the pending version
// lacks.
func (a *Adoption) updateMissing() {
	a.missing = make(map[string]bool)
	for _, address := range a.pending.Services {
		if _, ok := a.documents[address]; !ok {
			a.missing[address] = true
		}
	}
}

// VersionIncreases checks the invariant of adoption: the applied version never
// decreases.
func VersionIncreases(applied, next uint64) bool {
	return next > applied
}

// dropUnusedDocuments removes the documents that the applied version does not refer to.
func (a *Adoption) dropUnusedDocuments() {
	kept := make(map[string][]byte, len(a.applied.index.Services))
	for _, address := range a.applied.index.Services {
		kept[address] = a.documents[address]
	}
	a.documents = kept
}
