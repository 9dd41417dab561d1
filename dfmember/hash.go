// Package dfmember assigns work to hosts: rendezvous hashing over the host list,
// selection of hosts per data centre, and placement of slots.
package dfmember

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Host is a member of the system.
type Host struct {
	// ID is unique and never empty.
	ID         string
	DataCentre string
	// Address is the "ip:port" on which other hosts connect.
	Address string
	// Leaving hosts get no new work.
	Leaving bool
}

// rendezvousWeight returns the weight of a host, or of a cell, for a key.
func rendezvousWeight(key, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// Rank sorts the hosts by descending rendezvous weight for the key. The result
// does not depend on the order of the argument.
func Rank(key string, hosts []Host) []Host {
	type weighted struct {
		weight uint64
		host   Host
	}
	all := make([]weighted, len(hosts))
	for i, host := range hosts {
		all[i] = weighted{rendezvousWeight(key, host.ID), host}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].host.ID < all[j].host.ID
	})
	ranked := make([]Host, len(all))
	for i := range all {
		ranked[i] = all[i].host
	}
	return ranked
}

// RankOf returns the rank of a host for the key, counted from 0, or -1 if the
// host is not among the hosts.
func RankOf(key string, hosts []Host, id string) int {
	for rank, host := range Rank(key, hosts) {
		if host.ID == id {
			return rank
		}
	}
	return -1
}

// Choose returns the k highest-ranked hosts for the key that are not leaving.
func Choose(key string, hosts []Host, k int) []Host {
	ranked := Rank(key, NotLeaving(hosts))
	return ranked[:min(k, len(ranked))]
}

// ChoosePerDataCentre returns the k highest-ranked hosts of each data centre for
// the key that are not leaving, by data centre.
func ChoosePerDataCentre(key string, hosts []Host, k int) map[string][]Host {
	chosen := make(map[string][]Host)
	for _, host := range Rank(key, NotLeaving(hosts)) {
		if len(chosen[host.DataCentre]) < k {
			chosen[host.DataCentre] = append(chosen[host.DataCentre], host)
		}
	}
	return chosen
}

// IsChosen reports whether ChoosePerDataCentre selects the host.
func IsChosen(key string, hosts []Host, k int, id string) bool {
	for _, chosen := range ChoosePerDataCentre(key, hosts, k) {
		for _, host := range chosen {
			if host.ID == id {
				return true
			}
		}
	}
	return false
}

// NotLeaving returns the hosts that are not leaving, in the same order.
func NotLeaving(hosts []Host) []Host {
	remaining := make([]Host, 0, len(hosts))
	for _, host := range hosts {
		if !host.Leaving {
			remaining = append(remaining, host)
		}
	}
	return remaining
}
