package dflease

import (
	"fmt"
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

// Settings identify a host.
type Settings struct {
	// Host stays the same over restarts; Incarnation is different for each process.
	Host        string
	Incarnation string
	Address     string
	// Admin is the address of the host's operator interface.
	Admin      string
	DataCentre string
}

// Manager maintains the lease and the slots of one host. It is not safe for
// concurrent use. Slots have no expiry: while the table is unavailable, their
// owner keeps them.
type Manager struct {
	settings Settings
	// generation counts how often this process has lost its host row. Each
	// generation is a separate incarnation.
	generation int
	// registered is true once the host row names this generation.
	registered bool
	renewal    uint64
	// validUntil is the end of the lease, measured from when the renewal was sent.
	validUntil dfclock.Millis
	// renewAt is when the next renewal is due.
	renewAt dfclock.Millis

	groups map[dfgroup.ID]GroupSpec
	// groupIDs are the keys of groups in ascending order.
	groupIDs []dfgroup.ID
	live     map[string]bool

	// observations has exactly the rows that the last full read covered, absent
	// ones included.
	observations map[string]observation
	// requestedKeys are the keys of the rows that the last full read covers.
	requestedKeys map[string]bool
	// readCalls is the number of lists and single rows in a full read.
	readCalls int
	// ownVersionKnown is true while the version of the own host row is known.
	ownVersionKnown bool
	nextReadAt      dfclock.Millis
	// renewalOnly is true if the last commit changed only the own host row, so
	// that only that row has to be read again.
	renewalOnly bool
	// readingOwnRow is true if the read in flight is of the own host row only.
	readingOwnRow bool
	// inFlight is true while a read or commit is unanswered.
	inFlight bool
	sentAt   dfclock.Millis

	// restoredAt is when this host learned that the table came back from an older copy,
	// or 0.
	restoredAt dfclock.Millis
	slots      map[dfgroup.ID]*slot
	// draining is set by Drained and never reset.
	draining  bool
	releasing bool
	released  bool
}

// observation is the state of one row as seen by reads.
type observation struct {
	row dfplatform.Row
	// slot or host is the decoded value, zero if the row is absent or malformed.
	slot SlotRow
	host HostRow
	// unchangedSince is when a read first returned this version. Since then reads
	// have returned it with no gap longer than maxReadGap.
	unchangedSince dfclock.Millis
	// vacantSince is when a slot was first observed without a valid owner.
	vacantSince dfclock.Millis
	vacant      bool
	requestedAt dfclock.Millis
	readAt      dfclock.Millis
}

// NewManager returns a Manager without a lease or slots.
func NewManager(settings Settings) *Manager {
	return &Manager{
		settings:     settings,
		groups:       make(map[dfgroup.ID]GroupSpec),
		live:         make(map[string]bool),
		observations: make(map[string]observation),
		slots:        make(map[dfgroup.ID]*slot),
	}
}

// Incarnation returns the incarnation in the current rows of this host.
func (m *Manager) Incarnation() string {
	if m.generation == 0 {
		return m.settings.Incarnation
	}
	return fmt.Sprintf("%s.%d", m.settings.Incarnation, m.generation)
}

// Valid reports whether the host lease is valid by the host's own clock.
func (m *Manager) Valid(now dfclock.Millis) bool {
	return m.registered && now.Before(m.validUntil)
}

// ValidUntil returns the end of the host lease, measured from when its renewal
// was sent, or zero if there is none.
func (m *Manager) ValidUntil() dfclock.Millis {
	if !m.registered {
		return 0
	}
	return m.validUntil
}

// MayOpen reports whether connections to the upstream may be opened now. It has
// to be checked again after a connection is established and before its first use.
func (m *Manager) MayOpen(group dfgroup.ID, upstream dfgroup.UpstreamID, now dfclock.Millis) bool {
	held, ok := m.slots[group]
	if !ok || held.unconfirmed || held.upstreams[upstream].stage != cleared {
		return false
	}
	upstreams := m.groups[group].Upstreams
	if _, majority := held.clearedUpstreams(upstreams); !majority {
		return false
	}
	return m.Valid(now) || held.probedByMajority(now, upstreams)
}

// OwnersKnown reports whether the slot rows show all owners. An owner whose claim the
// table lost reads the rows within RenewInterval if it reaches the table, and drops the
// slot. Its lease ends within LeaseTTL in any case.
func (m *Manager) OwnersKnown(now dfclock.Millis) bool {
	return m.restoredAt == 0 || now.Since(m.restoredAt) >= LeaseTTL
}

// Cleared reports whether no earlier owner has connections to the upstream.
// The host grants position leases only if that is the case at the primary.
func (m *Manager) Cleared(group dfgroup.ID, upstream dfgroup.UpstreamID) bool {
	held, ok := m.slots[group]
	return ok && held.upstreams[upstream].stage == cleared
}

// Slot returns the slot of the group that this host holds.
func (m *Manager) Slot(group dfgroup.ID) (Held, bool) {
	held, ok := m.slots[group]
	if !ok {
		return Held{}, false
	}
	return Held{group, held.index, held.epoch}, true
}

// SlotRows returns the rows of the owned slots of a group as last read, by index.
func (m *Manager) SlotRows(group dfgroup.ID) map[int]SlotRow {
	rows := make(map[int]SlotRow)
	for index := range m.groups[group].Slots {
		if row := m.slotRow(group, index); row.Host != "" {
			rows[index] = row
		}
	}
	return rows
}

// Step processes an event and returns the actions to carry out.
func (m *Manager) Step(now dfclock.Millis, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case Configured:
		actions = m.configure(event)
	case LiveHosts:
		m.live = make(map[string]bool, len(event.IDs))
		for _, host := range event.IDs {
			m.live[host] = true
		}
		if m.readInterval() <= watchReadInterval {
			m.nextReadAt = min(m.nextReadAt, now)
		}
	case RowsRead:
		m.inFlight = false
		actions = m.handleRowsRead(now, event)
	case ReadFailed:
		m.inFlight = false
		m.handleFailure(now)
	case Committed:
		m.inFlight = false
		actions = m.handleCommitted(now, event)
	case Terminated:
		if held, ok := m.slots[event.Group]; ok && held.epoch == event.Epoch {
			actions = held.handleTerminated(now, event)
		}
	case ConnectionTerminated:
		if held, ok := m.slots[event.Group]; ok && held.epoch == event.Epoch {
			held.unconfirmed, held.unconfirmedSince = true, now
			m.nextReadAt = min(m.nextReadAt, now)
		}
	case ProbeAnswered:
		held, ok := m.slots[event.Group]
		if ok && held.epoch == event.Epoch && event.OpenedAt.Before(m.validUntil) {
			held.probeSentAt[event.Upstream] = max(held.probeSentAt[event.Upstream], event.SentAt)
		}
	case TableRestored:
		m.restoredAt = now
		m.ownVersionKnown, m.renewalOnly = false, false
		m.nextReadAt = min(m.nextReadAt, now)
	case Drained:
		m.draining = true
		m.nextReadAt = min(m.nextReadAt, now)
	}
	return append(actions, m.advance(now)...)
}

