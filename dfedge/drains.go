package dfedge

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
)

// drainsTable has a row for each draining upstream, with the time since when it drains.
// Hosts that start later learn it there: neither the list nor a host that has just started
// tells.
const drainsTable = "Drains/"

const (
	// drainRecordSpread is the time between the speakers' attempts to write the row.
	drainRecordSpread = 300 * dfclock.Millisecond
	// drainRetryDelay is the pause before a row that could not be written is tried again.
	drainRetryDelay = dfclock.Second
	// drainReadDelay is how long hosts that do not probe wait for a neighbour to tell since
	// when an upstream drains, before they read the table.
	drainReadDelay = 600 * dfclock.Millisecond
	// minDrainReadPause is the pause before the table is read again while a start is not
	// known. It doubles up to maxDrainReadPause.
	minDrainReadPause = 500 * dfclock.Millisecond
	maxDrainReadPause = 8 * dfclock.Second
)

// drainRow is the content of a row of drainsTable.
type drainRow struct {
	// Born tells the incarnation of the upstream.
	Born int64
	// Since is when the first host learned that the upstream drains, by the store's clock.
	Since dfclock.Millis
}

// drainRecords is a host's part in the table of draining upstreams.
type drainRecords struct {
	// due has the rows to write, by upstream, and dueAt when.
	due   map[dffleet.ID]drainRow
	dueAt dfclock.Millis
	// written has the upstreams whose rows this host wrote and has to remove.
	written map[dffleet.ID]bool
	// unknownSince is since when the start of a drain is not known, or Never. readAt is
	// when the table is read next, readPause the pause after that.
	unknownSince, readAt, readPause dfclock.Millis
	// busy is true while the table is read or written.
	busy bool
}

func newDrainRecords() drainRecords {
	return drainRecords{due: map[dffleet.ID]drainRow{}, written: map[dffleet.ID]bool{}, unknownSince: dfclock.Never}
}

// noteDrain makes this host record that an upstream drains, of which it has just learned
// from the store, if it is a speaker. e.mu must be held.
func (e *Edge) noteDrain(now dfclock.Millis, upstream dffleet.Upstream, storeTime dfclock.Millis) {
	if storeTime <= 0 || !e.neighbours.IsSpeaker(now) {
		return
	}
	rank := max(0, dfmember.RankOf(string(upstream.ID), e.neighbours.FailoverHosts(now), e.options.Self.ID))
	if len(e.drains.due) == 0 {
		e.drains.dueAt = now.Add(drainRecordSpread * dfclock.Millis(rank))
	}
	e.drains.due[upstream.ID] = drainRow{Born: upstream.Born, Since: storeTime}
}

// tickDrains returns what this host has to do about the table of draining upstreams, or
// nil. e.mu must be held here and released before the action runs.
func (e *Edge) tickDrains(ctx context.Context, now dfclock.Millis) func() {
	d := &e.drains
	switch {
	case !e.fleet.HasUnknownDrains():
		d.unknownSince = dfclock.Never
	case d.unknownSince == dfclock.Never:
		d.unknownSince, d.readAt, d.readPause = now, now, minDrainReadPause
		if !e.neighbours.IsProber(now) {
			d.readAt = now.Add(drainReadDelay)
		}
		e.log.Info().Msg("fleet: an upstream drains for an unknown time")
	}
	switch {
	case d.busy:
	case d.unknownSince != dfclock.Never && now >= d.readAt:
		d.busy, d.readAt, d.readPause = true, now.Add(d.readPause), min(2*d.readPause, maxDrainReadPause)
		return func() { e.readDrains(ctx) }
	case len(d.due) > 0 && now >= d.dueAt:
		d.busy = true
		due := maps.Clone(d.due)
		return func() { e.writeDrains(ctx, due) }
	}
	return nil
}

// readDrains learns from the table since when upstreams drain.
func (e *Edge) readDrains(ctx context.Context) {
	askedAt := e.options.Now()
	changes, err := e.options.Platform.Rows(ctx, strings.TrimSuffix(drainsTable, "/"))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drains.busy = false
	if err != nil {
		e.log.Warn().Err(err).Msg("fleet: cannot read the table of draining upstreams")
		return
	}
	for _, row := range changes.Rows {
		var stored drainRow
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			e.log.Warn().Str("Row", row.Key).Err(err).Msg("fleet: cannot decode row")
			continue
		}
		// A store that comes back from an older copy may have set its clock back.
		age := changes.StoreTime - stored.Since
		if age < 0 {
			continue
		}
		e.fleet.RecordDrain(dffleet.ID(strings.TrimPrefix(row.Key, drainsTable)), stored.Born, askedAt-age)
		e.log.Info().Str("Row", row.Key).Int64("AgeMillis", int64(age)).Msg("fleet: start of draining read")
	}
	e.notifyWaiters()
}

// writeDrains writes the rows that no other host has written.
func (e *Edge) writeDrains(ctx context.Context, due map[dffleet.ID]drainRow) {
	for id, row := range due {
		written, err := e.writeDrain(ctx, id, row)
		e.mu.Lock()
		_, running := e.fleet.Find(id)
		if err == nil || !running {
			delete(e.drains.due, id)
		} else {
			e.log.Warn().Str("Upstream", string(id)).Err(err).Msg("fleet: cannot record the start of draining")
		}
		if written {
			e.drains.written[id] = true
		}
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drains.busy, e.drains.dueAt = false, e.options.Now().Add(drainRetryDelay)
}

// writeDrain writes one row, unless another host has written it.
func (e *Edge) writeDrain(ctx context.Context, id dffleet.ID, row drainRow) (written bool, err error) {
	value, err := json.Marshal(row)
	if err != nil {
		return false, eris.Wrap(err, "fleet: encode drain")
	}
	write := dfplatform.Write{Key: drainsTable + string(id), Value: value}
	err = e.options.Platform.Commit(ctx, e.options.Self.ID, write)
	if !eris.Is(err, dfplatform.ErrConflict) {
		return err == nil, err
	}
	known, err := e.options.Platform.Get(ctx, write.Key)
	if err != nil {
		return false, err
	}
	var stored drainRow
	if json.Unmarshal(known.Value, &stored) == nil && stored.Born == row.Born {
		return false, nil
	}
	// The row is of an earlier incarnation.
	write.IfVersion = known.Version
	err = e.options.Platform.Commit(ctx, e.options.Self.ID, write)
	return err == nil, err
}

// removeDrains removes the rows that this host has written of upstreams that are gone.
func (e *Edge) removeDrains(ctx context.Context, gone []dffleet.ID) func() {
	var writes []dfplatform.Write
	for _, id := range gone {
		if e.drains.written[id] {
			delete(e.drains.written, id)
			writes = append(writes, dfplatform.Write{Key: drainsTable + string(id), Unconditional: true, Delete: true})
		}
	}
	if len(writes) == 0 {
		return nil
	}
	return func() {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if err := e.options.Platform.Commit(ctx, e.options.Self.ID, writes...); err != nil {
			e.log.Warn().Err(err).Msg("fleet: cannot remove rows of upstreams that are gone")
		}
	}
}
