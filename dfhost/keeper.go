package dfhost

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dflease"
	"dragonflygrade/dfplatform"
)

// Bounds of the lease duty.
const (
	// keeperTick is how often the keeper is told that time has passed.
	keeperTick = 100 * time.Millisecond
	// keeperRing bounds the events that wait for the keeper.
	keeperRing = 256
	// tableTimeout bounds one read or commit of the table.
	tableTimeout = 4 * time.Second
	// clearingGrace is how long a slot whose earlier connections are ended at a
	// majority waits for the other upstreams, which may be down.
	clearingGrace = 5 * dfclock.Second
)

// keeper runs the decisions of dflease: one goroutine takes events and carries
// out the actions.
type keeper struct {
	host     *Host
	inbox    chan dflease.Event
	done     chan struct{}
	attempts *dfplatform.Attempts
	released chan struct{}

	mu    sync.Mutex
	state *dflease.Manager

	// era is the era of the table that state knows of, or 0.
	era atomic.Uint64
	// claimed belongs to the keeper's goroutine: slots whose holder is not open
	// yet, with the instant of the claim.
	claimed map[dfgroup.ID]claimedSlot
}

// claimedSlot is a slot whose row names this host.
type claimedSlot struct {
	dflease.Held
	at dfclock.Millis
}

func newKeeper(h *Host) *keeper {
	source := rand.New(rand.NewPCG(hostSeed(h.settings.ID), hash64(h.incarnation)))
	return &keeper{
		host:     h,
		inbox:    make(chan dflease.Event, keeperRing),
		done:     make(chan struct{}),
		attempts: dfplatform.NewAttempts(h.incarnation, source),
		released: make(chan struct{}),
		claimed:  make(map[dfgroup.ID]claimedSlot),
	}
}

// begin makes the decision value once the peer address is known.
func (k *keeper) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = dflease.NewManager(dflease.Settings{
		Host: k.host.settings.ID, Incarnation: k.host.incarnation,
		Address: k.host.PeerAddress(), Admin: k.host.AdminAddress(), DataCentre: k.host.settings.DataCentre,
	})
}

// now is the clock of leases.
func (k *keeper) now() dfclock.Millis {
	if k.host.settings.LeaseClock != nil {
		return k.host.settings.LeaseClock()
	}
	return k.host.now()
}

func (k *keeper) run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(keeperTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-k.inbox:
			k.step(ctx, event)
		case <-ticker.C:
			k.step(ctx, dflease.Tick{})
			k.observeEra(ctx)
			k.openClaimed()
		}
	}
}

// observeEra makes the decisions read all rows again in a later era of the table.
func (k *keeper) observeEra(ctx context.Context) {
	before, era := k.era.Load(), k.host.settings.Platform.Era()
	if era <= before {
		return
	}
	if before > 0 {
		k.host.log.Warn().Uint64("Before", before).Uint64("Era", era).Msg("slots: the platform came back from an older copy, reading all rows")
		k.step(ctx, dflease.TableRestored{})
	}
	k.era.Store(era)
}

// ownersKnown reports whether the slot rows that the table answers show all owners.
func (k *keeper) ownersKnown() bool {
	if era := k.era.Load(); era > 0 && k.host.settings.Platform.Era() > era {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.OwnersKnown(k.now())
}

// post hands an event over; it waits for room.
func (k *keeper) post(event dflease.Event) {
	select {
	case k.inbox <- event:
	case <-k.done:
	}
}

func (k *keeper) step(ctx context.Context, event dflease.Event) {
	k.mu.Lock()
	actions := k.state.Step(k.now(), event)
	k.mu.Unlock()
	if read, ok := event.(dflease.RowsRead); ok {
		k.host.slots.takeRows(read)
	}
	k.tellHeld()
	for _, action := range actions {
		k.perform(ctx, action)
	}
}

// tellHeld tells the holders how long the host lease covers their slots. The
// clock of leases may differ from the host's clock by a constant.
func (k *keeper) tellHeld() {
	k.mu.Lock()
	left := k.state.ValidUntil().Since(k.now())
	k.mu.Unlock()
	if left <= 0 {
		return
	}
	until := k.host.now().Add(left)
	for _, holder := range k.host.slots.all() {
		if slot, held := k.slot(holder.Group()); held && slot.Epoch == holder.Epoch() {
			holder.SetHeldUntil(until)
		}
	}
}

func (k *keeper) perform(ctx context.Context, action dflease.Action) {
	platform := k.host.settings.Platform
	switch a := action.(type) {
	case dflease.ReadRows:
		askedAt := k.now()
		k.call(ctx, func(ctx context.Context) dflease.Event { return dflease.Read(ctx, platform, a, askedAt) })
	case dflease.Commit:
		attempt := k.attempts.Next()
		k.call(ctx, func(ctx context.Context) dflease.Event { return dflease.Write(ctx, platform, attempt, a) })
	case dflease.Held:
		k.held(a)
	case dflease.Terminate:
		k.call(ctx, func(ctx context.Context) dflease.Event { return k.terminate(ctx, a) })
	case dflease.Ready:
		k.openClaimed()
	case dflease.Probe:
		k.probe(ctx, a)
	case dflease.Lost:
		k.lost(a)
	case dflease.Released:
		close(k.released)
	}
}

// call runs a bounded call beside the keeper's goroutine.
func (k *keeper) call(ctx context.Context, call func(context.Context) dflease.Event) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		k.post(call(ctx))
	}()
}

