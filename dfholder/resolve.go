package dfholder

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dragonflygrade/dfoutcome"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
	"dragonflygrade/dfupstream"
)

var resolvedCommits = map[dfresult.Outcome]*metrics.Counter{
	dfresult.Done:    metrics.NewCounter(`dragonflygrade_resolved_commits_total{outcome="done"}`),
	dfresult.NotRun:  metrics.NewCounter(`dragonflygrade_resolved_commits_total{outcome="not run"}`),
	dfresult.Unknown: metrics.NewCounter(`dragonflygrade_resolved_commits_total{outcome="unknown"}`),
}

// updateTransaction records the identity of the open transaction.
func (u *unit) updateTransaction(result dfunit.Result) {
	u.transaction = dfoutcome.Transaction{}
	if result.Status != 'T' {
		return
	}
	if identity := u.conn.Identity(); identity.ID != 0 {
		u.transaction = dfoutcome.Transaction{ID: identity.ID, Term: u.term, AssignedBy: identity.Position}
	}
}

// resolveCommit determines the outcome of a commit whose response was lost. It
// returns cause if the outcome is not known within resolveTimeout.
func (u *unit) resolveCommit(ctx context.Context, batch dfunit.Batch, cause error) (dfunit.Result, error) {
	ctx, cancel := contextWithTimeout(ctx, resolveTimeout)
	defer cancel()
	resolved := u.pollOutcome(ctx)
	// A commit found to have taken effect is acknowledged like any other: only once
	// a majority has it and the other slot holders know of it.
	if resolved.outcome == dfresult.Done && (!dfupstream.IsCommit(batch) || u.gateForTerm(ctx, resolved.position, resolved.term) != nil) {
		resolved.outcome = dfresult.Unknown
	}
	resolvedCommits[resolved.outcome].Inc()
	switch resolved.outcome {
	case dfresult.Done:
		if err := u.conn.FinishCommit(); err != nil {
			return dfunit.Result{}, dfresult.NewError(dfresult.ConnectionLost, "%v", err)
		}
		return dfunit.Result{Status: 'I', Position: resolved.position}, nil
	case dfresult.NotRun:
		return dfunit.Result{}, dfresult.NewError(dfresult.TransactionLost, "the commit did not take effect")
	}
	return dfunit.Result{}, cause
}

// commitOutcome is the result of resolving a commit.
type commitOutcome struct {
	// outcome is zero while it is not determined.
	outcome dfresult.Outcome
	// position is at or after the commit in the log of the primary of term.
	position dfposition.Position
	term     dfposition.Term
}

// pollOutcome queries the confirmed primary until the outcome is known or the
// context ends.
func (u *unit) pollOutcome(ctx context.Context) commitOutcome {
	for {
		view := u.holder.watcher.View()
		leader, confirmed := view.Find(view.Primary)
		result := commitOutcome{term: view.Term}
		switch step := u.transaction.Plan(leader.Status, confirmed).(type) {
		case dfoutcome.Conclude:
			return commitOutcome{outcome: step.Outcome}
		case dfoutcome.QueryStatus:
			result = u.queryStatus(ctx, step, result)
		}
		if result.outcome != 0 {
			return result
		}
		if !sleep(ctx, resolveRetryDelay) {
			return commitOutcome{outcome: dfresult.Unknown}
		}
	}
}

// Results of pg_xact_status that queryStatus distinguishes.
const (
	statusInProgress = "in progress"
	statusCommitted  = "committed"
)

// queryStatus queries the primary once. An outcome of zero means that the query must
// be repeated.
func (u *unit) queryStatus(ctx context.Context, step dfoutcome.QueryStatus, result commitOutcome) commitOutcome {
	if !u.holder.isReporting(step.Upstream) {
		return result
	}
	text, err := u.transactionStatus(ctx, step)
	switch {
	case err != nil || text == "":
		// The upstream may just have lost its role.
		return result
	case text == statusInProgress:
		// The commit did not reach the backend. Terminating the backend aborts the
		// transaction.
		if step.Upstream == u.upstream.ID {
			u.holder.terminateBackend(step.Upstream, u.conn.PID())
		}
		return result
	case text != statusCommitted && result.term == u.transaction.Term:
		result.outcome = u.transaction.Conclusion(text).Outcome
		return result
	}
	// The barrier starts after the response, so it confirms that the upstream was
	// still the primary when it responded.
	position, err := u.holder.watcher.Barrier(ctx)
	if err != nil || u.holder.watcher.View().Term != result.term {
		return result
	}
	if text != statusCommitted && !u.isFinal(ctx, position, result.term) {
		return result
	}
	result.position = position
	result.outcome = u.transaction.Conclusion(text).Outcome
	return result
}

// isFinal reports whether no later promotion can choose the log of an earlier
// primary, which is so once a majority has an entry of the term.
func (u *unit) isFinal(ctx context.Context, position dfposition.Position, term dfposition.Term) bool {
	return position.Term == term && u.holder.watcher.AwaitAck(ctx, position) == nil
}

func (u *unit) transactionStatus(ctx context.Context, step dfoutcome.QueryStatus) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, backendQueryTimeout)
	defer cancel()
	return u.holder.control.TransactionStatus(ctx, step.Upstream, step.ID)
}

// sleep waits for the duration and returns false if the context ended first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
