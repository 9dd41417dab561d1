package dfhost

import (
	"context"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfholder"
	"dragonflygrade/dfsession"
)

const (
	// limitSpan is how long a raised share or a raised number of slots waits
	// after a version came into force, so that every other holder has lowered
	// its share first. It is above the span in which a version spreads.
	limitSpan = 6 * dfclock.Second
	// restartStep separates the restarts of the holders of one database, whose
	// upstreams changed, so that others serve meanwhile.
	restartStep = dfsession.LeaseTTL + 500*dfclock.Millisecond
	// restartTimeout bounds the wait for the units of a holder that restarts.
	restartTimeout = 5 * time.Second
	// restartPause separates looks at the units that still run.
	restartPause = 10 * dfclock.Millisecond
)

// limitCap holds the slot count and the share of a database down for a while after
// a version raised them.
type limitCap struct {
	slots, share int
	until        dfclock.Millis
}

// configured takes a newer version: changed limits and upstreams are put in
// force at the held slots, and the keeper is told of groups and slot counts.
func (s *slots) configured(previous, next dfconfig.Snapshot) {
	now := s.host.now()
	for _, group := range next.Groups() {
		before, existed := previous.Database(group)
		after, _ := next.Database(group)
		if !existed {
			continue
		}
		if after.Slots > before.Slots || after.Share() > before.Share() {
			s.mu.Lock()
			s.caps[group] = limitCap{slots: before.Slots, share: before.Share(), until: now.Add(limitSpan)}
			s.mu.Unlock()
		}
		s.change(group, before, after)
	}
	go s.plan()
}

// capped returns the slot count and the share of a database that apply now.
func (s *slots) capped(group dfgroup.ID, database dfconfig.Database) (slots, share int) {
	s.mu.RLock()
	limit, found := s.caps[group]
	s.mu.RUnlock()
	if !found || !s.host.now().Before(limit.until) {
		return database.Slots, database.Share()
	}
	return min(limit.slots, database.Slots), min(limit.share, database.Share())
}

// change puts the changed database of a held slot in force.
func (s *slots) change(group dfgroup.ID, before, after dfconfig.Database) {
	holder := s.holder(group)
	if holder == nil {
		return
	}
	if !sameUpstreams(before, after) {
		go s.restart(s.host.ctx, group, holder)
		return
	}
	s.limit(group, holder)
}

// limit gives a held slot the share that applies now, and a raised share later.
func (s *slots) limit(group dfgroup.ID, holder *dfholder.Holder) {
	database, found := s.host.configuration().Database(group)
	if !found {
		return
	}
	_, share := s.capped(group, database)
	holder.SetShare(share)
	if share == database.Share() {
		return
	}
	go func() {
		if sleep(s.host.ctx, limitSpan) {
			s.limit(group, holder)
		}
	}()
}

func sameUpstreams(before, after dfconfig.Database) bool {
	if len(before.Upstreams) != len(after.Upstreams) {
		return false
	}
	for i, upstream := range before.Upstreams {
		if upstream != after.Upstreams[i] {
			return false
		}
	}
	return true
}

// restart closes a holder once its units have ended and opens it with the new
// upstreams. Requests go to the other holders meanwhile.
func (s *slots) restart(ctx context.Context, group dfgroup.ID, holder *dfholder.Holder) {
	if !sleep(ctx, dfclock.Millis(holder.Slot())*restartStep) || !s.withdraw(group, holder) {
		return
	}
	bound := s.host.now().Add(dfclock.Millis(restartTimeout.Milliseconds()))
	for holder.InFlight() > 0 && s.host.now().Before(bound) && sleep(ctx, restartPause) {
		continue
	}
	holder.Close()
	held, still := s.keeper.slot(group)
	if ctx.Err() == nil && still && held.Epoch == holder.Epoch() {
		s.start(held)
	}
}

// withdraw takes a holder out of use, unless another took its place.
func (s *slots) withdraw(group dfgroup.ID, holder *dfholder.Holder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders[group] != holder {
		return false
	}
	delete(s.holders, group)
	s.former[group] = holder
	return true
}