func (k *keeper) held(held dflease.Held) {
	k.claimed[held.Group] = claimedSlot{Held: held, at: k.now()}
	outcome := "claimed"
	if held.Epoch > 1 {
		outcome = "taken over"
	}
	k.host.record(dfaudit.Entry{
		Who: k.host.settings.ID, Kind: dfaudit.KindSlot, Service: string(held.Group),
		To: fmt.Sprintf("slot %d epoch %d", held.Index, held.Epoch), Outcome: outcome,
	})
	k.host.log.Info().Str("Group", string(held.Group)).Int("Slot", held.Index).Uint64("Epoch", held.Epoch).Msg("slots: " + outcome)
}

// openClaimed opens the holders of slots that no earlier owner's connections
// are in the way of.
func (k *keeper) openClaimed() {
	for group, claimed := range k.claimed {
		if !k.cleared(group, claimed) {
			continue
		}
		delete(k.claimed, group)
		k.host.slots.start(claimed.Held)
	}
}

// cleared reports whether earlier connections have ended everywhere, or at a
// majority while the other upstreams give no answer.
func (k *keeper) cleared(group dfgroup.ID, claimed claimedSlot) bool {
	database, found := k.host.configuration().Database(group)
	if !found {
		return false
	}
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	all, any := true, false
	for _, upstream := range database.Upstreams {
		all = all && k.state.Cleared(group, upstream.ID)
		any = any || k.state.MayOpen(group, upstream.ID, now)
	}
	return all || any && now.Since(claimed.at) >= clearingGrace
}

func (k *keeper) lost(lost dflease.Lost) {
	delete(k.claimed, lost.Group)
	k.host.slots.stop(lost.Group)
	k.host.record(dfaudit.Entry{
		Who: k.host.settings.ID, Kind: dfaudit.KindSlot, Service: string(lost.Group),
		From: fmt.Sprintf("slot %d epoch %d", lost.Index, lost.Epoch), Why: lost.Why, Outcome: "lost",
	})
	k.host.log.Warn().Str("Group", string(lost.Group)).Int("Slot", lost.Index).Str("Why", lost.Why).Msg("slots: lost")
}

func (k *keeper) probe(ctx context.Context, action dflease.Probe) {
	holder := k.host.slots.holder(action.Group)
	if holder == nil || holder.Epoch() != action.Epoch {
		return
	}
	for _, upstream := range holder.Upstreams() {
		go func() {
			askedAt := k.now()
			openedAt, ok := holder.Probe(ctx, upstream)
			if ok {
				k.post(dflease.ProbeAnswered{Group: action.Group, Epoch: action.Epoch, Upstream: upstream, OpenedAt: openedAt, SentAt: askedAt})
			}
		}()
	}
}

// mayOpen reports whether connections to the upstream may be opened or used for
// the first time now.
func (k *keeper) mayOpen(group dfgroup.ID, upstream dfgroup.UpstreamID) bool {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.MayOpen(group, upstream, now)
}

// mayGrant reports whether position leases of the group may be granted.
func (k *keeper) mayGrant(group dfgroup.ID, primary dfgroup.UpstreamID) bool {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Valid(now) && k.state.Cleared(group, primary)
}

// valid reports whether the host lease is valid.
func (k *keeper) valid() bool {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Valid(now)
}

// slot returns the slot of the group that the table gives to this host.
func (k *keeper) slot(group dfgroup.ID) (dflease.Held, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Slot(group)
}

// incarnation is the one that the rows of this host carry now.
func (k *keeper) incarnation() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Incarnation()
}

// release gives all slots and the lease back. Connections are closed before.
func (k *keeper) release(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	k.post(dflease.Drained{})
	select {
	case <-k.released:
		return true
	case <-ctx.Done():
		return false
	}
}
