package dfedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfrevocation"
)

// recordsTable has a row for each host with its promises, where hosts use leaders only
// under a lease. It is written in each era of the store but the first.
const recordsTable = "Promises/"

const (
	// claimsWaitTimeout is how long a host that does not probe waits for a
	// neighbour to provide the claims, and how long a starting host waits for the
	// answers of upstreams that are asked for their terms.
	claimsWaitTimeout = 1500 * dfclock.Millisecond
	// claimsRetryDelay is the pause before the claims are read again.
	claimsRetryDelay = 500 * time.Millisecond
	// claimsMaxAge is how long a host without contact with a majority of the hosts
	// passes on claims after it loaded them.
	claimsMaxAge = claimsWaitTimeout
	// firstLeasePeriod is how often a host that has loaded the claims polls others until
	// its first contact with a majority.
	firstLeasePeriod = 50 * dfclock.Millisecond
	// feedEvidenceMaxAge is how long an answer of a feed shows at the start that the
	// platform is reachable. It covers the time from the first answer to the first lease,
	// 0.4 s on a busy machine.
	feedEvidenceMaxAge = dfclock.Second
)

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
		wait := claimsWaitTimeout
		if e.claimsLost {
			wait += dfrevocation.RecoverySpan
		}
		canRead := e.loaded() && e.membersLoaded && (e.neighbours.IsProber(now) || now-e.startedAt >= wait)
		e.mu.Unlock()
		if loaded {
			return
		}
		if canRead {
			if err := e.readClaims(ctx); err != nil {
				e.log.Info().Err(err).Msg("lease: cannot load claims")
				sleep(ctx, claimsRetryDelay)
			}
		}
		time.Sleep(tickInterval)
	}
}

// errClaimsLost means that the store has lost claims, and that the hosts that knew them
// have not written records of them.
var errClaimsLost = eris.New("lease: the store has lost claims")

// readClaims reads the claims from the table, and the records of the hosts if the table
// may have lost claims.
func (e *Edge) readClaims(ctx context.Context) error {
	rows, err := e.options.Platform.List(ctx, claimsTable)
	if err != nil {
		return err
	}
	era := e.options.Platform.Era()
	records, complete, err := e.readRecords(ctx, era)
	if err != nil {
		return err
	}
	e.observeEra(era)
	switch {
	case complete:
		e.compareLeaders(ctx)
	case !dfrevocation.Recovered(e.options.Now(), e.startedAt):
		e.mu.Lock()
		defer e.mu.Unlock()
		e.claimsLost = true
		return eris.Wrapf(errClaimsLost, "era %d, %d records", era, len(records))
	default:
		e.confirmTerms(ctx)
	}
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
	for _, record := range records {
		for service, term := range record.Terms {
			if s := e.services[service]; s != nil {
				e.raiseMinTerm(s, term)
			}
		}
	}
	e.setClaimsLoaded()
	e.log.Info().Int("Claims", len(rows)).Int("Records", len(records)).Bool("Complete", complete).Uint64("Era", era).
		Msg("lease: claims loaded")
	return nil
}

// readRecords returns the records of the hosts, and whether they show all promises that
// the claims may not show. It reads none in an era that has lost nothing.
func (e *Edge) readRecords(ctx context.Context, era uint64) ([]dfrevocation.Record, bool, error) {
	if dfrevocation.RecordsComplete(era, 0, nil) {
		return nil, true, nil
	}
	hosts, err := e.options.Platform.List(ctx, membersTable)
	if err != nil {
		return nil, false, err
	}
	// The host table that was read first may have lost hosts, which are back by now.
	e.addListedHosts(hosts)
	rows, err := e.options.Platform.List(ctx, recordsTable)
	if err != nil {
		return nil, false, err
	}
	if e.options.Platform.Era() != era {
		return nil, false, eris.Wrapf(dfplatform.ErrHistoryLost, "era %d", era)
	}
	var records []dfrevocation.Record
	for _, row := range rows {
		var record dfrevocation.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			e.log.Warn().Str("Row", row.Key).Err(err).Msg("lease: cannot decode record")
			continue
		}
		records = append(records, record)
	}
	return records, dfrevocation.RecordsComplete(era, len(hosts), records), nil
}

