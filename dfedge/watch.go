package dfedge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
)

// membersTable has a row for each host, for hosts whose seeds are all gone.
const membersTable = "Hosts/"

// watchCatalog follows the desired state.
func (e *Edge) watchCatalog(ctx context.Context) {
	e.watch(ctx, "catalog", feed{
		read: e.options.Platform.Catalog,
		wait: e.options.Platform.WaitCatalog,
		take: func(changes dfplatform.Changes, _ bool) { e.takeDocument(changes.Catalog, "platform") },
		lost: func(lost bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !lost {
				e.lostAt = e.options.Now()
			} else if e.following && !e.catalogLost {
				// The connection may have been silent for a while before it failed.
				e.lostAt = e.options.Now() - currentSpan
			}
			e.catalogLost, e.following = lost, true
		},
	})
}

// watchFleet follows the list of upstreams.
func (e *Edge) watchFleet(ctx context.Context) {
	e.watch(ctx, "fleet", feed{
		read: e.options.Platform.Upstreams,
		wait: e.options.Platform.WaitUpstreams,
		take: e.takeFleet,
		lost: func(bool) {},
	})
}

// feed is one table of the platform that the host follows.
type feed struct {
	read func(context.Context) (dfplatform.Changes, error)
	wait func(context.Context, uint64, dfclock.Millis) (dfplatform.Changes, error)
	take func(changes dfplatform.Changes, whole bool)
	lost func(lost bool)
}

func (e *Edge) watch(ctx context.Context, name string, f feed) {
	var version uint64
	whole, lost := true, false
	for ctx.Err() == nil {
		if !whole && !e.onDuty() {
			sleep(ctx, feedRetry)
			continue
		}
		var changes dfplatform.Changes
		var err error
		if whole {
			changes, err = f.read(ctx)
		} else {
			changes, err = f.wait(ctx, version, feedWait)
		}
		if eris.Is(err, dfplatform.ErrHistoryLost) {
			e.log.Warn().Str("Feed", name).Uint64("Version", version).Msg("platform: history is gone, reading everything")
			whole = true
			continue
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				e.log.Warn().Str("Feed", name).Uint64("Version", version).Err(err).Msg("platform: feed lost")
			}
			lost = true
			f.lost(true)
			sleep(ctx, feedRetry)
			continue
		}
		if lost {
			e.log.Info().Str("Feed", name).Uint64("Version", changes.Version).Msg("platform: feed regained")
		}
		lost = false
		f.take(changes, whole)
		f.lost(false)
		whole = false
		version = max(version, changes.Version)
	}
}

// onDuty reports whether the host follows the feeds. One that its neighbours
// keep current saves the platform the calls.
func (e *Edge) onDuty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if e.follows(now) {
		return true
	}
	if e.following {
		e.lostAt = now
		if e.catalogLost {
			e.lostAt = max(0, e.circle.CurrentAt())
		}
		e.following = false
	}
	return false
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// takeDocument adopts a desired state that is newer than the one in force.
func (e *Edge) takeDocument(document []byte, from string) {
	if document == nil {
		return
	}
	catalog, err := e.options.Platform.DecodeCatalog(document)
	if err != nil {
		e.log.Error().Str("From", from).Err(err).Msg("catalog: document refused")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !catalog.Supersedes(e.catalog) {
		return
	}
	e.log.Info().Uint64("Before", e.catalog.Version()).Uint64("Version", catalog.Version()).
		Int("Routes", catalog.Routes()).Str("From", from).Msg("catalog: version in force")
	e.catalog, e.document, e.packed = catalog, document, nil
	e.reconcile()
}

func (e *Edge) takeFleet(changes dfplatform.Changes, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	for _, upstream := range changes.Upstreams {
		before, known := e.fleet.Find(upstream.ID)
		e.fleet.Put(now, upstream)
		if known && before == upstream {
			continue
		}
		e.log.Info().Str("Service", upstream.Service).Str("Upstream", string(upstream.ID)).
			Str("DataCentre", upstream.DataCentre).Bool("Primary", upstream.Primary).Bool("Draining", upstream.Draining).
			Uint64("Entry", upstream.Version).Msg("fleet: entry changed")
	}
	for _, id := range changes.Lapsed {
		e.fleet.Lapse(now, id, changes.Version)
		e.log.Info().Str("Upstream", string(id)).Uint64("Entry", changes.Version).Msg("fleet: entry vanished")
	}
	for _, id := range changes.Unreadable {
		e.fleet.Lapse(now, id, changes.Version)
		e.log.Warn().Str("Upstream", string(id)).Uint64("Entry", changes.Version).Msg("fleet: entry is unreadable")
	}
	if whole {
		e.fleet.Replace(now, changes.Upstreams, changes.Version)
		e.fleetRead = true
	}
	e.reconcile()
}

// takeNeighbourFleet takes the list of a neighbour that has a newer one.
func (e *Edge) takeNeighbourFleet(upstreams []dffleet.Upstream, version uint64, from string) {
	if version <= e.fleet.Version() {
		return
	}
	e.log.Info().Uint64("Before", e.fleet.Version()).Uint64("Version", version).Str("From", from).
		Msg("fleet: list of a neighbour taken")
	e.fleet.Replace(e.options.Now(), upstreams, version)
	e.fleetRead = true
	e.reconcile()
}

// watchMembers keeps this host's row in the table of hosts and learns others.
func (e *Edge) watchMembers(ctx context.Context) {
	for _, seed := range e.options.Seeds {
		e.learn(dfmember.Host{Address: seed})
	}
	announced, listed := false, false
	for ctx.Err() == nil {
		pause := membersPeriod
		if announced && listed && !e.onDuty() {
			sleep(ctx, pause)
			continue
		}
		if !announced {
			if err := e.announce(ctx); err != nil {
				e.log.Warn().Err(err).Msg("members: announcement failed")
				pause = time.Second
			} else {
				announced = true
			}
		}
		rows, err := e.options.Platform.List(ctx, membersTable)
		if err != nil {
			e.log.Warn().Err(err).Msg("members: table of hosts not read")
			pause = time.Second
		}
		listed = listed || err == nil
		for _, row := range rows {
			var host dfmember.Host
			if err := json.Unmarshal(row.Value, &host); err != nil {
				e.log.Warn().Str("Row", row.Key).Err(err).Msg("members: row is unreadable")
				continue
			}
			e.learn(host)
		}
		if err == nil {
			e.mu.Lock()
			e.membersRead = true
			e.mu.Unlock()
		}
		sleep(ctx, pause)
	}
}

func (e *Edge) announce(ctx context.Context) error {
	value, err := json.Marshal(e.options.Self)
	if err != nil {
		return eris.Wrap(err, "members: encode")
	}
	write := dfplatform.Write{Key: membersTable + e.options.Self.ID, Unconditional: true, Value: value}
	return e.options.Platform.Commit(ctx, e.options.Self.ID, write)
}