// advance returns the actions that are due at the given time.
func (m *Manager) advance(now dfclock.Millis) []Action {
	var actions []Action
	for _, group := range m.groupIDs {
		held, ok := m.slots[group]
		if !ok {
			continue
		}
		actions = append(actions, held.clearUpstreams(now, m.groups[group].Upstreams)...)
		if !m.Valid(now) && now.Reached(held.nextProbeAt) {
			held.nextProbeAt = now.Add(probeInterval)
			actions = append(actions, Probe{group, held.epoch})
		}
	}
	switch {
	case m.inFlight || m.released:
		return actions
	case now.Reached(m.nextReadAt):
		return append(actions, m.requestRows(now))
	case !m.ownVersionKnown && m.renewalOnly:
		return append(actions, m.requestOwnRow(now))
	case !m.ownVersionKnown:
		return actions
	}
	writes := m.pendingWrites(now)
	if len(writes) == 0 && m.draining {
		m.released = true
		return append(actions, Released{})
	}
	if len(writes) > 0 {
		m.inFlight, m.sentAt, m.ownVersionKnown = true, now, false
		actions = append(actions, Commit{writes})
	}
	return actions
}

// pendingWrites returns the writes of the next commit, if one is due.
func (m *Manager) pendingWrites(now dfclock.Millis) []dfplatform.Write {
	m.renewalOnly = false
	if m.draining {
		m.releasing = true
		return m.releaseWrites()
	}
	if m.Valid(now) {
		if writes := m.claimWrites(now); len(writes) > 0 {
			return append(writes, m.renewalWrite())
		}
	}
	if !m.registered || now.Reached(m.renewAt) {
		writes := m.clearedWrites()
		m.renewalOnly = m.registered && len(writes) == 0
		return append(writes, m.renewalWrite())
	}
	return nil
}

