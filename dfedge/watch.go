package dfedge

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfrevision"
)

// watchCatalog follows the desired state.
func (e *Edge) watchCatalog(ctx context.Context) {
	// sentAt is when the current call was sent. Its answer confirms the version as of
	// then, if not later.
	var sentAt dfclock.Millis
	e.watchFeed(ctx, "catalog", feed{
		follows: e.followsFeeds,
		read: func(ctx context.Context) (dfplatform.Changes, error) {
			sentAt = e.options.Now()
			return e.options.Platform.Catalog(ctx)
		},
		poll: func(ctx context.Context, after dfrevision.Revision, wait dfclock.Millis) (dfplatform.Changes, error) {
			sentAt = e.options.Now()
			return e.options.Platform.WaitCatalog(ctx, after, min(wait, e.catalogPollTimeout()))
		},
		apply: func(changes dfplatform.Changes, _ bool) {
			e.recordFeedAnswer()
			for _, row := range changes.Unreadable {
				e.log.Error().Str("Row", string(row.ID)).Str("Reason", row.Reason).Msg("catalog: cannot decode row")
			}
			e.adoptDocument(changes.Catalog, "platform")
		},
		setLost: func(lost bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !lost {
				e.lastCurrentAt = e.options.Now()
				e.feedConfirmedAt = sentAt
			} else if e.followingFeeds && !e.catalogFeedLost {
				// The connection may have stalled for a while before it failed.
				e.lastCurrentAt = e.options.Now() - versionMaxAge
			}
			e.catalogFeedLost, e.followingFeeds = lost, true
		},
	})
}

// watchFleet follows the list of upstreams.
func (e *Edge) watchFleet(ctx context.Context) {
	e.watchFeed(ctx, "fleet", feed{
		follows: e.followsFeeds,
		read:    e.options.Platform.Upstreams,
		poll:    e.options.Platform.WaitUpstreams,
		apply:   e.applyFleet,
		setLost: func(bool) {},
	})
}

// feed is a table of the platform that the host follows.
type feed struct {
	// follows reports whether the host has to poll for changes.
	follows func() bool
	read    func(context.Context) (dfplatform.Changes, error)
	poll    func(context.Context, dfrevision.Revision, dfclock.Millis) (dfplatform.Changes, error)
	apply   func(changes dfplatform.Changes, full bool)
	setLost func(lost bool)
}

func (e *Edge) watchFeed(ctx context.Context, name string, f feed) {
	// position is the revision of the newest changes that were applied. answeredAt is
	// when they were. justRead is true if the last of them were a whole table.
	var position dfrevision.Revision
	var answeredAt dfclock.Millis
	full, lost, justRead := true, false, false
	for ctx.Err() == nil {
		if position > 0 && !f.follows() {
			sleep(ctx, feedRetryDelay)
			continue
		}
		var changes dfplatform.Changes
		var err error
		if full {
			changes, err = f.read(ctx)
		} else {
			changes, err = e.pollFeed(ctx, f, position, answeredAt)
		}
		if eris.Is(err, dfplatform.ErrHistoryLost) {
			e.counters.feedHistoryLost.Inc()
			e.log.Warn().Str("Feed", name).Stringer("Version", position).Msg("platform: change history lost, reading the whole table")
			if justRead {
				// A store that loses its history again and again must not be read without pause.
				sleep(ctx, feedRetryDelay)
			}
			full, justRead = true, false
			continue
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				e.log.Warn().Str("Feed", name).Stringer("Version", position).Err(err).Msg("platform: feed lost")
			}
			lost = true
			f.setLost(true)
			sleep(ctx, feedRetryDelay)
			continue
		}
		if lost {
			e.log.Info().Str("Feed", name).Stringer("Version", changes.Version).Msg("platform: feed regained")
		}
		if changes.Version.Era() != position.Era() {
			e.log.Info().Str("Feed", name).Stringer("Before", position).Stringer("Version", changes.Version).
				Msg("platform: another era of the store")
		}
		lost = false
		e.observeEra(changes.Version.Era())
		f.apply(changes, full)
		f.setLost(false)
		full, justRead = false, full
		position, answeredAt = changes.Version, e.options.Now()
	}
}

// catalogPollTimeout returns the timeout of a long poll of the catalog. Where keys can
// be withdrawn, an answer must show often that the platform still answers.
func (e *Edge) catalogPollTimeout() dfclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.options.StrictRevocation:
		return strictPollTimeout
	case e.catalog.HasOrganisations():
		return keyedPollTimeout
	}
	return feedPollTimeout
}

func (e *Edge) recordFeedAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.feedAnsweredAt = e.options.Now()
}

