package dfmember

import (
	"math/bits"
	"slices"
	"sort"
	"strconv"
)

// Group is a database group to place.
type Group struct {
	ID string
	// Slots is the number of hosts that may hold connections; at least 1.
	Slots int
}

// Placement assigns slots to their preferred holders. Groups with the same number
// of slots share cells: the hosts of a cell hold the slots of all its groups, so
// that a host exchanges position leases only with the few hosts of its cells.
type Placement struct {
	// cells has the hosts of each cell: the slot holders, then the standbys.
	cells map[string][]string
	// cellOf maps each group to its cell.
	cellOf map[string]string
}

// Place computes the placement. Hosts that compute it from the same list get the
// same result, and a change of the list moves few holders. Leaving hosts are left
// out.
func Place(hosts []Host, groups []Group) Placement {
	hosts = NotLeaving(hosts)
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	placement := Placement{cells: make(map[string][]string), cellOf: make(map[string]string)}
	sizes := make(map[int]bool)
	for _, group := range groups {
		sizes[group.Slots] = true
	}
	for slots := range sizes {
		names := cellNames(slots, len(hosts))
		placement.assignHosts(names, slots, hosts)
		placement.assignGroups(names, slots, groups)
	}
	return placement
}

// assignGroups assigns each group with the given number of slots to the cell with
// the highest rendezvous weight that is below its capacity. Capacity is bounded
// because plain rendezvous hashing fills some cells to twice the mean. Groups are
// assigned in the order of their IDs, so that the order of the list has no effect.
func (p Placement) assignGroups(names []string, slots int, groups []Group) {
	var ids []string
	for _, group := range groups {
		if group.Slots == slots {
			ids = append(ids, group.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	sort.Strings(ids)
	capacity := cellCapacity(len(ids), len(names))
	assigned := make([]int, len(names))
	for _, id := range ids {
		best, weight := -1, uint64(0)
		for i, name := range names {
			if assigned[i] == capacity {
				continue
			}
			if w := rendezvousWeight(id, name); best < 0 || w > weight {
				best, weight = i, w
			}
		}
		assigned[best]++
		p.cellOf[id] = names[best]
	}
}

// cellCapacity returns the maximum number of groups in one cell.
func cellCapacity(groups, cells int) int {
	share := cells * cellCapacitySlack
	return (groups*(cellCapacitySlack+1) + share - 1) / share
}

// Candidates returns the hosts in the order in which they should take a slot
// of the group: the holders of its cell, then the standbys.
func (p Placement) Candidates(group string) []string {
	return p.cells[p.cellOf[group]]
}

// Peers returns the other holders in the cells in which the host is a holder.
func (p Placement) Peers(host string, slots int) []string {
	shared := make(map[string]bool)
	for _, hosts := range p.cells {
		holders := hosts[:min(slots, len(hosts))]
		for _, holder := range holders {
			if holder == host {
				for _, peer := range holders {
					shared[peer] = true
				}
			}
		}
	}
	delete(shared, host)
	peers := make([]string, 0, len(shared))
	for peer := range shared {
		peers = append(peers, peer)
	}
	sort.Strings(peers)
	return peers
}

// cellNames returns the names of the cells for groups with the given number of
// slots. The count leaves some hosts as standbys, and is rounded down to
// cellCountBits significant bits, so that adding or removing a single host rarely
// changes it.
func cellNames(slots, hosts int) []string {
	count := (hosts - hosts/standbyRatio) / slots
	if excess := bits.Len(uint(count)) - cellCountBits; excess > 0 {
		count = count >> excess << excess
	}
	if count == 0 && hosts > 0 {
		count = 1
	}
	names := make([]string, count)
	for i := range names {
		names[i] = "cell/" + strconv.Itoa(slots) + "/" + strconv.Itoa(i)
	}
	return names
}

// assignHosts assigns holders and standbys to the cells. The cells take turns to
// add a holder, so that each gets its first before any gets its second.
func (p Placement) assignHosts(names []string, slots int, hosts []Host) {
	assigned := make([]bool, len(hosts))
	cells := make([]cell, len(names))
	for i, name := range names {
		cells[i] = newCell(name, hosts)
	}
	for range slots {
		for i := range cells {
			cells[i].addHolder(assigned)
		}
	}
	for _, cell := range cells {
		for _, host := range append(cell.holders, cell.standbys(assigned)...) {
			p.cells[cell.name] = append(p.cells[cell.name], hosts[host].ID)
		}
	}
}

// cell is a cell while hosts are assigned to it. Hosts are indexes into the host
// list.
type cell struct {
	name string
	// weights and centreOf have one entry for each host.
	weights  []uint64
	centreOf []int
	// holdersByCentre counts the holders by data centre.
	holdersByCentre []int
	holders         []int
}

func newCell(name string, hosts []Host) cell {
	c := cell{name: name, weights: make([]uint64, len(hosts)), centreOf: make([]int, len(hosts))}
	numbers := make(map[string]int)
	for i, host := range hosts {
		number, ok := numbers[host.DataCentre]
		if !ok {
			number = len(numbers)
			numbers[host.DataCentre] = number
			c.holdersByCentre = append(c.holdersByCentre, 0)
		}
		c.weights[i], c.centreOf[i] = rendezvousWeight(name, host.ID), number
	}
	return c
}

// addHolder adds the unassigned host with the highest weight in the data centre
// that has the fewest holders in the cell.
func (c *cell) addHolder(assigned []bool) {
	best := -1
	for host, weight := range c.weights {
		if assigned[host] {
			continue
		}
		if best < 0 || c.prefers(host, weight, best) {
			best = host
		}
	}
	if best < 0 {
		return
	}
	assigned[best] = true
	c.holdersByCentre[c.centreOf[best]]++
	c.holders = append(c.holders, best)
}

func (c *cell) prefers(host int, weight uint64, best int) bool {
	holders, least := c.holdersByCentre[c.centreOf[host]], c.holdersByCentre[c.centreOf[best]]
	return holders < least || holders == least && weight > c.weights[best]
}

// standbys returns the hosts that replace a failed holder: hosts without a cell
// first, then by descending weight.
func (c *cell) standbys(assigned []bool) []int {
	before := func(a, b int) bool {
		if assigned[a] != assigned[b] {
			return assigned[b]
		}
		return c.weights[a] > c.weights[b]
	}
	var best []int
	for host := range c.weights {
		if slices.Contains(c.holders, host) {
			continue
		}
		if len(best) == maxStandbys && !before(host, best[maxStandbys-1]) {
			continue
		}
		at := sort.Search(len(best), func(i int) bool { return before(host, best[i]) })
		best = slices.Insert(best, at, host)
		best = best[:min(len(best), maxStandbys)]
	}
	return best
}
