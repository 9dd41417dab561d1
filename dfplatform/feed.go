package dfplatform

import (
	"context"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfrevision"
)

// Errors of feeds and orders, possibly wrapped.
var (
	// ErrHistoryLost means that changes can no longer be told one by one: the platform
	// dropped its history, or came back from an older copy.
	ErrHistoryLost = eris.New("platform: history is gone")
	// ErrSuperseded means that an order was refused: a higher epoch was used, or
	// the upstream that it names does not run.
	ErrSuperseded = eris.New("platform: order refused")
)

// Changes is what a read or a feed of the platform told.
type Changes struct {
	// Version orders reads and feeds of all tables.
	Version dfrevision.Revision
	// StoreTime is the time of the store's clock, which all hosts share, or 0.
	StoreTime dfclock.Millis
	// Catalog is the newest document of the desired state, or nil.
	Catalog []byte
	// Upstreams changed, and Lapsed vanished.
	Upstreams []dffleet.Upstream
	Lapsed    []dffleet.ID
	// Rows of one of the system's own tables changed. Removed ones have no value.
	Rows []Row
	// Unreadable are entries that name no upstream to use, or rows that cannot be decoded.
	Unreadable []Unreadable
}

// Unreadable is an entry that names no upstream to use.
type Unreadable struct {
	// ID is the key of the entry, or empty if it cannot be decoded. It need not be one
	// that an upstream can have.
	ID dffleet.ID
	// Reason is short enough to be logged.
	Reason string
}

// Feeds tells the desired state, the list of upstreams, and the system's own tables.
type Feeds interface {
	// Catalog and Upstreams read everything.
	Catalog(ctx context.Context) (Changes, error)
	Upstreams(ctx context.Context) (Changes, error)
	// WaitCatalog and WaitUpstreams return as soon as something is newer than
	// the version, or after the wait. ErrHistoryLost asks for a read of everything.
	WaitCatalog(ctx context.Context, after dfrevision.Revision, wait dfclock.Millis) (Changes, error)
	WaitUpstreams(ctx context.Context, after dfrevision.Revision, wait dfclock.Millis) (Changes, error)
	// Rows reads one of the system's own tables, whose name has no slash. WaitRows waits
	// for its changes as WaitCatalog does.
	Rows(ctx context.Context, table string) (Changes, error)
	WaitRows(ctx context.Context, table string, after dfrevision.Revision, wait dfclock.Millis) (Changes, error)
	// DecodeCatalog reads a document of the desired state.
	DecodeCatalog(document []byte) (dfcatalog.Catalog, error)
}

// Orders carries out promotions.
type Orders interface {
	// Promote orders that an upstream leads its service. The epoch is a fencing
	// token: the platform refuses one that is below the highest it has seen.
	Promote(ctx context.Context, service string, id dffleet.ID, holder string, epoch uint64) error
}
