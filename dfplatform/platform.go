// Package dfplatform has the interfaces through which hosts and operators use
// the platform: a transactional table, an object store and a list of hosts.
package dfplatform

import (
	"context"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfrevision"
)

// Errors that implementations return, possibly wrapped.
var (
	// ErrNotFound means that the key or object does not exist.
	ErrNotFound = eris.New("platform: not found")
	// ErrConflict means that a condition of the commit did not hold; nothing changed.
	ErrConflict = eris.New("platform: condition does not hold")
	// ErrRefused means that the platform refused the call; nothing changed.
	ErrRefused = eris.New("platform: refused")
	// ErrUnavailable means that no answer arrived; a change may have taken effect.
	ErrUnavailable = eris.New("platform: no answer")
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version rises with each change of the row, and is never 0.
	Version dfrevision.Revision
	// Attempt identifies the commit that wrote the row.
	Attempt string
}

// Write is one change within a commit.
type Write struct {
	Key string
	// IfVersion must equal the row's version; zero means that the row is absent.
	IfVersion dfrevision.Revision
	// Unconditional ignores IfVersion.
	Unconditional bool
	Value         []byte
	Delete        bool
}

// CheckConditions returns ErrConflict if a condition names a version of an earlier
// era than the store's. The store may have given that version to another row since.
func CheckConditions(era uint64, writes ...Write) error {
	for _, write := range writes {
		if !write.Unconditional && write.IfVersion > 0 && write.IfVersion.Era() < era {
			return eris.Wrapf(ErrConflict, "%s was read at version %s, the store is in era %d", write.Key, write.IfVersion, era)
		}
	}
	return nil
}

// Table is the transactional table.
type Table interface {
	// Get returns one row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys have the prefix, by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none. The attempt is stored with each row.
	Commit(ctx context.Context, attempt string, writes ...Write) error
}

// ObjectStore keeps immutable objects by name.
type ObjectStore interface {
	// Put stores an object. Storing the same content again is not an error;
	// other content under an existing name is ErrConflict.
	Put(ctx context.Context, name string, data []byte) error
	// Fetch returns an object or ErrNotFound.
	Fetch(ctx context.Context, name string) ([]byte, error)
	// Names returns the names with the prefix, in order.
	Names(ctx context.Context, prefix string) ([]string, error)
}

// MemberKind tells hosts of the system from upstreams.
type MemberKind string

// Kinds of members.
const (
	KindHost     MemberKind = "host"
	KindUpstream MemberKind = "upstream"
)

// Member is one entry of the host list.
type Member struct {
	ID         string
	Kind       MemberKind
	DataCentre string
	// Address is "ip:port": the peer address of a host, the database address of an upstream.
	Address string
	Leaving bool
}

// HostList is the platform's list of live and leaving hosts, which lags.
type HostList interface {
	Members(ctx context.Context) ([]Member, error)
}

// Platform joins the three parts.
type Platform interface {
	Table
	ObjectStore
	HostList
	// Era returns the latest era that was seen in the answers of the table and the
	// object store, or 0. It rises each time that they come back from an older copy,
	// without what they acknowledged since.
	Era() uint64
}
