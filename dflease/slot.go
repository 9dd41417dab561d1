package dflease

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// stage is a stage of closing earlier owners' connections at an upstream.
type stage int

const (
	terminating stage = iota
	waiting
	terminatingAgain
	cleared
)

// clearingProgress is the progress of closing earlier owners' connections at one
// upstream.
type clearingProgress struct {
	stage stage
	// nextStepAt is when the next termination is due.
	nextStepAt dfclock.Millis
}

// slot is the state of a slot that this host owns.
type slot struct {
	group dfgroup.ID
	index int
	epoch uint64
	// clearedEpoch is SlotRow.Cleared as of the claim.
	clearedEpoch uint64
	// earlierNames are the application names of earlier owners that may have
	// connections.
	earlierNames []string
	// lacksOwners is true if earlier owners are unknown. Connections of all epochs but
	// the slot's own are terminated then.
	lacksOwners bool
	upstreams   map[dfgroup.UpstreamID]clearingProgress
	// probeSentAt is when the last answered probe was sent, by upstream.
	probeSentAt map[dfgroup.UpstreamID]dfclock.Millis
	// unconfirmedSince is when an upstream terminated a connection. While
	// unconfirmed is set, no connection may be opened; a read requested after
	// unconfirmedSince that confirms the row resets it.
	unconfirmedSince dfclock.Millis
	unconfirmed      bool
	nextProbeAt      dfclock.Millis
}

// clearUpstreams returns the actions that are due to clear the upstreams.
func (s *slot) clearUpstreams(now dfclock.Millis, upstreams []dfgroup.UpstreamID) []Action {
	var actions []Action
	for _, id := range upstreams {
		progress, ok := s.upstreams[id]
		if !ok && len(s.earlierNames) == 0 && !s.lacksOwners {
			s.upstreams[id] = clearingProgress{stage: cleared}
			actions = append(actions, Ready{s.group, s.epoch, id})
			continue
		}
		if progress.stage == cleared || !now.Reached(progress.nextStepAt) {
			continue
		}
		if progress.stage == waiting {
			progress.stage = terminatingAgain
		}
		progress.nextStepAt = now.Add(terminateTimeout)
		s.upstreams[id] = progress
		actions = append(actions, s.termination(id, progress.stage == terminatingAgain))
	}
	return actions
}

// termination returns the termination of earlier owners' connections to an upstream.
func (s *slot) termination(upstream dfgroup.UpstreamID, again bool) Terminate {
	action := Terminate{Group: s.group, Epoch: s.epoch, Upstream: upstream, Again: again, Names: s.earlierNames}
	if s.lacksOwners {
		action.Names = nil
		action.Prefix, action.Own = applicationPrefix(s.group, s.index), ApplicationName(s.group, s.index, s.epoch)
	}
	return action
}

// handleTerminated processes the result of a termination at an upstream.
func (s *slot) handleTerminated(now dfclock.Millis, event Terminated) []Action {
	progress, ok := s.upstreams[event.Upstream]
	if !ok || progress.stage == cleared || progress.stage == waiting {
		return nil
	}
	if event.Again != (progress.stage == terminatingAgain) {
		return nil
	}
	if !event.OK {
		progress.nextStepAt = now.Add(retryInterval)
		s.upstreams[event.Upstream] = progress
		return nil
	}
	if progress.stage == terminating {
		s.upstreams[event.Upstream] = clearingProgress{waiting, now.Add(clearingWait)}
		return nil
	}
	s.upstreams[event.Upstream] = clearingProgress{stage: cleared}
	return []Action{Ready{s.group, s.epoch, event.Upstream}}
}

// clearedUpstreams reports whether all upstreams and whether a majority of them
// are cleared.
func (s *slot) clearedUpstreams(upstreams []dfgroup.UpstreamID) (all, majority bool) {
	count := 0
	for _, id := range upstreams {
		if s.upstreams[id].stage == cleared {
			count++
		}
	}
	return count == len(upstreams), count > len(upstreams)/2
}

// probedByMajority reports whether connections to a majority of upstreams have
// answered probes within probeValidity. Only connections that were opened under a
// valid lease count: a new owner's first termination comes after the lease has
// expired, closes all of them at an upstream, and is done at a majority before the
// new owner opens connections.
func (s *slot) probedByMajority(now dfclock.Millis, upstreams []dfgroup.UpstreamID) bool {
	count := 0
	for _, id := range upstreams {
		if sentAt, ok := s.probeSentAt[id]; ok && now.Since(sentAt) < probeValidity {
			count++
		}
	}
	return count > len(upstreams)/2
}
