package dfquota

import (
	"slices"
	"strings"

	"dragonflygrade/dfmember"
)

// ranking orders the hosts that may own an organisation.
type ranking struct {
	// hosts are the known hosts that are not leaving, sorted by ID.
	hosts []dfmember.Host
	// candidates caches the indexes of the first hosts by rank.
	candidates map[string][]uint16
	// positions caches the rank of this host for an organisation, and holderHosts the
	// hosts that may grant for it.
	positions   map[string]int
	holderHosts []dfmember.Host
}

// set replaces the hosts and reports whether they changed.
func (r *ranking) set(hosts []dfmember.Host) bool {
	next := dfmember.NotLeaving(hosts)
	slices.SortFunc(next, func(a, b dfmember.Host) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(next, r.hosts) {
		return false
	}
	*r = ranking{hosts: next, candidates: map[string][]uint16{}, positions: map[string]int{}}
	return true
}

// of returns the candidates for an organisation. The second is in another data
// centre than the first, and the third in a third one, so that one candidate outlives
// the loss of a data centre.
func (r *ranking) of(organisation string) []uint16 {
	if candidates, ok := r.candidates[organisation]; ok || len(r.hosts) == 0 {
		return candidates
	}
	ranked := dfmember.Rank("quota/"+organisation, r.hosts)
	seen := map[string]bool{}
	var first, rest []dfmember.Host
	for _, host := range ranked {
		if seen[host.DataCentre] {
			rest = append(rest, host)
			continue
		}
		seen[host.DataCentre] = true
		first = append(first, host)
	}
	ordered := slices.Concat(first, rest)
	ordered = ordered[:min(maxCandidates, len(ordered))]
	candidates := make([]uint16, len(ordered))
	for i, host := range ordered {
		at, _ := r.find(host.ID)
		candidates[i] = uint16(at)
	}
	r.candidates[organisation] = candidates
	return candidates
}

// find returns the index of a host by its ID.
func (r *ranking) find(id string) (index int, ok bool) {
	return slices.BinarySearchFunc(r.hosts, id, func(known dfmember.Host, id string) int {
		return strings.Compare(known.ID, id)
	})
}

// without returns the hosts but for two.
func (r *ranking) without(a, b string) []dfmember.Host {
	return slices.DeleteFunc(slices.Clone(r.hosts), func(host dfmember.Host) bool {
		return host.ID == a || host.ID == b
	})
}

// position returns the rank of a host among all hosts for an organisation.
func (r *ranking) position(organisation string, self dfmember.Host) int {
	if position, ok := r.positions[organisation]; ok {
		return position
	}
	position := slices.IndexFunc(dfmember.Rank("reserve/"+organisation, r.hosts), func(host dfmember.Host) bool { return host.ID == self.ID })
	if position < 0 {
		position = len(r.hosts)
	}
	if r.positions != nil {
		r.positions[organisation] = position
	}
	return position
}

// holders returns the hosts that may grant for a host while it is cut off, the first ones
// of its data centre by rank as far as itself.
func (r *ranking) holders(self dfmember.Host) []dfmember.Host {
	if r.holderHosts == nil {
		r.holderHosts = []dfmember.Host{}
		for _, host := range dfmember.Rank("reserve", r.hosts) {
			if host.ID == self.ID || len(r.holderHosts) == maxHolders {
				break
			}
			if host.DataCentre == self.DataCentre {
				r.holderHosts = append(r.holderHosts, host)
			}
		}
	}
	return r.holderHosts
}
