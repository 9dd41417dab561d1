package dflease

import (
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// stage is how far an upstream is cleared of earlier owners' connections.
type stage int

const (
	terminating stage = iota
	waiting
	terminatingAgain
	cleared
)

// clearing is the progress at one upstream.
type clearing struct {
	stage stage
	// due is when the next step is taken.
	due dfclock.Millis
}

// slot is a slot whose row names this host.
type slot struct {
	group dfgroup.ID
	index int
	epoch uint64
	// base is the highest epoch known to be cleared when the slot was claimed.
	base uint64
	// names are the application names of earlier owners, empty if none is left.
	names     []string
	upstreams map[dfgroup.UpstreamID]clearing
	// proofs has when the last answered probe was sent, by upstream.
	proofs map[dfgroup.UpstreamID]dfclock.Millis
	// doubtedAt is when a connection was cut; while doubted no connection may
	// be opened until a read that was asked for later confirms the row.
	doubtedAt dfclock.Millis
	doubted   bool
	probeAt   dfclock.Millis
}

// step takes the due steps of clearing the upstreams.
func (s *slot) step(now dfclock.Millis, order []dfgroup.UpstreamID) []Action {
	var actions []Action
	for _, id := range order {
		progress, ok := s.upstreams[id]
		if !ok && len(s.names) == 0 {
			s.upstreams[id] = clearing{stage: cleared}
			actions = append(actions, Ready{s.group, s.epoch, id})
			continue
		}
		if progress.stage == cleared || !now.Reached(progress.due) {
			continue
		}
		if progress.stage == waiting {
			progress.stage = terminatingAgain
		}
		progress.due = now.Add(terminateTimeout)
		s.upstreams[id] = progress
		actions = append(actions, Terminate{s.group, s.epoch, id, progress.stage == terminatingAgain, s.names})
	}
	return actions
}

// terminated takes the answer of an upstream.
func (s *slot) terminated(now dfclock.Millis, event Terminated) []Action {
	progress, ok := s.upstreams[event.Upstream]
	if !ok || progress.stage == cleared || progress.stage == waiting {
		return nil
	}
	if event.Again != (progress.stage == terminatingAgain) {
		return nil
	}
	if !event.OK {
		progress.due = now.Add(retryInterval)
		s.upstreams[event.Upstream] = progress
		return nil
	}
	if progress.stage == terminating {
		s.upstreams[event.Upstream] = clearing{waiting, now.Add(clearingWait)}
		return nil
	}
	s.upstreams[event.Upstream] = clearing{stage: cleared}
	return []Action{Ready{s.group, s.epoch, event.Upstream}}
}

// clear reports whether all upstreams, or else a majority, are cleared.
func (s *slot) clear(upstreams []dfgroup.UpstreamID) (all, majority bool) {
	count := 0
	for _, id := range upstreams {
		if s.upstreams[id].stage == cleared {
			count++
		}
	}
	return count == len(upstreams), count > len(upstreams)/2
}

// proven reports whether connections to a majority of upstreams answered probes
// lately. Only connections from the time of a valid lease count: a taker's
// first termination comes later and cuts them all, and it clears a majority.
func (s *slot) proven(now dfclock.Millis, upstreams []dfgroup.UpstreamID) bool {
	count := 0
	for _, id := range upstreams {
		if asked, ok := s.proofs[id]; ok && now.Since(asked) < proofSpan {
			count++
		}
	}
	return count > len(upstreams)/2
}
