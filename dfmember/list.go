package dfmember

import (
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

// List is an immutable view of the hosts. It merges the platform's list, which
// lags, with the results of this host's own contacts.
type List struct {
	listed map[string]Host
	// contacts has the last successful contact by host ID.
	contacts map[string]contact
	// failingSince is the time of the first failed contact since the last
	// successful one, by host ID.
	failingSince map[string]dfclock.Millis
	// leaving has the IDs of hosts that have announced to a peer that they are
	// leaving. An ID is kept until the platform's list no longer contains the host.
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

// WithContact returns the list after a successful contact with a host.
func (l List) WithContact(host Host, at dfclock.Millis) List {
	contacts := make(map[string]contact, len(l.contacts)+1)
	for id, known := range l.contacts {
		if at.Since(known.at) <= unlistedTimeout {
			contacts[id] = known
		}
	}
	contacts[host.ID] = contact{host, at}
	l.contacts = contacts
	l.failingSince = withoutKey(l.failingSince, host.ID)
	if host.Leaving {
		return l.WithLeaving(host.ID)
	}
	return l
}

// WithFailedContact returns the list after a failed contact with a host.
func (l List) WithFailedContact(id string, at dfclock.Millis) List {
	if _, ok := l.failingSince[id]; ok {
		return l
	}
	failingSince := withoutKey(l.failingSince, id)
	failingSince[id] = at
	l.failingSince = failingSince
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

// Live returns the hosts that count as live, including those that are leaving,
// sorted by ID.
func (l List) Live(now dfclock.Millis) []Host {
	hosts := make([]Host, 0, len(l.listed))
	for id, host := range l.listed {
		if l.reachable(id, now) {
			hosts = append(hosts, l.withLeavingMark(host))
		}
	}
	for id, known := range l.contacts {
		if _, ok := l.listed[id]; ok || now.Since(known.at) > unlistedTimeout {
			continue
		}
		if l.reachable(id, now) {
			hosts = append(hosts, l.withLeavingMark(known.host))
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// Find returns a known host, live or not.
func (l List) Find(id string) (Host, bool) {
	if host, ok := l.listed[id]; ok {
		return l.withLeavingMark(host), true
	}
	if known, ok := l.contacts[id]; ok {
		return l.withLeavingMark(known.host), true
	}
	return Host{}, false
}

func (l List) reachable(id string, now dfclock.Millis) bool {
	since, failing := l.failingSince[id]
	return !failing || now.Since(since) < failureTimeout
}

func (l List) withLeavingMark(host Host) Host {
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
