// Package dfcontrol speaks the control statements of a database group and runs
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

// Group is a database group with terms and log positions. Calls to different
// upstreams may run at once. Errors may wrap *RefusedError or *ConnectError; any
// other error leaves open whether the statement took effect.
type Group interface {
	Status(ctx context.Context, upstream dfgroup.UpstreamID) (dfgroup.Status, error)
	Fence(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error)
	Promote(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string) (dfgroup.Status, error)
	Follow(ctx context.Context, upstream dfgroup.UpstreamID, term dfposition.Term, actor string,
		primary dfgroup.UpstreamID) (dfgroup.Status, error)
	// Wait answers when the upstream has flushed the position under the term
	// that it accepts, or when the span has passed.
	Wait(ctx context.Context, upstream dfgroup.UpstreamID, position dfposition.Position,
		span dfclock.Millis) (dfgroup.Status, error)
	Leaving(ctx context.Context, upstream dfgroup.UpstreamID, leaving bool) (dfgroup.Status, error)
}

// RefusedError is an upstream's refusal because of the term that it has accepted.
type RefusedError struct {
	Accepted dfposition.Term
	Message  string
}

// Error formats the refusal.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("refused with accepted term %d: %s", r.Accepted, r.Message)
}

// ConnectError tells that a fresh connection failed, so nothing was sent.
type ConnectError struct {
	StartedAt time.Time
	Cause     error
}

// Error formats the cause.
func (e *ConnectError) Error() string {
	return "connect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error {
	return e.Cause
}
