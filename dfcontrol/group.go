// Package dfcontrol executes the control statements of a database group and runs
// the watcher that detects failures, changes the primary and confirms commits.
package dfcontrol

import (
	"context"
	"fmt"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// Group executes control statements at the upstreams of a database group. Calls
// for different upstreams may run concurrently. Errors may wrap *RefusedError or
// *ConnectError; after any other error the statement may have taken effect.
type Group interface {
	Status(ctx context.Context, upstream dfgroup.UpstreamID) (dfgroup.Status, error)
	Fence(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error)
	Promote(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error)
	Follow(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string,
		primary dfgroup.UpstreamID) (dfgroup.Status, error)
	// Wait returns once the upstream has flushed the position under the term that
	// it accepts, or after the timeout.
	Wait(ctx context.Context, upstream dfgroup.UpstreamID, position dfposition.Position,
		timeout dfclock.Millis) (dfgroup.Status, error)
	SetLeaving(ctx context.Context, upstream dfgroup.UpstreamID, leaving bool) (dfgroup.Status, error)
}

// RefusedError reports that an upstream rejected a statement because of the term
// that it has accepted.
type RefusedError struct {
	Accepted dfposition.Term
	Message  string
}

func (r *RefusedError) Error() string {
	return fmt.Sprintf("refused, accepted term is %d: %s", r.Accepted, r.Message)
}

// ConnectError reports that a new connection failed, so the statement was not
// sent.
type ConnectError struct {
	StartedAt time.Time
	Cause     error
}

func (e *ConnectError) Error() string {
	return "connect: " + e.Cause.Error()
}

func (e *ConnectError) Unwrap() error {
	return e.Cause
}
