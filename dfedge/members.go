package dfedge

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfrevision"
	"dragonflygrade/dfroster"
)

// membersTable has a row for each host.
const membersTable = "Hosts/"

const (
	// rosterPollTimeout is the timeout of a long poll of the host table where a majority
	// is needed. Its answers confirm the table. suspectPollTimeout is used while a host is
	// not present, so that the others can rely on the table when the store goes away too.
	rosterPollTimeout  = 3 * dfclock.Second
	suspectPollTimeout = dfclock.Second
	// rosterSettleTime is how long a host is the speaker of its data centre before it
	// follows the host table. All hosts that start together are speakers at first.
	// idleSettleTime is the same where no majority is needed.
	rosterSettleTime = dfclock.Second
	idleSettleTime   = 20 * dfclock.Second
	// rosterMaxAge is how old the confirmation of the host table may be until a host
	// follows the table that is not the speaker.
	rosterMaxAge = 5 * dfclock.Second
	// rosterWritePause is the pause after a write to the host table, within which the feed
	// shows the change, and rosterRetryDelay the pause after one that failed.
	rosterWritePause = 300 * time.Millisecond
	rosterRetryDelay = time.Second
	// withdrawTimeout bounds the removal of the own row at the end of the process. It is
	// part of exitReserve.
	withdrawTimeout = 300 * time.Millisecond
)

// memberRow is the content of a row of membersTable.
type memberRow struct {
	dfmember.Host
	// MissedBy is the host that reported this one as missing, or empty.
	MissedBy string `json:",omitempty"`
}

// watchMembers writes this host's row in the host table and learns of other hosts.
func (e *Edge) watchMembers(ctx context.Context) {
	for _, seed := range e.options.Seeds {
		e.addNeighbour(dfmember.Host{Address: seed})
	}
	if err := e.announce(ctx); err != nil {
		e.log.Warn().Err(err).Msg("members: cannot write own row")
		go e.announceUntilDone(ctx)
	}
	table := strings.TrimSuffix(membersTable, "/")
	// confirmedAt is the time as of which the current answer confirms the table.
	var confirmedAt dfclock.Millis
	e.watchFeed(ctx, "members", feed{
		follows: e.followsMembers,
		read: func(ctx context.Context) (dfplatform.Changes, error) {
			confirmedAt = e.options.Now()
			return e.options.Platform.Rows(ctx, table)
		},
		poll: func(ctx context.Context, after dfrevision.Revision, wait dfclock.Millis) (dfplatform.Changes, error) {
			confirmedAt = e.options.Now()
			wait = min(wait, e.rosterPollTimeout())
			changes, err := e.options.Platform.WaitRows(ctx, table, after, wait)
			if err == nil && len(changes.Rows) == 0 && e.options.Now()-confirmedAt >= wait {
				// The store answers without a change only after the wait.
				confirmedAt += wait
			}
			return changes, err
		},
		apply:   func(changes dfplatform.Changes, full bool) { e.applyMembers(changes, full, confirmedAt) },
		setLost: func(bool) {},
	})
}

// usesRoster reports whether the host table decides which hosts count for a majority.
// Leases and promises of hosts are kept by all hosts that were ever known.
func (e *Edge) usesRoster() bool {
	return !e.usesLeases()
}

// followsMembers reports whether the host polls the host table.
func (e *Edge) followsMembers() bool {
	follows := e.followsFeeds()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !follows || !e.usesRoster() {
		return follows
	}
	now := e.options.Now()
	return e.speaksForRoster(now) || e.needsQuorum() && now-e.roster.ConfirmedAt() >= rosterMaxAge
}

// speaksForRoster reports whether the host follows the host table for its data centre.
// e.mu must be held.
func (e *Edge) speaksForRoster(now dfclock.Millis) bool {
	settleTime := idleSettleTime
	if e.needsQuorum() {
		settleTime = rosterSettleTime
	}
	return e.neighbours.SpeakerFor(now) >= settleTime
}

func (e *Edge) rosterPollTimeout() dfclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.usesRoster() || !e.needsQuorum():
		return feedPollTimeout
	case e.neighbours.AllPresent(e.options.Now()):
		return rosterPollTimeout
	}
	return suspectPollTimeout
}

// applyMembers adopts an answer of the store that is at least as new as confirmedAt.
func (e *Edge) applyMembers(changes dfplatform.Changes, full bool, confirmedAt dfclock.Millis) {
	entries := e.decodeMembers(changes.Rows)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	e.membersLoaded = true
	if !e.usesRoster() {
		for _, entry := range entries {
			e.neighbours.Add(now, entry.Host)
		}
		return
	}
	for _, entry := range entries {
		e.logMember(entry, full)
	}
	if full || len(entries) > 0 {
		e.neighbours.ChangeRoster(now, func(roster *dfroster.Roster) {
			if full {
				roster.Replace(now, entries, changes.Version)
			} else {
				roster.Apply(now, entries, changes.Version)
			}
		})
	}
	e.roster.Confirm(changes.Version, confirmedAt, e.neighbours.Presence(now))
}

func (e *Edge) logMember(entry dfroster.Entry, full bool) {
	switch {
	case full:
	case entry.Host.Address == "":
		e.log.Info().Str("Host", entry.Host.ID).Stringer("Row", entry.Version).Msg("members: host has left")
	case entry.MissedBy != "":
		e.log.Warn().Str("Host", entry.Host.ID).Str("By", entry.MissedBy).Stringer("Row", entry.Version).Msg("members: host reported as missing")
	default:
		e.log.Info().Str("Host", entry.Host.ID).Str("Address", entry.Host.Address).Stringer("Row", entry.Version).Msg("members: host present")
	}
}