// setClaimsLoaded lets this host use leaders as soon as it is in contact with a majority
// of the hosts. e.mu must be held.
func (e *Edge) setClaimsLoaded() {
	e.claimsLoaded, e.claimsLoadedAt = true, e.options.Now()
	e.neighbours.MarkComplete()
	e.triggerExchanges()
}

// adoptClaims takes over the promised epochs of a neighbour that has loaded all
// claims. e.mu must be held.
func (e *Edge) adoptClaims(states []dfneighbour.LeaderState) {
	for _, state := range states {
		if s := e.services[state.Service]; s != nil {
			s.voter = s.voter.WithEpoch(state.Epoch)
		}
	}
	e.setClaimsLoaded()
}

// claimsAdoptable reports whether a neighbour that starts may take the claims from this
// host. e.mu must be held.
func (e *Edge) claimsAdoptable(now dfclock.Millis) bool {
	return e.claimsLoaded && (e.neighbours.QuorumAt(now) >= 0 || now-e.claimsLoadedAt < claimsMaxAge)
}

// coversOwnPromises reports whether a neighbour that was asked at askedAt knows what this
// host promised before its start. A majority of the hosts may have accepted a notice
// without the neighbour; only this host, which does not count as a contact yet, may have
// been common to both. A neighbour that was never in contact with a majority has just
// loaded the claims itself. e.mu must be held.
func (e *Edge) coversOwnPromises(askedAt, quorumAge dfclock.Millis) bool {
	return quorumAge < 0 || askedAt-quorumAge >= e.startedAt
}

// awaitsFirstLease reports whether this host has loaded the claims and may soon be in
// contact with a majority for the first time. e.mu must be held.
func (e *Edge) awaitsFirstLease(now dfclock.Millis) bool {
	return e.usesLeases() && e.claimsLoaded && e.neighbours.QuorumAt(now) < 0 && now-e.claimsLoadedAt < claimsMaxAge
}

// feedAnsweredBeforeLease reports whether the platform answered this host shortly before
// its first lease. A host that does not probe often stops following the feeds earlier.
// e.mu must be held.
func (e *Edge) feedAnsweredBeforeLease(now dfclock.Millis) bool {
	return e.usesLeases() && e.feedAnsweredAt > 0 && now-e.feedAnsweredAt < feedEvidenceMaxAge
}

// countsAsContact reports whether other hosts may count this host as one that knows its
// promises. A host that has just started does not.
func (e *Edge) countsAsContact() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.countsAsContactLocked()
}

// countsAsContactLocked is countsAsContact with e.mu held.
func (e *Edge) countsAsContactLocked() bool {
	if e.usesLeases() {
		return e.claimsLoaded
	}
	return !e.catalog.HasSyncReplicas() || e.holdsLoaded
}

// promisesUnknown reports whether this host may have made promises before its start that
// the store has lost.
func (e *Edge) promisesUnknown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.countsAsContactLocked() && !dfrevocation.RecordsComplete(e.storeEra.number, 0, nil)
}

// lowestEpoch returns the lowest epoch of the latest known era of the store. e.mu must be
// held.
func (e *Edge) lowestEpoch() uint64 {
	revision, err := dfrevision.New(e.storeEra.number, 0)
	if err != nil {
		e.log.Error().Err(err).Msg("lease: era of the store")
	}
	return uint64(revision)
}

// retireEpochs makes epochs of earlier eras unusable: the store may have lost the claims
// that show them. e.mu must be held.
func (e *Edge) retireEpochs() {
	lowest := e.lowestEpoch()
	for _, s := range e.services {
		s.voter = s.voter.WithLowestEpoch(lowest)
		if s.reservedEpoch < lowest {
			s.reservedEpoch = 0
		}
	}
}

