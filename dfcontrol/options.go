package dfcontrol

import (
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfack"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffailover"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhealth"
	"dragonflygrade/dfposition"
)

// AuditKind tells what an audit event is about.
type AuditKind string

// Kinds of audit events.
const (
	AuditFencing   AuditKind = "fencing"
	AuditPromotion AuditKind = "promotion"
	AuditChange    AuditKind = "planned change"
	AuditDiscarded AuditKind = "discarded tail"
	AuditGivenUp   AuditKind = "given up"
	AuditLeaving   AuditKind = "leaving"
)

// AuditEvent is something that the audit trail must have.
type AuditEvent struct {
	Kind     AuditKind
	At       dfclock.Millis
	Group    dfgroup.ID
	Term     dfposition.Term
	Actor    string
	Upstream dfgroup.UpstreamID
	Detail   string
	// Decision is set on promotions and planned changes. It also goes to the
	// platform's table.
	Decision *dffailover.Decision
}

// Options describes a watcher.
type Options struct {
	Group dfgroup.ID
	// Upstreams are the configured upstreams in a fixed order; not empty.
	Upstreams []dfgroup.Upstream
	// Actor is unique per incarnation of the host.
	Actor      string
	Rank       int
	DataCentre string
	Control    Group
	// Now is the host's clock; it never goes back.
	Now func() dfclock.Millis

	PollPeriod, StatusTimeout, ChangeTimeout time.Duration
	WaitMargin, WaitPause                    time.Duration
	TickPeriod, BarrierTimeout               time.Duration

	Health   dfhealth.Options
	Failover dffailover.Timings
	Ack      dfack.Options

	// InFlight counts this host's transactions on the primary; it may be nil.
	// It is called while writes are held.
	InFlight func() int
	// OnView and OnAudit may be nil. They run on the watcher's goroutine and must
	// return at once. OnView is called when a term, a primary, a role, a leaving
	// mark or an ejection changed.
	OnView  func(dfgroup.View)
	OnAudit func(AuditEvent)
}

// DefaultOptions returns options with every bound set.
func DefaultOptions() Options {
	return Options{
		PollPeriod: PollPeriod, StatusTimeout: StatusTimeout, ChangeTimeout: ChangeTimeout,
		WaitMargin: WaitMargin, WaitPause: WaitPause,
		TickPeriod: TickPeriod, BarrierTimeout: BarrierTimeout,
		Health:   dfhealth.DefaultOptions(),
		Failover: dffailover.DefaultTimings(),
		Ack:      dfack.DefaultOptions(),
	}
}

func (o Options) check() error {
	switch {
	case len(o.Upstreams) == 0:
		return eris.New("watcher: no upstreams")
	case o.Control == nil || o.Now == nil:
		return eris.New("watcher: Control and Now are required")
	case o.Actor == "":
		return eris.New("watcher: the actor has no name")
	case o.PollPeriod <= 0 || o.StatusTimeout <= 0 || o.ChangeTimeout <= 0 || o.TickPeriod <= 0 ||
		o.BarrierTimeout <= 0 || o.WaitMargin <= 0 || o.WaitPause <= 0:
		return eris.New("watcher: every time bound must be positive")
	case o.Ack.Timeout <= 0 || o.Ack.WaitTimeout <= 0:
		return eris.New("watcher: the bounds of acknowledgement must be positive")
	}
	return nil
}
