package dfedge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfplatform"
	"dragonflygrade/dfposition"
)

const (
	// announceSpread is the time over which the hosts write their rows again, so that
	// the store does not refuse them.
	announceSpread = 2 * time.Second
	// rewriteRetryDelay is the pause before a row that could not be written again is
	// tried once more.
	rewriteRetryDelay = time.Second
)

// storeEra is the latest known era of the platform's store.
type storeEra struct {
	number uint64
	// ended is done once a later era is known. end ends it.
	ended context.Context
	end   context.CancelFunc
}

func newStoreEra(number uint64) storeEra {
	ended, end := context.WithCancel(context.Background())
	return storeEra{number: number, ended: ended, end: end}
}

// observeEra records an era of the store that this host or a neighbour has seen.
func (e *Edge) observeEra(number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeEraLocked(number)
}

// observeEraLocked is observeEra with e.mu held.
func (e *Edge) observeEraLocked(number uint64) {
	if number > e.storeEra.number {
		e.storeEra.end()
		e.storeEra = newStoreEra(number)
		if e.usesLeases() {
			e.retireEpochs()
		}
	}
}

// laterEra waits until an era after the given one is known and returns it, or 0 if
// the context ends first.
func (e *Edge) laterEra(ctx context.Context, number uint64) uint64 {
	for {
		e.mu.Lock()
		era := e.storeEra
		e.mu.Unlock()
		if era.number > number {
			return era.number
		}
		select {
		case <-ctx.Done():
			return 0
		case <-era.ended.Done():
		}
	}
}

// rewriteLostRows writes the rows again that the store loses when it comes back from
// an older copy: the claims, and this host's row in the host table.
func (e *Edge) rewriteLostRows(ctx context.Context) {
	era := e.laterEra(ctx, 0)
	for era = e.laterEra(ctx, era); ctx.Err() == nil; era = e.laterEra(ctx, era) {
		if e.usesLeases() {
			e.retryRewrite(ctx, e.rewriteClaims)
		}
		sleep(ctx, rand.N(announceSpread))
		e.retryRewrite(ctx, e.rewriteHost)
	}
}

// retryRewrite writes rows until it succeeds.
func (e *Edge) retryRewrite(ctx context.Context, rewrite func(context.Context) error) {
	for ctx.Err() == nil {
		err := rewrite(ctx)
		if err == nil {
			return
		}
		e.log.Warn().Err(err).Msg("platform: cannot write lost row again")
		sleep(ctx, rewriteRetryDelay)
	}
}

func (e *Edge) rewriteHost(ctx context.Context) error {
	err := e.announce(ctx)
	if err == nil {
		e.log.Info().Str("Row", membersTable+e.options.Self.ID).Msg("platform: lost row written again")
	}
	return err
}

// rewriteClaims makes the claims show again which terms may lead. Hosts that start
// later would otherwise use a leader that is being replaced.
func (e *Edge) rewriteClaims(ctx context.Context) error {
	terms := map[string]dfposition.Term{}
	e.mu.Lock()
	if e.neighbours.IsSpeaker(e.options.Now()) && e.countsAsContactLocked() {
		for _, s := range e.services {
			terms[s.name] = e.fleet.MinTerm(s.name)
		}
	}
	e.mu.Unlock()
	for service, term := range terms {
		if err := e.rewriteClaim(ctx, service, term); err != nil {
			return err
		}
	}
	return nil
}

// rewriteClaim writes the lowest term that may lead, unless the claim shows it.
func (e *Edge) rewriteClaim(ctx context.Context, service string, term dfposition.Term) error {
	row, last, err := e.readClaim(ctx, service)
	if err != nil || last.Term >= term {
		return err
	}
	value, err := json.Marshal(claim{Holder: e.options.Self.ID, Term: term})
	if err != nil {
		return eris.Wrap(err, "succession: encode claim")
	}
	write := dfplatform.Write{Key: claimsTable + service, IfVersion: row.Version, Value: value}
	err = e.options.Platform.Commit(ctx, e.options.Self.ID, write)
	if err == nil {
		e.log.Info().Str("Row", write.Key).Uint64("Term", uint64(term)).Msg("platform: lost row written again")
	}
	return err
}
