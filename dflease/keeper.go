package dflease

import (
	"fmt"
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

// Settings are what a host knows of itself.
type Settings struct {
	// Host is the same over restarts, Incarnation differs.
	Host        string
	Incarnation string
	Address     string
	// Admin is where operators reach the host.
	Admin      string
	DataCentre string
}

// Keeper keeps the host lease and the slots of one host. It is used by one
// goroutine. Slots have no expiry: while the table is down the holder goes on.
type Keeper struct {
	settings Settings
	// generation counts how often this process lost its lease row to a taker;
	// each generation is an incarnation of its own.
	generation int
	// joined is true once the host row names this generation.
	joined  bool
	renewal uint64
	// validUntil ends the lease, counted from before the renewal was sent.
	validUntil dfclock.Millis
	// renewAt is when the next renewal is due.
	renewAt dfclock.Millis

	wants map[dfgroup.ID]Want
	// order has the groups of wants in order.
	order []dfgroup.ID
	live  map[string]bool

	// rows has the rows of the last read, absent ones too, and no others.
	rows map[string]sighting
	// asked has the keys that the last read was to answer.
	asked map[string]bool
	// calls is the number of lists and rows of a whole read.
	calls int
	// ownKnown is true while the version of the own host row is known.
	ownKnown bool
	readAt   dfclock.Millis
	// renewing is true while the last commit changed only the own host row; then
	// only that row has to be read again.
	renewing bool
	// readingOwn is true while the read under way is of that row alone.
	readingOwn bool
	// busy is true while a read or commit has no answer.
	busy   bool
	sentAt dfclock.Millis

	slots map[dfgroup.ID]*slot
	// draining is set for good by Drained; released follows.
	draining  bool
	releasing bool
	released  bool
}

// sighting is what reads showed of one row.
type sighting struct {
	row dfplatform.Row
	// slot or host is the decoded value, zero if the row is absent or malformed.
	slot SlotRow
	host HostRow
	// since is when a read first answered with this version; reads have shown
	// it without a longer gap ever since.
	since dfclock.Millis
	// vacantSince is when a slot was first seen without a valid holder.
	vacantSince dfclock.Millis
	vacant      bool
	askedAt     dfclock.Millis
	readAt      dfclock.Millis
}

// NewKeeper returns a keeper that holds nothing.
func NewKeeper(settings Settings) *Keeper {
	return &Keeper{
		settings: settings,
		wants:    make(map[dfgroup.ID]Want),
		live:     make(map[string]bool),
		rows:     make(map[string]sighting),
		slots:    make(map[dfgroup.ID]*slot),
	}
}

// Incarnation returns the incarnation that rows of this host carry now.
func (k *Keeper) Incarnation() string {
	if k.generation == 0 {
		return k.settings.Incarnation
	}
	return fmt.Sprintf("%s.%d", k.settings.Incarnation, k.generation)
}

// Valid reports whether the host lease is valid by the host's own clock.
func (k *Keeper) Valid(now dfclock.Millis) bool {
	return k.joined && now.Before(k.validUntil)
}

// ValidUntil returns the end of the host lease, counted from before its renewal
// was sent, or zero if there is none.
func (k *Keeper) ValidUntil() dfclock.Millis {
	if !k.joined {
		return 0
	}
	return k.validUntil
}

// MayOpen reports whether connections to the upstream may be opened now. It is
// to be asked again once the connection is established, before it is used.
func (k *Keeper) MayOpen(group dfgroup.ID, upstream dfgroup.UpstreamID, now dfclock.Millis) bool {
	held, ok := k.slots[group]
	if !ok || held.doubted || held.upstreams[upstream].stage != cleared {
		return false
	}
	upstreams := k.wants[group].Upstreams
	if _, majority := held.clear(upstreams); !majority {
		return false
	}
	return k.Valid(now) || held.proven(now, upstreams)
}

// Cleared reports whether no earlier owner has connections to the upstream.
// The host grants position leases only if that holds for the primary.
func (k *Keeper) Cleared(group dfgroup.ID, upstream dfgroup.UpstreamID) bool {
	held, ok := k.slots[group]
	return ok && held.upstreams[upstream].stage == cleared
}

// Slot returns the slot of the group that this host holds.
func (k *Keeper) Slot(group dfgroup.ID) (Held, bool) {
	held, ok := k.slots[group]
	if !ok {
		return Held{}, false
	}
	return Held{group, held.index, held.epoch}, true
}

// Known returns the slot rows of a group as last read, by index.
func (k *Keeper) Known(group dfgroup.ID) map[int]SlotRow {
	known := make(map[int]SlotRow)
	for index := range k.wants[group].Slots {
		if row := k.slotRow(group, index); row.Host != "" {
			known[index] = row
		}
	}
	return known
}

// Step takes an event and returns what has to be done.
func (k *Keeper) Step(now dfclock.Millis, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case Configured:
		actions = k.configure(event)
	case Hosts:
		k.live = make(map[string]bool, len(event.Live))
		for _, host := range event.Live {
			k.live[host] = true
		}
		if k.readInterval() <= watchRead {
			k.readAt = min(k.readAt, now)
		}
	case RowsRead:
		k.busy = false
		actions = k.read(now, event)
	case ReadFailed:
		k.busy = false
		k.failed(now)
	case Committed:
		k.busy = false
		actions = k.committed(now, event)
	case Terminated:
		if held, ok := k.slots[event.Group]; ok && held.epoch == event.Epoch {
			actions = held.terminated(now, event)
		}
	case Cut:
		if held, ok := k.slots[event.Group]; ok && held.epoch == event.Epoch {
			held.doubted, held.doubtedAt = true, now
			k.readAt = min(k.readAt, now)
		}
	case Proven:
		held, ok := k.slots[event.Group]
		if ok && held.epoch == event.Epoch && event.OpenedAt.Before(k.validUntil) {
			held.proofs[event.Upstream] = max(held.proofs[event.Upstream], event.AskedAt)
		}
	case Drained:
		k.draining = true
		k.readAt = min(k.readAt, now)
	}
	return append(actions, k.advance(now)...)
}

