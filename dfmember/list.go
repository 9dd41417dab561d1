package dfmember

import (
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

// List is an immutable view of the hosts. It joins the platform's list, which
// lags, with what this host's own contacts show.
type List struct {
	listed map[string]Host
	// heard has hosts by ID with the last instant of a successful contact.
	heard map[string]contact
	// failing has the first failed contact since the last successful one.
	failing map[string]dfclock.Millis
	// leaving has hosts that announced their leaving to a peer; a mark is kept
	// until the platform's list has dropped the host.
	leaving map[string]bool
}

type contact struct {
	host Host
	at   dfclock.Millis
}

// NewList returns an empty list.
func NewList() List {
	return List{}
}

// WithMembers returns the list after the platform answered with its members.
// Upstreams among the members are ignored.
func (l List) WithMembers(members []dfplatform.Member) List {
	listed := make(map[string]Host, len(members))
	for _, member := range members {
		if member.Kind != dfplatform.KindHost || member.ID == "" {
			continue
		}
		listed[member.ID] = Host{
			ID: member.ID, DataCentre: member.DataCentre,
			Address: member.Address, Leaving: member.Leaving,
		}
	}
	leaving := make(map[string]bool)
	for id := range l.leaving {
		if _, ok := listed[id]; ok {
			leaving[id] = true
		}
	}
	l.listed = listed
	l.leaving = leaving
	return l
}

// WithHeard returns the list after a successful contact with a host.
func (l List) WithHeard(host Host, at dfclock.Millis) List {
	heard := make(map[string]contact, len(l.heard)+1)
	for id, known := range l.heard {
		if at.Since(known.at) <= heardBound {
			heard[id] = known
		}
	}
	heard[host.ID] = contact{host, at}
	l.heard = heard
	l.failing = withoutKey(l.failing, host.ID)
	if host.Leaving {
		return l.WithLeaving(host.ID)
	}
	return l
}

// WithFailed returns the list after a failed contact with a host.
func (l List) WithFailed(id string, at dfclock.Millis) List {
	if _, ok := l.failing[id]; ok {
		return l
	}
	failing := withoutKey(l.failing, id)
	failing[id] = at
	l.failing = failing
	return l
}

// WithLeaving returns the list with a host marked as leaving.
func (l List) WithLeaving(id string) List {
	leaving := map[string]bool{id: true}
	for known := range l.leaving {
		leaving[known] = true
	}
	l.leaving = leaving
	return l
}

// Live returns the hosts that count as live, leaving ones included, by ID.
func (l List) Live(now dfclock.Millis) []Host {
	hosts := make([]Host, 0, len(l.listed))
	for id, host := range l.listed {
		if l.alive(id, now) {
			hosts = append(hosts, l.marked(host))
		}
	}
	for id, known := range l.heard {
		if _, ok := l.listed[id]; ok || now.Since(known.at) > heardBound {
			continue
		}
		if l.alive(id, now) {
			hosts = append(hosts, l.marked(known.host))
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// Find returns a host that the list knows, live or not.
func (l List) Find(id string) (Host, bool) {
	if host, ok := l.listed[id]; ok {
		return l.marked(host), true
	}
	if known, ok := l.heard[id]; ok {
		return l.marked(known.host), true
	}
	return Host{}, false
}

func (l List) alive(id string, now dfclock.Millis) bool {
	since, failing := l.failing[id]
	return !failing || now.Since(since) < silentBound
}

func (l List) marked(host Host) Host {
	host.Leaving = host.Leaving || l.leaving[host.ID]
	return host
}

func withoutKey(instants map[string]dfclock.Millis, id string) map[string]dfclock.Millis {
	next := make(map[string]dfclock.Millis, len(instants)+1)
	for known, at := range instants {
		if known != id {
			next[known] = at
		}
	}
	return next
}
