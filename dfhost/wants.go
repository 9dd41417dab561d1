package dfhost

import (
	"reflect"

	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dflease"
	"dragonflygrade/dfmember"
)

// wants is what the keeper is told of groups and hosts.
type wants struct {
	groups []dflease.GroupSpec
	live   []string
}

// plan tells the keeper of changed groups or hosts.
func (s *slots) plan() {
	if !s.host.members.settled() {
		return
	}
	next := s.wanted(s.host.configuration())
	s.mu.Lock()
	previous := s.wants
	s.wants = next
	s.mu.Unlock()
	if !reflect.DeepEqual(previous.live, next.live) {
		s.keeper.post(dflease.LiveHosts{IDs: next.live})
	}
	if !reflect.DeepEqual(previous.groups, next.groups) {
		s.keeper.post(dflease.Configured{Groups: next.groups})
	}
}

func (s *slots) wanted(snapshot dfconfig.Snapshot) wants {
	var next wants
	live := dfmember.NotLeaving(s.host.members.live())
	for _, host := range live {
		next.live = append(next.live, host.ID)
	}
	var groups []dfmember.Group
	for _, group := range snapshot.Groups() {
		database, _ := snapshot.Database(group)
		groups = append(groups, dfmember.Group{ID: string(group), Slots: database.Slots})
	}
	placement := dfmember.Place(live, groups)
	for _, group := range snapshot.Groups() {
		candidates := placement.Candidates(string(group))
		if !s.concerns(group, candidates) {
			continue
		}
		database, _ := snapshot.Database(group)
		slots, _ := s.capped(group, database)
		want := dflease.GroupSpec{Group: group, Slots: slots}
		if !s.host.draining.Load() {
			want.Candidates = candidates
		}
		for _, upstream := range database.Upstreams {
			want.Upstreams = append(want.Upstreams, upstream.ID)
		}
		next.groups = append(next.groups, want)
	}
	return next
}

// concerns reports whether this host may take a slot of the group or has one.
// Other groups cost no reads of the table.
func (s *slots) concerns(group dfgroup.ID, candidates []string) bool {
	if _, held := s.keeper.slot(group); held {
		return true
	}
	for _, candidate := range candidates {
		if candidate == s.host.settings.ID {
			return true
		}
	}
	return false
}