// advance takes the steps that are due by time.
func (k *Keeper) advance(now dfclock.Millis) []Action {
	var actions []Action
	for _, group := range k.order {
		held, ok := k.slots[group]
		if !ok {
			continue
		}
		actions = append(actions, held.step(now, k.wants[group].Upstreams)...)
		if !k.Valid(now) && now.Reached(held.probeAt) {
			held.probeAt = now.Add(probeInterval)
			actions = append(actions, Probe{group, held.epoch})
		}
	}
	switch {
	case k.busy || k.released:
		return actions
	case now.Reached(k.readAt):
		return append(actions, k.ask(now))
	case !k.ownKnown && k.renewing:
		return append(actions, k.askOwn(now))
	case !k.ownKnown:
		return actions
	}
	writes := k.due(now)
	if len(writes) == 0 && k.draining {
		k.released = true
		return append(actions, Released{})
	}
	if len(writes) > 0 {
		k.busy, k.sentAt, k.ownKnown = true, now, false
		actions = append(actions, Commit{writes})
	}
	return actions
}

// due returns the writes of the commit that is due, if any.
func (k *Keeper) due(now dfclock.Millis) []dfplatform.Write {
	k.renewing = false
	if k.draining {
		k.releasing = true
		return k.release()
	}
	if k.Valid(now) {
		if writes := k.claim(now); len(writes) > 0 {
			return append(writes, k.renew())
		}
	}
	if !k.joined || now.Reached(k.renewAt) {
		cleared := k.clearedRows()
		k.renewing = k.joined && len(cleared) == 0
		return append(cleared, k.renew())
	}
	return nil
}

// renew returns the write of the own host row.
func (k *Keeper) renew() dfplatform.Write {
	k.renewal++
	return dfplatform.Write{
		Key: HostKey(k.settings.Host), IfVersion: k.rows[HostKey(k.settings.Host)].row.Version,
		Value: encode(HostRow{
			k.settings.Host, k.Incarnation(), k.settings.Address, k.settings.Admin, k.settings.DataCentre, k.renewal,
		}),
	}
}

// committed takes the result of the commit in flight.
func (k *Keeper) committed(now dfclock.Millis, event Committed) []Action {
	switch event.Result {
	case Done:
		if k.releasing {
			k.released = true
			return []Action{Released{}}
		}
		k.joined = true
		k.validUntil = k.sentAt.Add(LeaseTTL - leaseMargin)
		k.renewAt = k.sentAt.Add(RenewInterval)
		if !k.renewing {
			k.readAt = min(k.readAt, now)
		}
	case Conflict:
		k.readAt = min(k.readAt, now)
	case Failed:
		k.failed(now)
	}
	return nil
}

// failed starts all sightings anew, because rows may look old only because
// their holders could not write either.
func (k *Keeper) failed(now dfclock.Millis) {
	k.readAt = now.Add(retryInterval)
	k.ownKnown, k.renewing = false, false
	for key, seen := range k.rows {
		seen.since, seen.readAt = now, 0
		k.rows[key] = seen
	}
}

// ask returns the read of everything that decisions rest on.
func (k *Keeper) ask(now dfclock.Millis) Action {
	k.busy, k.sentAt, k.readingOwn = true, now, false
	k.asked = make(map[string]bool)
	hosts := map[string]bool{HostKey(k.settings.Host): true}
	var prefixes []string
	for _, group := range k.order {
		prefixes = append(prefixes, SlotPrefix(group))
		for index := range k.wants[group].Slots {
			k.asked[SlotKey(group, index)] = true
			if holder := k.slotRow(group, index).Host; holder != "" {
				hosts[HostKey(holder)] = true
			}
		}
	}
	keys := make([]string, 0, len(hosts))
	for key := range hosts {
		keys = append(keys, key)
		k.asked[key] = true
	}
	sort.Strings(keys)
	k.calls = len(prefixes) + len(keys)
	return ReadRows{Prefixes: prefixes, Keys: keys}
}

// askOwn returns the read of the own host row, which tells its version after a
// renewal and whether a taker removed it.
func (k *Keeper) askOwn(now dfclock.Millis) Action {
	k.busy, k.sentAt, k.readingOwn = true, now, true
	return ReadRows{Keys: []string{HostKey(k.settings.Host)}}
}

// configure takes new groups. A slot that the configuration no longer has is lost.
func (k *Keeper) configure(event Configured) []Action {
	var actions []Action
	k.wants = make(map[dfgroup.ID]Want, len(event.Wants))
	k.order = nil
	for _, want := range event.Wants {
		k.wants[want.Group] = want
		k.order = append(k.order, want.Group)
	}
	sort.Slice(k.order, func(i, j int) bool { return k.order[i] < k.order[j] })
	for group, held := range k.slots {
		if held.index >= k.wants[group].Slots {
			actions = append(actions, k.lose(held, "the configuration no longer has the slot"))
		}
	}
	k.readAt = 0
	return actions
}

func (k *Keeper) lose(held *slot, why string) Action {
	delete(k.slots, held.group)
	return Lost{held.group, held.index, held.epoch, why}
}

// slotRow returns a slot's row as last read, zero if it is absent.
func (k *Keeper) slotRow(group dfgroup.ID, index int) SlotRow {
	return k.rows[SlotKey(group, index)].slot
}