// keepRecord writes this host's record in each era of the store but the first.
func (e *Edge) keepRecord(ctx context.Context) {
	for era := e.laterEra(ctx, 1); ctx.Err() == nil; era = e.laterEra(ctx, era) {
		for ctx.Err() == nil && !e.countsAsContact() {
			sleep(ctx, tickInterval)
		}
		sleep(ctx, rand.N(announceSpread))
		e.retryRewrite(ctx, e.writeRecord)
	}
}

func (e *Edge) writeRecord(ctx context.Context) error {
	e.mu.Lock()
	record := dfrevocation.Record{
		Era: e.storeEra.number, Hosts: len(e.neighbours.OtherHosts()) + 1, Terms: map[string]dfposition.Term{},
	}
	for _, s := range e.services {
		record.Terms[s.name] = e.fleet.MinTerm(s.name)
	}
	e.mu.Unlock()
	value, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "lease: encode record")
	}
	write := dfplatform.Write{Key: recordsTable + e.options.Self.ID, Unconditional: true, Value: value}
	err = e.options.Platform.Commit(ctx, e.options.Self.ID, write)
	if err == nil {
		e.log.Info().Str("Row", write.Key).Uint64("Era", record.Era).Msg("lease: record of promises written")
	}
	return err
}

// compareLeaders asks for the terms of the listed leaders of each service that has
// several. Without a claim that shows the lowest term that may lead, this host would use
// the one whose term it learns first, which may have been replaced. A leader that does
// not answer within claimsWaitTimeout has mostly crashed.
func (e *Edge) compareLeaders(ctx context.Context) {
	e.askForTerms(ctx, e.rivalLeaders)
}

// confirmTerms asks the upstreams of all services for their terms. An order that was
// carried out is known to its target and to the upstreams that follow it. Where the
// answers could miss it, no earlier term may lead any more.
func (e *Edge) confirmTerms(ctx context.Context) {
	answered := e.askForTerms(ctx, e.unconfirmed)
	unconfirmed := e.unconfirmed(answered)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, upstream := range unconfirmed {
		s := e.services[upstream.Service]
		if term := e.nextTerm(s); e.fleet.MinTerm(s.name) < term {
			e.log.Warn().Str("Service", s.name).Str("Upstream", string(upstream.ID)).Uint64("Term", uint64(term)).
				Msg("lease: term of an upstream not confirmed, the next leader is awaited")
			e.raiseMinTerm(s, term)
		}
	}
}

// rivalLeaders returns the listed leaders of unknown term that have not answered, of the
// services that have several listed leaders.
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

// unconfirmed returns the upstreams that have not answered, of the services where a
// listed leader or a half of the upstreams has not.
func (e *Edge) unconfirmed(answered map[dffleet.ID]bool) []dffleet.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	var missing []dffleet.Upstream
	for _, s := range e.services {
		upstreams := e.fleet.ByService(s.name)
		var silent []dffleet.Upstream
		leaderSilent := false
		for _, upstream := range upstreams {
			if !answered[upstream.ID] {
				silent = append(silent, upstream)
				leaderSilent = leaderSilent || upstream.Primary
			}
		}
		if leaderSilent || len(silent)*2 >= len(upstreams) {
			missing = append(missing, silent...)
		}
	}
	return missing
}

// askForTerms asks upstreams for their terms until none is missing, for at most
// claimsWaitTimeout, and returns those that answered.
func (e *Edge) askForTerms(ctx context.Context, missing func(answered map[dffleet.ID]bool) []dffleet.Upstream) map[dffleet.ID]bool {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(claimsWaitTimeout)*time.Millisecond)
	defer cancel()
	answered := map[dffleet.ID]bool{}
	for ctx.Err() == nil {
		upstreams := missing(answered)
		if len(upstreams) == 0 {
			return answered
		}
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
			answered[upstream.ID] = errs[i] == nil
			e.log.Info().Str("Service", upstream.Service).Str("Upstream", string(upstream.ID)).Err(errs[i]).
				Msg("lease: upstream asked for its term")
		}
		sleep(ctx, tickInterval)
	}
	return answered
}