// renewalWrite returns the write that renews the own host row.
func (m *Manager) renewalWrite() dfplatform.Write {
	m.renewal++
	return dfplatform.Write{
		Key: HostKey(m.settings.Host), IfVersion: m.observations[HostKey(m.settings.Host)].row.Version,
		Value: encode(HostRow{
			m.settings.Host, m.Incarnation(), m.settings.Address, m.settings.Admin, m.settings.DataCentre, m.renewal,
		}),
	}
}

// handleCommitted processes the result of the commit in flight.
func (m *Manager) handleCommitted(now dfclock.Millis, event Committed) []Action {
	switch event.Result {
	case Done:
		if m.releasing {
			m.released = true
			return []Action{Released{}}
		}
		m.registered = true
		m.validUntil = m.sentAt.Add(LeaseTTL - leaseMargin)
		m.renewAt = m.sentAt.Add(RenewInterval)
		if !m.renewalOnly {
			m.nextReadAt = min(m.nextReadAt, now)
		}
	case Conflict:
		m.nextReadAt = min(m.nextReadAt, now)
	case Failed:
		m.handleFailure(now)
	}
	return nil
}

// handleFailure schedules a retry and restarts all observations, because rows may
// be unchanged only because their owners could not write either.
func (m *Manager) handleFailure(now dfclock.Millis) {
	m.nextReadAt = now.Add(retryInterval)
	m.ownVersionKnown, m.renewalOnly = false, false
	for key, observed := range m.observations {
		observed.unchangedSince, observed.readAt = now, 0
		m.observations[key] = observed
	}
}

// requestRows returns the read of all rows that decisions depend on.
func (m *Manager) requestRows(now dfclock.Millis) Action {
	m.inFlight, m.sentAt, m.readingOwnRow = true, now, false
	m.requestedKeys = make(map[string]bool)
	hosts := map[string]bool{HostKey(m.settings.Host): true}
	var prefixes []string
	for _, group := range m.groupIDs {
		prefixes = append(prefixes, SlotPrefix(group))
		for index := range m.groups[group].Slots {
			m.requestedKeys[SlotKey(group, index)] = true
			if holder := m.slotRow(group, index).Host; holder != "" {
				hosts[HostKey(holder)] = true
			}
		}
	}
	keys := make([]string, 0, len(hosts))
	for key := range hosts {
		keys = append(keys, key)
		m.requestedKeys[key] = true
	}
	sort.Strings(keys)
	m.readCalls = len(prefixes) + len(keys)
	return ReadRows{Prefixes: prefixes, Keys: keys}
}

// requestOwnRow returns the read of the own host row. It gives the row's version
// after a renewal and shows whether a new owner has deleted it.
func (m *Manager) requestOwnRow(now dfclock.Millis) Action {
	m.inFlight, m.sentAt, m.readingOwnRow = true, now, true
	return ReadRows{Keys: []string{HostKey(m.settings.Host)}}
}

// configure replaces the groups. Slots that are no longer configured are lost.
func (m *Manager) configure(event Configured) []Action {
	var actions []Action
	m.groups = make(map[dfgroup.ID]GroupSpec, len(event.Groups))
	m.groupIDs = nil
	for _, spec := range event.Groups {
		m.groups[spec.Group] = spec
		m.groupIDs = append(m.groupIDs, spec.Group)
	}
	sort.Slice(m.groupIDs, func(i, j int) bool { return m.groupIDs[i] < m.groupIDs[j] })
	for group, held := range m.slots {
		if held.index >= m.groups[group].Slots {
			actions = append(actions, m.dropSlot(held, "the configuration no longer has the slot"))
		}
	}
	m.nextReadAt = 0
	return actions
}

func (m *Manager) dropSlot(held *slot, why string) Action {
	delete(m.slots, held.group)
	return Lost{held.group, held.index, held.epoch, why}
}

// slotRow returns a slot's row as last read, zero if it is absent.
func (m *Manager) slotRow(group dfgroup.ID, index int) SlotRow {
	return m.observations[SlotKey(group, index)].slot
}
