package dfhost

import (
	"context"
	"sync/atomic"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
)

// memberPeriod separates reads of the platform's host list. A leaving upstream
// has to be known within 3 s, also after one failed read.
const memberPeriod = dfclock.Second

// membership keeps the list of hosts and leaving upstreams.
type membership struct {
	host *Host
	list atomic.Pointer[dfmember.List]
	// leaving has the upstreams that the platform marks as leaving.
	leaving atomic.Pointer[map[string]bool]
}

func newMembership(h *Host) *membership {
	m := &membership{host: h}
	list := dfmember.NewList()
	m.list.Store(&list)
	m.leaving.Store(&map[string]bool{})
	return m
}

func (m *membership) run(ctx context.Context) {
	for {
		m.poll(ctx)
		if !sleep(ctx, m.host.jitter(memberPeriod)) {
			return
		}
	}
}

func (m *membership) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(memberPeriod)*time.Millisecond)
	defer cancel()
	members, err := m.host.settings.Platform.Members(ctx)
	if err != nil {
		m.host.log.Debug().Err(err).Msg("membership: host list not read")
		return
	}
	list := m.list.Load().WithMembers(members)
	m.list.Store(&list)
	leaving := make(map[string]bool)
	for _, member := range members {
		if member.Kind == dfplatform.KindUpstream && member.Leaving {
			leaving[member.ID] = true
		}
	}
	m.leaving.Store(&leaving)
	m.host.slots.markLeaving(leaving)
}

// live returns the hosts that count as live.
func (m *membership) live() []dfmember.Host {
	return m.list.Load().Live(m.host.now())
}
