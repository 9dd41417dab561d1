package dfneighbour

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// hostKey identifies a host in messages. Two hosts with the same key count as
// one, so that a majority is never overestimated.
func hostKey(address string) uint32 {
	return uint32(xxhash.Sum64String(address)) // #nosec G115 -- the lower half is a hash as well
}

// recordContact records a contact with a host, unless a later one is known.
func (v *View) recordContact(host uint32, at dfclock.Millis) {
	if known, ok := v.contacts[host]; !ok || known < at {
		v.contacts[host] = at
	}
}

// Contacts returns the contacts with this host and the others of its data centre.
func (v *View) Contacts(now dfclock.Millis) []Contact {
	contacts := []Contact{{Host: hostKey(v.self.Address)}}
	for address, known := range v.neighbours {
		key := hostKey(address)
		if at, ok := v.contacts[key]; ok && known.host.DataCentre == v.self.DataCentre {
			contacts = append(contacts, Contact{Host: key, Age: now - at})
		}
	}
	return contacts
}

// MarkComplete records that all hosts are known.
func (v *View) MarkComplete() {
	v.allHostsKnown = true
}

// QuorumAt returns the latest time at which this host was in contact with a
// majority of the hosts, directly or through neighbours, or a negative value. It
// may lack information that a majority received later.
func (v *View) QuorumAt(now dfclock.Millis) dfclock.Millis {
	if !v.allHostsKnown && !v.rosterKnown() {
		return unset
	}
	if v.quorumCountedAt == unset || now-v.quorumCountedAt >= quorumTTL {
		v.quorumCountedAt, v.quorumAt = now, max(v.quorumAt, v.majorityContactAt(now))
	}
	return v.quorumAt
}

// majorityContactAt returns the latest time since which each host of some
// majority was in contact, according to this host's own records, or unset.
func (v *View) majorityContactAt(now dfclock.Millis) dfclock.Millis {
	if v.rosterKnown() {
		return v.roster.MajorityAt(now, v.lastContact)
	}
	own := hostKey(v.self.Address)
	times := map[uint32]dfclock.Millis{own: now}
	total := 1
	for address, known := range v.neighbours {
		if known.host.ID == "" {
			continue
		}
		total++
		key := hostKey(address)
		if at, ok := v.contacts[key]; ok && key != own {
			times[key] = at
		}
	}
	majority := total/2 + 1
	if len(times) < majority {
		return unset
	}
	sorted := make([]dfclock.Millis, 0, len(times))
	for _, at := range times {
		sorted = append(sorted, at)
	}
	slices.Sort(sorted)
	return sorted[len(sorted)-majority]
}

// OtherHosts returns the other hosts that count: those of the host table, or all whose ID
// is known.
func (v *View) OtherHosts() []dfmember.Host {
	if v.rosterKnown() {
		return slices.DeleteFunc(v.roster.Hosts(), func(host dfmember.Host) bool { return host.ID == v.self.ID })
	}
	hosts := make([]dfmember.Host, 0, len(v.neighbours))
	for _, known := range v.neighbours {
		if known.host.ID != "" {
			hosts = append(hosts, known.host)
		}
	}
	return hosts
}

// HeardAt returns when a host first answered this one, or a negative value. That host
// tells the others of this one.
func (v *View) HeardAt() dfclock.Millis {
	return v.heardAt
}
