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
}

// set replaces the hosts and reports whether they changed.
func (r *ranking) set(hosts []dfmember.Host) bool {
	next := dfmember.NotLeaving(hosts)
	slices.SortFunc(next, func(a, b dfmember.Host) int { return strings.Compare(a.ID, b.ID) })
	if slices.Equal(next, r.hosts) {
		return false
	}
	r.hosts, r.candidates = next, map[string][]uint16{}
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