// decodeMember returns the entry of a row. That of a removed row has no address.
func decodeMember(row dfplatform.Row) (dfroster.Entry, error) {
	if row.Value == nil {
		return dfroster.Entry{Host: dfmember.Host{ID: strings.TrimPrefix(row.Key, membersTable)}, Version: row.Version}, nil
	}
	var stored memberRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return dfroster.Entry{}, eris.Wrap(err, "members: decode row")
	}
	if membersTable+stored.ID != row.Key || stored.Address == "" {
		return dfroster.Entry{}, eris.Errorf("members: row of %q at %q", stored.ID, stored.Address)
	}
	return dfroster.Entry{Host: stored.Host, MissedBy: stored.MissedBy, Version: row.Version}, nil
}

// decodeMembers returns the entries of the rows that can be decoded.
func (e *Edge) decodeMembers(rows []dfplatform.Row) []dfroster.Entry {
	entries := make([]dfroster.Entry, 0, len(rows))
	for _, row := range rows {
		entry, err := decodeMember(row)
		if err != nil {
			e.log.Warn().Str("Row", row.Key).Err(err).Msg("members: cannot decode row")
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}

// addListedHosts learns of the hosts in the rows of the host table.
func (e *Edge) addListedHosts(rows []dfplatform.Row) {
	for _, entry := range e.decodeMembers(rows) {
		e.addNeighbour(entry.Host)
	}
}

func encodeMember(entry dfroster.Entry) ([]byte, error) {
	value, err := json.Marshal(memberRow{Host: entry.Host, MissedBy: entry.MissedBy})
	return value, eris.Wrap(err, "members: encode row")
}

// announceUntilDone writes the row of this host after the first attempt failed.
func (e *Edge) announceUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, rosterRetryDelay)
		err := e.announce(ctx)
		if err == nil {
			return
		}
		e.log.Warn().Err(err).Msg("members: cannot write own row")
	}
}

// announce writes the row of this host, which also withdraws a report that it is missing.
func (e *Edge) announce(ctx context.Context) error {
	value, err := encodeMember(dfroster.Entry{Host: e.options.Self})
	if err != nil {
		return err
	}
	write := dfplatform.Write{Key: membersTable + e.options.Self.ID, Unconditional: true, Value: value}
	if err := e.options.Platform.Commit(ctx, e.options.Self.ID, write); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcedAt = e.options.Now()
	return nil
}

// withdraw removes the row of this host at the end of its process, so that the others do
// not count it any more. If that fails, they report it as missing.
func (e *Edge) withdraw(ctx context.Context) {
	e.mu.Lock()
	needed := e.usesRoster() && e.needsQuorum()
	e.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	write := dfplatform.Write{Key: membersTable + e.options.Self.ID, Unconditional: true, Delete: true}
	err := e.options.Platform.Commit(ctx, e.options.Self.ID, write)
	e.log.Info().Str("Host", e.options.Self.ID).Err(err).Msg("members: own row removed")
}

// tickRoster returns what this host has to do about the host table, or nil. e.mu must be
// held here and released before the action runs.
func (e *Edge) tickRoster(ctx context.Context, now dfclock.Millis) func() {
	if !e.usesRoster() || !e.needsQuorum() || e.writingRoster || now-e.rosterCheckedAt < neighbourSelectPeriod || e.stoppingAt != dfclock.Never {
		return nil
	}
	e.rosterCheckedAt = now
	judges := e.speaksForRoster(now) && e.followingFeeds
	action := e.roster.Step(now, judges, e.neighbours.Presence(now))
	var write func() error
	switch a := action.(type) {
	case dfroster.Join:
		// The table has to be newer than the row that was last written.
		if e.announcedAt == dfclock.Never || e.roster.ConfirmedAt() <= e.announcedAt {
			return nil
		}
		write = func() error { return e.announce(ctx) }
	case dfroster.Rewrite:
		write = func() error { return e.writeMembers(ctx, a.Entries, false) }
	case dfroster.Remove:
		write = func() error { return e.writeMembers(ctx, a.Entries, true) }
	default:
		return nil
	}
	e.writingRoster = true
	return func() {
		pause := rosterWritePause
		if err := write(); err != nil {
			e.log.Warn().Err(err).Msg("members: cannot write rows")
			pause = rosterRetryDelay
		}
		sleep(ctx, pause)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.writingRoster = false
	}
}

// writeMembers writes or removes rows of the host table if they have not changed.
func (e *Edge) writeMembers(ctx context.Context, entries []dfroster.Entry, remove bool) error {
	writes := make([]dfplatform.Write, 0, len(entries))
	for _, entry := range entries {
		write := dfplatform.Write{Key: membersTable + entry.Host.ID, IfVersion: entry.Version, Delete: remove}
		if !remove {
			value, err := encodeMember(entry)
			if err != nil {
				return err
			}
			write.Value = value
		}
		writes = append(writes, write)
		e.log.Warn().Str("Host", entry.Host.ID).Str("MissedBy", entry.MissedBy).Bool("Remove", remove).Msg("members: row rewritten")
	}
	return e.options.Platform.Commit(ctx, e.options.Self.ID, writes...)
}
