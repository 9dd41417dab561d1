// Package dfrevision has the order of changes at the platform's store.
package dfrevision

import (
	"fmt"

	"github.com/rotisserie/eris"
)

const (
	// versionBits is the size of the store's version in a revision.
	versionBits = 40
	// eraBits keeps revisions exact where they are read as floating-point numbers.
	eraBits = 13
)

// Revision orders the changes of the store, also across its returns from an older
// copy, after which the store gives out its versions again. It has the store's era,
// which rises with each return, and the version within the era. 0 means no revision.
type Revision uint64

// New returns the revision of a version that the store gave out in an era. It fails
// if one of them is too large.
func New(era, version uint64) (Revision, error) {
	if era >= 1<<eraBits || version >= 1<<versionBits {
		return 0, eris.Errorf("revision: era %d or version %d is too large", era, version)
	}
	return Revision(era<<versionBits | version), nil
}

// Era returns the store's era.
func (r Revision) Era() uint64 {
	return uint64(r) >> versionBits
}

// Version returns the version within the era.
func (r Revision) Version() uint64 {
	return uint64(r) & (1<<versionBits - 1)
}

// String returns the era and the version, as in "2.21".
func (r Revision) String() string {
	return fmt.Sprintf("%d.%d", r.Era(), r.Version())
}
