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

// Options describes a slot holder.
type Options struct {
	Group    dfgroup.ID
	Database dfconfig.Database
	// Host, Incarnation and Epoch identify this holder of the slot.
	Host        string
	Incarnation string
	Slot        int
	Epoch       uint64
	DataCentre  string
	// Rank orders the actors of a promotion, from 0.
	Rank int

	Dial             func(ctx context.Context, network, address string) (net.Conn, error)
	User             string
	Password         string
	ControlPassword  string
	Classify         dfupstream.Classify
	Now              func() dfclock.Millis
	Seed             uint64
	IdleTimeout      dfclock.Millis
	RequestsInFlight int

	// Notify tells a peer of a position and calls answered when it has it.
	Notify func(peer dfsession.Peer, position *dfproto.CallerPosition, answered func())
	// Ask asks a peer for a caller's position. known is false without an answer
	// that counts.
	Ask func(ctx context.Context, peer dfsession.Peer, request *dfproto.PositionsRequest) (position dfposition.Position, known bool)
	// OnAudit takes events for the audit trail; it may be nil.
	OnAudit func(dfcontrol.AuditEvent)

	// LeaseNow is the clock of leases; MayOpen tells whether connections to an
	// upstream may be opened, and again whether a new one may be used. OnCut is
	// called when an upstream's administrator ended a connection. All may be nil.
	LeaseNow func() dfclock.Millis
	MayOpen  func(upstream dfgroup.UpstreamID) bool
	OnCut    func()
	// Former is the last holder of a slot of the group in this process; it is
	// closed or about to be, and nil if there was none.
	Former *Holder

	// ClaimedAt is when the slot was taken, after the connections of its earlier
	// holder had ended. FromVacant is true if there was none.
	ClaimedAt  dfclock.Millis
	FromVacant bool
}

// Bounds of a slot holder.
const (
	// DefaultIdleTimeout makes upstreams close the connections of a host that
	// is paused or cut off. Connections in use never come near it.
	DefaultIdleTimeout = 60 * dfclock.Second
	// DefaultRequestsInFlight bounds the requests of one database that a holder
	// works on, waiting ones included.
	DefaultRequestsInFlight = 4096
	// warmPeriod is a third of the time after which upstreams close idle
	// connections, so that two lost uses do no harm.
	warmPeriod = time.Duration(DefaultIdleTimeout) * time.Millisecond / 3
	// floorPeriod separates attempts to take a floor.
	floorPeriod = 100 * dfclock.Millisecond
	// holdBound is how long a write waits for a primary at one slot holder before
	// another one is tried.
	holdBound = 1500 * dfclock.Millisecond
	// markTimeout bounds one statement that sets a leaving mark.
	markTimeout = time.Second
	// probeTimeout bounds a probe that proves the right to open connections.
	probeTimeout = 500 * dfclock.Millisecond
	// probePriority lets probes go before requests.
	probePriority = 0
	// retryHint is when a caller that was refused may come back.
	retryHint = 200 * dfclock.Millisecond
	// doubtTimeout bounds one question about a backend. It is several round trips
	// between data centres.
	doubtTimeout = 300 * time.Millisecond
	// reportAge is the age up to which a status report shows that the upstream
	// answers. It is two periods of the polls, and less than any bound on silence,
	// so that a doubt about an upstream that stopped finds an older report.
	reportAge = 200 * dfclock.Millisecond
	// doubtPause separates the two questions about a backend that is not active.
	// It is longer than an answer usually takes between data centres.
	doubtPause = 100 * time.Millisecond
	// resolveSpan bounds the search for the outcome of a lost commit. It covers a
	// promotion, which takes about a second, and the question afterwards.
	resolveSpan = 2 * dfclock.Second
	// settlePause separates the questions about a lost commit.
	settlePause = 20 * time.Millisecond
	// terminateTimeout bounds the ending of a silent backend.
	terminateTimeout = 300 * time.Millisecond
	// routePause separates looks at the replicas while a read waits for one.
	routePause = 5 * dfclock.Millisecond
)
