package dfedge

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

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
	// claimsWaitTimeout is how long a host that does not probe waits for a
	// neighbour to provide the claims.
	claimsWaitTimeout = 1500 * dfclock.Millisecond
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

// loadClaims loads the promotion claims at startup, because an order can take
// effect after every host that knew of it has stopped. The host list must be
// complete as well, since a host that knows only a few hosts would mistake them
// for a majority. Hosts that do not probe first wait, up to claimsWaitTimeout, to
// get the claims from hosts that do.
func (e *Edge) loadClaims(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		now := e.options.Now()
		loaded := e.claimsLoaded
		canRead := e.loaded() && e.membersLoaded && (e.neighbours.IsProber(now) || now-e.startedAt >= claimsWaitTimeout)
		e.mu.Unlock()
		if loaded {
			return
		}
		if canRead {
			e.readClaims(ctx)
		}
		time.Sleep(tickInterval)
	}
}

func (e *Edge) readClaims(ctx context.Context) {
	rows, err := e.options.Platform.List(ctx, claimsTable)
	if err != nil {
		e.log.Info().Err(err).Msg("lease: cannot read claims")
		sleep(ctx, feedRetryDelay)
		return
	}
	e.compareLeaders(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range rows {
		var last claim
		if err := json.Unmarshal(row.Value, &last); err != nil {
			e.log.Warn().Str("Row", row.Key).Err(err).Msg("lease: cannot decode claim")
			continue
		}
		if s := e.services[strings.TrimPrefix(row.Key, claimsTable)]; s != nil {
			s.voter = s.voter.WithClaim(e.options.Now(), dfrevocation.Notice{
				Holder: last.Holder, Target: last.Target, Epoch: uint64(row.Version), Term: last.Term,
			})
			e.raiseMinTerm(s, last.Term)
		}
	}
	e.claimsLoaded = true
	e.neighbours.MarkComplete()
	e.log.Info().Int("Claims", len(rows)).Msg("lease: claims loaded")
}

// compareLeaders asks for the terms of the listed leaders of each service that has
// several. Without a claim that shows the lowest term that may lead, this host would use
// the one whose term it learns first, which may have been replaced. A leader that does
// not answer within claimsWaitTimeout has mostly crashed.
func (e *Edge) compareLeaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(claimsWaitTimeout)*time.Millisecond)
	defer cancel()
	answered := map[dffleet.ID]bool{}
	for ctx.Err() == nil {
		unknown := e.rivalLeaders(answered)
		if len(unknown) == 0 {
			return
		}
		e.askForTerms(ctx, unknown, answered)
		sleep(ctx, tickInterval)
	}
}

// rivalLeaders returns the listed leaders that were not asked for their unknown term, of
// the services that have several listed leaders.
func (e *Edge) rivalLeaders(answered map[dffleet.ID]bool) []dffleet.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	var rivals []dffleet.Upstream
	for _, s := range e.services {
		listed := 0
		for _, upstream := range e.fleet.ByService(s.name) {
			if upstream.Primary {
				listed++
			}
		}
		for _, upstream := range e.fleet.LeadersOfUnknownTerm(now, s.name) {
			if listed > 1 && !answered[upstream.ID] {
				rivals = append(rivals, upstream)
			}
		}
	}
	return rivals
}

// askForTerms asks upstreams for their terms at the same time and records which of them
// answered.
func (e *Edge) askForTerms(ctx context.Context, upstreams []dffleet.Upstream, answered map[dffleet.ID]bool) {
	errs := make([]error, len(upstreams))
	var queries sync.WaitGroup
	for i, upstream := range upstreams {
		e.mu.Lock()
		s := e.services[upstream.Service]
		e.mu.Unlock()
		queries.Go(func() { _, errs[i] = e.queryStatus(ctx, s, upstream, statusTimeout, false) })
	}
	queries.Wait()
	for i, upstream := range upstreams {
		if errs[i] == nil {
			answered[upstream.ID] = true
		}
		e.log.Info().Str("Service", upstream.Service).Str("Upstream", string(upstream.ID)).Err(errs[i]).Msg("lease: term asked for at start")
	}
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

// adoptClaims takes over the promised epochs of a neighbour that has loaded all
// claims. e.mu must be held.
func (e *Edge) adoptClaims(states []dfneighbour.LeaderState) {
	for _, state := range states {
		if s := e.services[state.Service]; s != nil {
			s.voter = s.voter.WithEpoch(state.Epoch)
		}
	}
	e.claimsLoaded = true
	e.neighbours.MarkComplete()
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
