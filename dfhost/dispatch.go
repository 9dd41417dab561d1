package dfhost

import (
	"sync"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfpeer"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfunit"
)

// peerPenalty is how long a host that could not be reached is tried last.
const peerPenalty = 500 * dfclock.Millisecond

// target is where a unit may run.
type target struct {
	host     string
	local    bool
	executor dfunit.Executor
}

// failures remembers hosts that could not be reached lately.
type failures struct {
	mu sync.Mutex
	// until is keyed by host.
	until map[string]dfclock.Millis
}

func (f *failures) add(host string, until dfclock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = make(map[string]dfclock.Millis)
	}
	f.until[host] = until
}

func (f *failures) has(host string, now dfclock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.until[host])
}

func (h *Host) peerFailed(host string) {
	h.slots.failures.add(host, h.now().Add(peerPenalty))
}

// dispatch chooses where a request runs: the own slot, else another slot holder,
// one in the same data centre first. Hosts in avoid come last.
func (h *Host) dispatch(request dfunit.Request, avoid map[string]bool) (target, error) {
	if holder := h.slots.holder(request.Group); holder != nil && !avoid[h.settings.ID] {
		return target{host: h.settings.ID, local: true, executor: holder}, nil
	}
	row, found := h.chooseHolder(request.Group, avoid)
	if !found {
		clear(avoid)
		if holder := h.slots.holder(request.Group); holder != nil {
			return target{host: h.settings.ID, local: true, executor: holder}, nil
		}
		return target{}, dfresult.NewError(dfresult.NoSlotHolder, "database %s", request.Group).WithRetryAfter(peerPenalty)
	}
	peer, err := h.directory.Peer(row.Address)
	if err != nil {
		return target{}, dfresult.NewError(dfresult.PeerUnreachable, "%v", err)
	}
	return target{host: row.Host, executor: dfpeer.NewForwarder(peer, row.Epoch, h.now)}, nil
}

// chooseHolder returns the slot holder to forward to. Several holders of equal
// merit share the load by turns.
func (h *Host) chooseHolder(group dfgroup.ID, avoid map[string]bool) (slotRow, bool) {
	now := h.now()
	var best []slotRow
	bestMerit := 0
	for _, row := range h.slots.rows(group) {
		if row.Host == h.settings.ID || avoid[row.Host] {
			continue
		}
		merit := 1
		if row.DataCentre == h.settings.DataCentre {
			merit++
		}
		if !h.slots.failures.has(row.Host, now) {
			merit += 2
		}
		if merit > bestMerit {
			best, bestMerit = nil, merit
		}
		if merit == bestMerit {
			best = append(best, row)
		}
	}
	if len(best) == 0 {
		return slotRow{}, false
	}
	return best[int(h.nextRequest())%len(best)], true
}
