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

// noteTransaction keeps the identity of the open transaction.
func (u *unit) noteTransaction(result dfunit.Result) {
	u.transaction = dfoutcome.Transaction{}
	if result.Status != 'T' {
		return
	}
	if identity := u.conn.Identity(); identity.ID != 0 {
		u.transaction = dfoutcome.Transaction{ID: identity.ID, Term: u.term, AssignedBy: identity.Position}
	}
}

// resolve finds out about a commit whose answer was lost. It returns the cause
// if that does not succeed within its bound.
func (u *unit) resolve(ctx context.Context, batch dfunit.Batch, cause error) (dfunit.Result, error) {
	ctx, cancel := contextUntil(ctx, resolveSpan)
	defer cancel()
	settled := u.settle(ctx)
	// A commit that was found counts as any other: a majority has it, and the
	// other slot holders know of it.
	if settled.outcome == dfresult.Done && (!dfupstream.IsCommit(batch) || u.gateUnder(ctx, settled.position, settled.term) != nil) {
		settled.outcome = dfresult.Unknown
	}
	resolvedCommits[settled.outcome].Inc()
	switch settled.outcome {
	case dfresult.Done:
		if err := u.conn.FinishCommit(); err != nil {
			return dfunit.Result{}, dfresult.NewError(dfresult.ConnectionLost, "%v", err)
		}
		return dfunit.Result{Status: 'I', Position: settled.position}, nil
	case dfresult.NotRun:
		return dfunit.Result{}, dfresult.NewError(dfresult.TransactionLost, "the commit did not take effect")
	}
	return dfunit.Result{}, cause
}

// settlement is what was found of a commit.
type settlement struct {
	outcome dfresult.Outcome
	// position is at or behind the commit in the log of the primary of the term.
	position dfposition.Position
	term     dfposition.Term
}

// settle asks the confirmed primary until it knows or the context ends.
func (u *unit) settle(ctx context.Context) settlement {
	for {
		view := u.holder.watcher.View()
		leader, confirmed := view.Find(view.Primary)
		found := settlement{term: view.Term}
		switch step := u.transaction.Plan(leader.Status, confirmed).(type) {
		case dfoutcome.Conclude:
			return settlement{outcome: step.Outcome}
		case dfoutcome.QueryStatus:
			found = u.askStatus(ctx, step, found)
		}
		if found.outcome != 0 {
			return found
		}
		if !pause(ctx, settlePause) {
			return settlement{outcome: dfresult.Unknown}
		}
	}
}

// Answers of pg_xact_status that do not end the resolution.
const (
	statusInProgress = "in progress"
	statusCommitted  = "committed"
)

// askStatus asks once. An outcome of zero means to ask again.
func (u *unit) askStatus(ctx context.Context, step dfoutcome.QueryStatus, found settlement) settlement {
	if !u.holder.reports(step.Upstream) {
		return found
	}
	text, err := u.transactionStatus(ctx, step)
	switch {
	case err != nil || text == "":
		// The upstream may have just lost its role.
		return found
	case text == statusInProgress:
		// The commit did not reach the backend. Ending it decides.
		if step.Upstream == u.upstream.ID {
			u.holder.terminate(step.Upstream, u.conn.PID())
		}
		return found
	case text != statusCommitted && found.term == u.transaction.Term:
		found.outcome = u.transaction.Conclusion(text).Outcome
		return found
	}
	// The barrier is taken behind the answer, so it confirms that the primary was
	// still the primary when it answered.
	position, err := u.holder.watcher.Barrier(ctx)
	if err != nil || u.holder.watcher.View().Term != found.term {
		return found
	}
	if text != statusCommitted && !u.isFinal(ctx, position, found.term) {
		return found
	}
	found.position = position
	found.outcome = u.transaction.Conclusion(text).Outcome
	return found
}

// isFinal reports whether no later promotion can choose the log of an earlier
// primary any more: a majority has an entry of the term.
func (u *unit) isFinal(ctx context.Context, position dfposition.Position, term dfposition.Term) bool {
	return position.Term == term && u.holder.watcher.AwaitAck(ctx, position) == nil
}

func (u *unit) transactionStatus(ctx context.Context, step dfoutcome.QueryStatus) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, doubtTimeout)
	defer cancel()
	return u.holder.control.TransactionStatus(ctx, step.Upstream, step.ID)
}

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
