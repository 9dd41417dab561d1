package dfcapacity

import (
	"context"
	"fmt"

	"dragonflygrade/dfmember"
)

// placed is what the placement gives at the full size, counted, not measured.
type placed struct {
	// held and wanted are databases of one host: with a slot, and with a slot
	// or standing by for one. mostHeld is the highest of any host.
	held, wanted, mostHeld float64
	// seats are the hosts that hold any slot.
	seats float64
	// peers is the mean number of hosts that share databases with a host.
	peers float64
	// lost is the number of slots on hosts of one data centre.
	lost float64
	// watching are the hosts that stand by for these slots.
	watching float64
	// worst is the most slots that one database loses with a data centre.
	worst int
}

// countPlacement places the slots at the full size.
func (m *measurement) countPlacement(context.Context) error {
	hosts := fakeHosts(int(Target.Hosts), int(Target.DataCentres))
	groups := make([]dfmember.Group, int(Target.Databases))
	for i := range groups {
		groups[i] = dfmember.Group{ID: fmt.Sprintf("service-%04d/main", i), Slots: Target.MostSlots}
	}
	placement := dfmember.Place(hosts, groups)
	failed := make(map[string]bool)
	for _, host := range hosts {
		failed[host.ID] = host.DataCentre == hosts[0].DataCentre
	}
	held, wanted, watching := make(map[string]int), 0, make(map[string]bool)
	var result placed
	for _, group := range groups {
		candidates := placement.Candidates(group.ID)
		wanted += len(candidates)
		lost := 0
		for _, host := range candidates[:group.Slots] {
			held[host]++
			if failed[host] {
				lost++
			}
		}
		result.lost += float64(lost)
		result.worst = max(result.worst, lost)
		for _, host := range candidates[group.Slots:] {
			if lost > 0 && !failed[host] {
				watching[host] = true
			}
		}
	}
	for _, host := range hosts {
		result.held += float64(held[host.ID]) / Target.Hosts
		result.mostHeld = max(result.mostHeld, float64(held[host.ID]))
		result.peers += float64(len(placement.Peers(host.ID, Target.MostSlots))) / Target.Hosts
	}
	result.seats = float64(len(held))
	result.wanted, result.watching = float64(wanted)/Target.Hosts, float64(len(watching))
	m.placed = result
	return nil
}
