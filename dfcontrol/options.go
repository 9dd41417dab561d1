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

// AuditKind is the kind of an audit event.
type AuditKind string

// Kinds of audit events.
const (
	AuditFencing    AuditKind = "fencing"
	AuditPromotion  AuditKind = "promotion"
	AuditSwitchover AuditKind = "planned change"
	AuditDiscarded  AuditKind = "discarded tail"
	AuditAborted    AuditKind = "given up"
	AuditLeaving    AuditKind = "leaving"
)

// AuditEvent is an event to record in the audit trail.
type AuditEvent struct {
	Kind     AuditKind
	At       dfclock.Millis
	Group    dfgroup.ID
	Term     dfposition.Term
	Actor    string
	Upstream dfgroup.UpstreamID
	Detail   string
	// Decision is set on promotions and switchovers, so that it can also be recorded
	// in the platform's table.
	Decision *dffailover.Decision
}

// Options configures a watcher.
type Options struct {
	Group dfgroup.ID
	// Upstreams has the configured upstreams in a fixed order. It is not empty.
	Upstreams []dfgroup.Upstream
	// Actor is the initiator name that upstreams record for this watcher's terms.
	// It is unique per incarnation of the host.
	Actor      string
	Rank       int
	DataCentre string
	Control    Group
	// Now returns the host's monotonic time.
	Now func() dfclock.Millis

	PollPeriod, StatusTimeout, ChangeTimeout time.Duration
	WaitMargin, WaitRetryDelay               time.Duration
	TickPeriod, BarrierTimeout               time.Duration

	Health   dfhealth.Options
	Failover dffailover.Timings
	Ack      dfack.Options

	// InFlight returns the number of this host's transactions on the primary; it
	// may be nil. It is called while writes are held.
	InFlight func() int
	// OnView and OnAudit may be nil. They run on the watcher's goroutine and must
	// not block. OnView is called when the term, the primary, or the role, leaving
	// mark or ejection of an upstream has changed.
	OnView  func(dfgroup.View)
	OnAudit func(AuditEvent)
}

// DefaultOptions returns options with every timeout and interval set.
func DefaultOptions() Options {
	return Options{
		PollPeriod: PollPeriod, StatusTimeout: StatusTimeout, ChangeTimeout: ChangeTimeout,
		WaitMargin: WaitMargin, WaitRetryDelay: WaitRetryDelay,
		TickPeriod: TickPeriod, BarrierTimeout: BarrierTimeout,
		Health:   dfhealth.DefaultOptions(),
		Failover: dffailover.DefaultTimings(),
		Ack:      dfack.DefaultOptions(),
	}
}

func (o Options) check() error {
	switch {
	case len(o.Upstreams) == 0:
		return eris.New("watcher: Upstreams must not be empty")
	case o.Control == nil || o.Now == nil:
		return eris.New("watcher: Control and Now are required")
	case o.Actor == "":
		return eris.New("watcher: Actor is required")
	case o.PollPeriod <= 0 || o.StatusTimeout <= 0 || o.ChangeTimeout <= 0 || o.TickPeriod <= 0 ||
		o.BarrierTimeout <= 0 || o.WaitMargin <= 0 || o.WaitRetryDelay <= 0:
		return eris.New("watcher: every timeout, period and delay must be positive")
	case o.Ack.Timeout <= 0 || o.Ack.WaitTimeout <= 0:
		return eris.New("watcher: Ack.Timeout and Ack.WaitTimeout must be positive")
	}
	return nil
}
