package dfedge

import (
	"context"
	"encoding/json"
	"strings"
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
	// claimantPause is the pause between two questions for the term of an upstream
	// that says to lead.
	claimantPause = 600 * dfclock.Millisecond
	// leaderlessSpan is how long a service is without a leader before hosts beside
	// the speaker ask for terms too.
	leaderlessSpan = dfclock.Second
	// informPatience is how long a host that does not probe waits to be told of
	// the claims.
	informPatience = 1500 * dfclock.Millisecond
)

// leases reports whether hosts lease the leaders.
func (e *Edge) leases() bool {
	_, leases := e.options.Fencing.(dfsuccession.HostsFence)
	return leases
}

// leased reports whether this host may use leaders now. The mutex is held.
func (e *Edge) leased(now dfclock.Millis) bool {
	return !e.leases() || e.informed && e.leaseEnd(now) > now
}

// nextTerm is the lowest term of the next leader. The mutex is held.
func (e *Edge) nextTerm(s *service) dfposition.Term {
	return max(e.fleet.LatestLedTerm(s.name)+1, e.fleet.MinTerm(s.name))
}

// inform learns at the start which leaders may be about to be replaced: an order
// can take effect after every host that knew of it has ended. The hosts have to
// be known too, since a host that knows few of them takes few for a majority.
// Hosts that do not probe are told by those that do.
func (e *Edge) inform(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		now := e.options.Now()
		known := e.informed
		read := e.loaded() && e.membersRead && (e.circle.Probes(now) || now-e.startedAt >= informPatience)
		e.mu.Unlock()
		if known {
			return
		}
		if read {
			e.readClaims(ctx)
		}
		time.Sleep(tick)
	}
}

func (e *Edge) readClaims(ctx context.Context) {
	rows, err := e.options.Platform.List(ctx, claimsTable)
	if err != nil {
		e.log.Info().Err(err).Msg("lease: claims not read")
		sleep(ctx, feedRetry)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range rows {
		var last claim
		if err := json.Unmarshal(row.Value, &last); err != nil {
			e.log.Warn().Str("Row", row.Key).Err(err).Msg("lease: claim is unreadable")
			continue
		}
		if s := e.services[strings.TrimPrefix(row.Key, claimsTable)]; s != nil {
			s.voter = s.voter.WithClaim(e.options.Now(), dfrevocation.Notice{
				Holder: last.Holder, Target: last.Target, Epoch: row.Version, Term: last.Term,
			})
			e.raise(s, last.Term)
		}
	}
	e.informed = true
	e.circle.Complete()
	e.log.Info().Int("Claims", len(rows)).Msg("lease: claims read")
}

// leaseEnd is when this host's lease of the leaders ends unless it is renewed.
func (e *Edge) leaseEnd(now dfclock.Millis) dfclock.Millis {
	at := e.circle.QuorumAt(now)
	if at < 0 {
		return at
	}
	return at.Add(dfrevocation.LeaseSpan)
}

// stillLeads reports whether an answer that has just arrived comes from a leader
// that was not replaced when the statement ran.
func (e *Edge) stillLeads(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leads(e.options.Now(), a)
}

// leads is stillLeads with the mutex held.
func (e *Edge) leads(now dfclock.Millis, a *attempt) bool {
	if !e.leases() {
		return true
	}
	return e.leased(now) && e.fleet.MayLead(a.upstream) && e.fleet.TermOf(a.upstream) == a.term
}

// errReplaced tells that an answer came after the leader's lead had ended.
func errReplaced(id dffleet.ID) *dfresult.Error {
	return dfresult.NewError(dfresult.NoPrimary, "the lead of %s ended before its answer came", id)
}

// adopt takes what a neighbour knows of a service's terms. The mutex is held.
func (e *Edge) adopt(now dfclock.Millis, leads []dfneighbour.Lead) {
	if !e.leases() {
		return
	}
	for _, lead := range leads {
		s := e.services[lead.Service]
		if s == nil {
			continue
		}
		e.fleet.RecordTerm(s.name, lead.Led)
		if lead.Floor > e.fleet.MinTerm(s.name) {
			e.raise(s, lead.Floor)
		}
		if lead.Term > 0 && lead.Term >= e.fleet.MinTerm(s.name) && lead.Term > e.fleet.TermOf(lead.Leader) {
			e.fleet.RecordLeaderTerm(lead.Leader, now, lead.Term)
			e.follow(now, s)
		}
	}
}

// beInformed takes what an informed neighbour promised. The mutex is held.
func (e *Edge) beInformed(leads []dfneighbour.Lead) {
	for _, lead := range leads {
		if s := e.services[lead.Service]; s != nil {
			s.voter = s.voter.WithEpoch(lead.Epoch)
		}
	}
	e.informed = true
	e.circle.Complete()
}

// raise takes the lead away from terms below one. The mutex is held.
func (e *Edge) raise(s *service, term dfposition.Term) {
	s.voter = s.voter.WithTerm(term)
	if term <= e.fleet.MinTerm(s.name) {
		return
	}
	e.log.Info().Str("Service", s.name).Str("Leader", string(s.leader)).Uint64("Term", uint64(term)).
		Msg("lease: older terms lead no more")
	e.fleet.RaiseMinTerm(s.name, term)
	e.wake()
}

// wantedTerm returns an upstream that says to lead in a term that is not known
// here. The speaker asks; others do if they are not told for a while.
func (e *Edge) wantedTerm(now dfclock.Millis, s *service) (dffleet.Upstream, bool) {
	if _, led := e.fleet.Leader(now, s.name); led || !e.leases() || s.askingTerm || !e.circle.Probes(now) {
		if led {
			s.leaderlessAt = dfclock.Never
		}
		return dffleet.Upstream{}, false
	}
	s.leaderlessAt = min(s.leaderlessAt, now)
	if !e.circle.Speaks(now) && now-s.leaderlessAt < leaderlessSpan {
		return dffleet.Upstream{}, false
	}
	for _, upstream := range e.fleet.UnverifiedLeaders(now, s.name) {
		if now-s.termAskedAt[upstream.ID] >= claimantPause {
			s.termAskedAt[upstream.ID] = now
			s.askingTerm = true
			return upstream, true
		}
	}
	return dffleet.Upstream{}, false
}

// askTerm asks an upstream for its term.
func (e *Edge) askTerm(ctx context.Context, s *service, upstream dffleet.Upstream) {
	_, err := e.status(ctx, s, upstream, statusTimeout, false)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.askingTerm = false
	if err != nil {
		e.log.Info().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Err(err).Msg("lease: term not learned")
	}
}
