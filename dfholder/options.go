package dfholder

import (
	"context"
	"net"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfcontrol"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfsession"
	"dragonflygrade/dfupstream"
)

// Options configures a Holder.
type Options struct {
	Group    dfgroup.ID
	Database dfconfig.Database
	// Host, Incarnation and Epoch identify this holder of the slot.
	Host        string
	Incarnation string
	Slot        int
	Epoch       uint64
	DataCentre  string
	// Rank orders the slot holders that may run a promotion, starting at 0.
	Rank int

	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	User            string
	Password        string
	ControlPassword string
	Classify        dfupstream.Classify
	Now             func() dfclock.Millis
	Seed            uint64
	IdleTimeout     dfclock.Millis
	MaxInFlight     int

	// Notify sends a caller's position to a peer and calls answered once the peer
	// has acknowledged it.
	Notify func(peer dfsession.Peer, position *dfproto.CallerPosition, answered func())
	// FetchPosition requests a caller's position from a peer. known is false if the
	// peer gave no valid answer.
	FetchPosition func(ctx context.Context, peer dfsession.Peer, request *dfproto.PositionsRequest) (position dfposition.Position, known bool)
	// OnAudit is called with events for the audit trail; it may be nil.
	OnAudit func(dfcontrol.AuditEvent)

	// LeaseNow is the clock of host leases. MayOpen reports whether connections to
	// an upstream may be opened; it is called before the dial and again before a new
	// connection is used. OnTerminated is called when an administrator of the
	// upstream terminated a connection. All three may be nil.
	LeaseNow     func() dfclock.Millis
	MayOpen      func(upstream dfgroup.UpstreamID) bool
	OnTerminated func()
	// Former is the previous holder of a slot of the group in this process, or nil.
	// It is closed or about to be closed.
	Former *Holder

	// ClaimedAt is when the slot was claimed, after the connections of its previous
	// holder had ended. FromVacant is true if the slot had no previous holder.
	ClaimedAt  dfclock.Millis
	FromVacant bool
}

// Limits and timeouts of a slot holder.
const (
	// DefaultIdleTimeout is the time after which upstreams close idle connections.
	// It removes the connections of a host that is paused or partitioned;
	// connections in use are never idle that long.
	DefaultIdleTimeout = 60 * dfclock.Second
	// DefaultMaxInFlight limits the concurrent requests of one database at a
	// holder, including queued ones.
	DefaultMaxInFlight = 4096
	// keepAliveInterval is a third of the idle timeout, so that two failed
	// keep-alives in a row do not let a connection time out.
	keepAliveInterval = time.Duration(DefaultIdleTimeout) * time.Millisecond / 3
	// floorRetryInterval is the time between checks whether a new floor is needed.
	floorRetryInterval = 100 * dfclock.Millisecond
	// maxPrimaryWait is how long a write waits for a primary at this slot holder
	// before it is refused, so that another holder is tried.
	maxPrimaryWait = 1500 * dfclock.Millisecond
	// leavingMarkTimeout limits the statement that sets or clears a leaving mark.
	leavingMarkTimeout = time.Second
	// probeTimeout limits a probe, whose success permits opening connections.
	probeTimeout = 500 * dfclock.Millisecond
	// probePriority puts probes ahead of requests in the wait for a connection.
	probePriority = 0
	// retryAfter is the delay before a retry that refused requests are told.
	retryAfter = 200 * dfclock.Millisecond
	// backendQueryTimeout limits a query for the state of a backend or transaction.
	// It allows several round trips between data centres.
	backendQueryTimeout = 300 * time.Millisecond
	// maxReportAge is the age up to which a status report proves that the upstream
	// responds. It is two poll periods, and less than every silence timeout: when a
	// connection to a stopped upstream times out, the last report is already older.
	maxReportAge = 200 * dfclock.Millisecond
	// backendRecheckDelay is the time between the two queries for a backend that is
	// not active. It is longer than a response between data centres usually takes.
	backendRecheckDelay = 100 * time.Millisecond
	// resolveTimeout limits the resolution of a commit whose response was lost. It
	// covers a promotion, which takes about a second, and the query after it.
	resolveTimeout = 2 * dfclock.Second
	// resolveRetryDelay is the time between queries for the outcome of a commit.
	resolveRetryDelay = 20 * time.Millisecond
	// terminateTimeout limits the termination of a silent connection's backend.
	terminateTimeout = 300 * time.Millisecond
	// replicaPollInterval is the time between checks while a read waits for a
	// replica to catch up.
	replicaPollInterval = 5 * dfclock.Millisecond
)
