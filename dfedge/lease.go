package dfedge

import (
	"context"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfrevocation"
	"dragonflygrade/dfsuccession"
)

const (
	// termQueryPause is the pause between two term queries to an upstream that
	// claims to lead.
	termQueryPause = 600 * dfclock.Millisecond
	// leaderlessQueryDelay is how long a service has no leader before hosts other
	// than the speaker query terms too.
	leaderlessQueryDelay = dfclock.Second
)

// usesLeases reports whether hosts use leaders only under a lease, because the
// platform does not fence.
func (e *Edge) usesLeases() bool {
	_, leases := e.options.Fencing.(dfsuccession.HostsFence)
	return leases
}

// leaseValid reports whether this host may use leaders now. e.mu must be held.
func (e *Edge) leaseValid(now dfclock.Millis) bool {
	return !e.usesLeases() || e.claimsLoaded && e.leaseExpiry(now) > now
}

// nextTerm returns the lowest possible term of the next leader. e.mu must be
// held.
func (e *Edge) nextTerm(s *service) dfposition.Term {
	return max(e.fleet.LatestLedTerm(s.name)+1, e.fleet.MinTerm(s.name))
}

// leaseExpiry returns when this host's lease expires unless it is renewed.
func (e *Edge) leaseExpiry(now dfclock.Millis) dfclock.Millis {
	at := e.neighbours.QuorumAt(now)
	if at < 0 {
		return at
	}
	return at.Add(dfrevocation.LeaseSpan)
}

// stillLeader reports whether an answer that has just arrived comes from an
// upstream that still led when the statement ran.
func (e *Edge) stillLeader(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stillLeaderLocked(e.options.Now(), a)
}

// stillLeaderLocked is stillLeader with e.mu held.
func (e *Edge) stillLeaderLocked(now dfclock.Millis, a *attempt) bool {
	if !e.usesLeases() {
		return true
	}
	return e.leaseValid(now) && e.fleet.MayLead(a.upstream) && e.fleet.TermOf(a.upstream) == a.term
}

// errLeaderReplaced is the result of an answer that arrived after the leader was
// replaced.
func errLeaderReplaced(id dffleet.ID) *dfresult.Error {
	return dfresult.NewError(dfresult.NoPrimary, "the lead of %s ended before its answer came", id)
}

// adoptLeaderStates merges a neighbour's knowledge of terms. e.mu must be held.
func (e *Edge) adoptLeaderStates(now dfclock.Millis, states []dfneighbour.LeaderState) {
	if !e.usesLeases() {
		return
	}
	for _, state := range states {
		s := e.services[state.Service]
		if s == nil {
			continue
		}
		e.fleet.RecordTerm(s.name, state.LatestLedTerm)
		if state.MinTerm > e.fleet.MinTerm(s.name) {
			e.raiseMinTerm(s, state.MinTerm)
		}
		if state.Term > 0 && state.Term >= e.fleet.MinTerm(s.name) && state.Term > e.fleet.TermOf(state.Leader) {
			e.fleet.RecordLeaderTerm(state.Leader, now, state.Term)
			e.updateLeader(now, s)
		}
	}
}

// raiseMinTerm raises the lowest term that may lead a service; leaders of older
// terms are no longer used. e.mu must be held.
func (e *Edge) raiseMinTerm(s *service, term dfposition.Term) {
	s.voter = s.voter.WithTerm(term)
	if term <= e.fleet.MinTerm(s.name) {
		return
	}
	e.log.Info().Str("Service", s.name).Str("Leader", string(s.leader)).Uint64("Term", uint64(term)).
		Msg("lease: minimum leader term raised")
	e.fleet.RaiseMinTerm(s.name, term)
	e.notifyWaiters()
}

// nextTermQuery returns an upstream that claims to lead in a term unknown to this
// host. The speaker queries it, also beside a known leader, whose successor it may be;
// other hosts do so only if they get no leader for a while.
func (e *Edge) nextTermQuery(now dfclock.Millis, s *service) (dffleet.Upstream, bool) {
	_, led := e.fleet.Leader(now, s.name)
	if led {
		s.leaderlessSince = dfclock.Never
	}
	if !e.usesLeases() || s.queryingTerm || !e.neighbours.IsProber(now) {
		return dffleet.Upstream{}, false
	}
	unverified := e.fleet.LeadersOfUnknownTerm(now, s.name)
	if !led {
		s.leaderlessSince = min(s.leaderlessSince, now)
		unverified = e.fleet.UnverifiedLeaders(now, s.name)
	}
	if !e.neighbours.IsSpeaker(now) && (led || now-s.leaderlessSince < leaderlessQueryDelay) {
		return dffleet.Upstream{}, false
	}
	for _, upstream := range unverified {
		if now-s.termQueriedAt[upstream.ID] >= termQueryPause {
			s.termQueriedAt[upstream.ID] = now
			s.queryingTerm = true
			return upstream, true
		}
	}
	return dffleet.Upstream{}, false
}

// queryTerm asks an upstream for its term.
func (e *Edge) queryTerm(ctx context.Context, s *service, upstream dffleet.Upstream) {
	_, err := e.queryStatus(ctx, s, upstream, statusTimeout, false)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.queryingTerm = false
	if err != nil {
		e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Err(err).Msg("lease: term query failed")
	}
}
