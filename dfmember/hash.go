// Package dfmember decides which hosts do what: rendezvous hashing over the
// host list, the choice of hosts per data centre, and the placement of slots.
package dfmember

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Host is one host of the system.
type Host struct {
	// ID is unique and never empty.
	ID         string
	DataCentre string
	// Address is the "ip:port" for other hosts.
	Address string
	// Leaving hosts take no new duties.
	Leaving bool
}

// score is the rendezvous weight of a host for a key.
func score(key, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

// Rank orders the hosts by their rendezvous weight for the key, the best
// first. The order does not depend on the order of the argument.
func Rank(key string, hosts []Host) []Host {
	type scored struct {
		weight uint64
		host   Host
	}
	all := make([]scored, len(hosts))
	for i, host := range hosts {
		all[i] = scored{score(key, host.ID), host}
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

// Choose returns the k best hosts for the key that are not leaving.
func Choose(key string, hosts []Host, k int) []Host {
	ranked := Rank(key, Staying(hosts))
	return ranked[:min(k, len(ranked))]
}

// ChoosePerDataCentre returns the k best hosts of each data centre for the key
// that are not leaving, by data centre.
func ChoosePerDataCentre(key string, hosts []Host, k int) map[string][]Host {
	chosen := make(map[string][]Host)
	for _, host := range Rank(key, Staying(hosts)) {
		if len(chosen[host.DataCentre]) < k {
			chosen[host.DataCentre] = append(chosen[host.DataCentre], host)
		}
	}
	return chosen
}

// Chosen reports whether the host is one of the k chosen in its data centre.
func Chosen(key string, hosts []Host, k int, id string) bool {
	for _, chosen := range ChoosePerDataCentre(key, hosts, k) {
		for _, host := range chosen {
			if host.ID == id {
				return true
			}
		}
	}
	return false
}

// Staying returns the hosts that are not leaving, in their order.
func Staying(hosts []Host) []Host {
	staying := make([]Host, 0, len(hosts))
	for _, host := range hosts {
		if !host.Leaving {
			staying = append(staying, host)
		}
	}
	return staying
}