// pollFeed waits for changes after a position, which was answered at answeredAt. It
// fails with dfplatform.ErrHistoryLost if a later era of the store is known, or gets
// known meanwhile.
func (e *Edge) pollFeed(ctx context.Context, f feed, position dfrevision.Revision, answeredAt dfclock.Millis) (dfplatform.Changes, error) {
	wait := feedPollTimeout
	if e.options.Now()-answeredAt > feedMaxGap {
		// The store may have come back from an older copy since. A long poll would not
		// tell before the next change.
		wait = 0
	}
	e.mu.Lock()
	era := e.storeEra
	e.mu.Unlock()
	if position.Era() >= era.number {
		pollCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(era.ended, cancel)()
		changes, err := f.poll(pollCtx, position, wait)
		if err == nil || era.ended.Err() == nil {
			return changes, err
		}
	}
	return dfplatform.Changes{}, eris.Wrapf(dfplatform.ErrHistoryLost, "position %s", position)
}

// followsFeeds reports whether the host polls the feeds, and clears
// followingFeeds if it no longer does. A host that its neighbours keep up to date
// saves the platform these calls.
func (e *Edge) followsFeeds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if e.mustFollowFeeds(now) {
		return true
	}
	if e.followingFeeds {
		e.lastCurrentAt = now
		if e.catalogFeedLost {
			e.lastCurrentAt = max(0, e.neighbours.CurrentAt())
		}
		e.followingFeeds = false
	}
	return false
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// adoptDocument adopts a desired state that is newer than the current one.
func (e *Edge) adoptDocument(document []byte, from string) {
	if document == nil {
		return
	}
	catalog, err := e.options.Platform.DecodeCatalog(document)
	if err != nil {
		e.log.Error().Str("From", from).Err(err).Msg("catalog: cannot decode document")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !catalog.Supersedes(e.catalog) {
		return
	}
	e.log.Info().Uint64("Before", e.catalog.Version()).Uint64("Version", catalog.Version()).
		Int("Routes", catalog.RouteCount()).Str("From", from).Msg("catalog: version in force")
	e.catalog, e.document, e.compressedDocument = catalog, document, nil
	e.wakeDisplacedSessions()
	e.reconcile()
}

func (e *Edge) applyFleet(changes dfplatform.Changes, full bool) {
	e.recordFeedAnswer()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	for _, upstream := range changes.Upstreams {
		before, known := e.fleet.Find(upstream.ID)
		if !full {
			e.fleet.Put(now, upstream)
		}
		if known && before == upstream {
			continue
		}
		if upstream.Draining && (known && !before.Draining || !known && !full) {
			e.noteDrain(now, upstream, changes.StoreTime)
		}
		if known && before.Version > upstream.Version {
			e.counters.entriesIgnored.Inc()
			e.log.Info().Str("Upstream", string(upstream.ID)).Stringer("Known", before.Version).Stringer("Entry", upstream.Version).
				Msg("fleet: entry ignored, a newer one is known")
			continue
		}
		e.log.Info().Str("Service", upstream.Service).Str("Upstream", string(upstream.ID)).
			Str("DataCentre", upstream.DataCentre).Bool("Primary", upstream.Primary).Bool("Draining", upstream.Draining).
			Stringer("Entry", upstream.Version).Msg("fleet: entry changed")
	}
	for _, id := range changes.Lapsed {
		e.fleet.Lapse(now, id, changes.Version)
		e.log.Info().Str("Upstream", string(id)).Stringer("Entry", changes.Version).Msg("fleet: entry removed from the list")
	}
	for _, entry := range changes.Unreadable {
		e.fleet.Lapse(now, entry.ID, changes.Version)
		e.counters.entriesIgnored.Inc()
		e.log.Warn().Str("Upstream", string(entry.ID)).Stringer("Entry", changes.Version).Str("Reason", entry.Reason).
			Msg("fleet: entry ignored, it names no upstream")
	}
	if full {
		e.fleet.Replace(now, changes.Upstreams, changes.Version)
		e.fleetLoaded = true
	}
	e.reconcile()
}

// adoptNeighbourFleet adopts a neighbour's list of upstreams if it is newer.
func (e *Edge) adoptNeighbourFleet(upstreams []dffleet.Upstream, version dfrevision.Revision, from string) {
	if version <= e.fleet.Version() {
		return
	}
	e.log.Info().Stringer("Before", e.fleet.Version()).Stringer("Version", version).Str("From", from).
		Msg("fleet: list adopted from neighbour")
	e.observeEraLocked(version.Era())
	e.fleet.Replace(e.options.Now(), upstreams, version)
	e.fleetLoaded = true
	e.reconcile()
}
