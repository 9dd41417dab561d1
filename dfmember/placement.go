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

// Placement is the preferred holders of slots. Groups with the same number of
// slots share cells: the hosts of a cell hold the slots of all its groups, so
// that a host exchanges position leases only with the few hosts of its cells.
type Placement struct {
	// cells has the hosts of each cell; the first hold slots, the rest stand by.
	cells map[string][]string
	// cellOf has the cell of each group.
	cellOf map[string]string
}

// Place computes the placement. Hosts that compute it from the same list agree,
// and a change of the list moves few seats. Leaving hosts get no seat.
func Place(hosts []Host, groups []Group) Placement {
	hosts = Staying(hosts)
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	placement := Placement{cells: make(map[string][]string), cellOf: make(map[string]string)}
	sizes := make(map[int]bool)
	for _, group := range groups {
		sizes[group.Slots] = true
	}
	for slots := range sizes {
		names := cellNames(slots, len(hosts))
		placement.fill(names, slots, hosts)
		placement.assign(names, slots, groups)
	}
	return placement
}

// assign gives each group with the number of slots the cell with the highest
// weight that has room. Rooms are bounded because plain weights fill some cells
// to twice the mean. Groups choose in the order of their IDs, so that the order
// of the list has no influence.
func (p Placement) assign(names []string, slots int, groups []Group) {
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
	room := cellRoom(len(ids), len(names))
	taken := make([]int, len(names))
	for _, id := range ids {
		best, weight := -1, uint64(0)
		for i, name := range names {
			if taken[i] == room {
				continue
			}
			if s := score(id, name); best < 0 || s > weight {
				best, weight = i, s
			}
		}
		taken[best]++
		p.cellOf[id] = names[best]
	}
}

// cellRoom returns the most groups of one cell.
func cellRoom(groups, cells int) int {
	share := cells * roomShare
	return (groups*(roomShare+1) + share - 1) / share
}

// Candidates returns the hosts in the order in which they should take a slot
// of the group: the holders of its cell, then those that stand by.
func (p Placement) Candidates(group string) []string {
	return p.cells[p.cellOf[group]]
}

// Peers returns the hosts that share a cell's seats with the host.
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

// cellNames returns the cells for groups with the number of slots. The count
// leaves some hosts over to stand by, and is rounded down to countBits
// significant bits, so that single hosts that come or go rarely change it.
func cellNames(slots, hosts int) []string {
	count := (hosts - hosts/standByShare) / slots
	if excess := bits.Len(uint(count)) - countBits; excess > 0 {
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

// fill seats the hosts. Each seat goes to the host with the highest weight
// that has no seat yet, in the data centre that the cell uses least.
func (p Placement) fill(names []string, slots int, hosts []Host) {
	seated := make([]bool, len(hosts))
	cells := make([]cell, len(names))
	for i, name := range names {
		cells[i] = newCell(name, hosts)
	}
	for range slots {
		for i := range cells {
			cells[i].seat(seated)
		}
	}
	for _, cell := range cells {
		for _, host := range append(cell.holders, cell.standBy(seated)...) {
			p.cells[cell.name] = append(p.cells[cell.name], hosts[host].ID)
		}
	}
}

// cell is one cell while it is filled. Hosts are indexes into the host list.
type cell struct {
	name string
	// weights and centres have one entry for each host.
	weights []uint64
	centres []int
	// used counts the holders by data centre.
	used    []int
	holders []int
}

func newCell(name string, hosts []Host) cell {
	made := cell{name: name, weights: make([]uint64, len(hosts)), centres: make([]int, len(hosts))}
	numbers := make(map[string]int)
	for i, host := range hosts {
		number, ok := numbers[host.DataCentre]
		if !ok {
			number = len(numbers)
			numbers[host.DataCentre] = number
			made.used = append(made.used, 0)
		}
		made.weights[i], made.centres[i] = score(name, host.ID), number
	}
	return made
}

// seat gives the next seat to the best host without one.
func (c *cell) seat(seated []bool) {
	best := -1
	for host, weight := range c.weights {
		if seated[host] {
			continue
		}
		if best < 0 || c.better(host, weight, best) {
			best = host
		}
	}
	if best < 0 {
		return
	}
	seated[best] = true
	c.used[c.centres[best]]++
	c.holders = append(c.holders, best)
}

func (c *cell) better(host int, weight uint64, best int) bool {
	used, least := c.used[c.centres[host]], c.used[c.centres[best]]
	return used < least || used == least && weight > c.weights[best]
}

// standBy returns the hosts that take a seat if a holder fails: hosts without
// a seat first, then by weight.
func (c *cell) standBy(seated []bool) []int {
	before := func(a, b int) bool {
		if seated[a] != seated[b] {
			return seated[b]
		}
		return c.weights[a] > c.weights[b]
	}
	var best []int
	for host := range c.weights {
		if slices.Contains(c.holders, host) {
			continue
		}
		if len(best) == maxStandBy && !before(host, best[maxStandBy-1]) {
			continue
		}
		at := sort.Search(len(best), func(i int) bool { return before(host, best[i]) })
		best = slices.Insert(best, at, host)
		best = best[:min(len(best), maxStandBy)]
	}
	return best
}
