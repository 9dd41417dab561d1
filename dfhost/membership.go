package dfhost

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
)

const (
	// memberPeriod separates reads of the platform's host list. A leaving
	// upstream has to be known within 3 s, also after one failed read.
	memberPeriod = dfclock.Second
	// firstPeriod separates them until the list has settled after the start, so
	// that hosts that start together place slots from the same list.
	firstPeriod = 200 * dfclock.Millisecond
	// settledReads is the number of equal lists in a row that count as settled.
	settledReads = 2
)

// membership keeps the list of hosts and leaving upstreams.
type membership struct {
	host *Host

	mu   sync.Mutex
	list dfmember.List
	// before and equal tell how many reads in a row gave the same hosts.
	before []dfmember.Host
	equal  int

	// leaving has the upstreams that the platform marks as leaving.
	leaving atomic.Pointer[map[string]bool]
}

func newMembership(h *Host) *membership {
	m := &membership{host: h, list: dfmember.NewList()}
	m.leaving.Store(&map[string]bool{})
	return m
}

func (m *membership) run(ctx context.Context) {
	for {
		m.poll(ctx)
		m.host.slots.plan()
		m.host.adoption.hostsChanged()
		pause := m.host.jitter(memberPeriod)
		if !m.settled() {
			pause = firstPeriod
		}
		if !sleep(ctx, pause) {
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
	m.take(members)
	leaving := make(map[string]bool)
	for _, member := range members {
		if member.Kind == dfplatform.KindUpstream && member.Leaving {
			leaving[member.ID] = true
		}
	}
	m.leaving.Store(&leaving)
	m.host.slots.markLeaving(leaving)
}

func (m *membership) take(members []dfplatform.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = m.list.WithMembers(members)
	hosts := m.list.Live(m.host.now())
	_, listed := m.list.Find(m.host.settings.ID)
	switch {
	case m.equal >= settledReads:
	case listed && reflect.DeepEqual(hosts, m.before):
		m.equal++
	default:
		m.equal = 0
	}
	m.before = hosts
}

// settled reports whether the list was read and did not change for some reads.
// Once settled it stays so.
func (m *membership) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.equal >= settledReads
}

// live returns the hosts that count as live.
func (m *membership) live() []dfmember.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Live(m.host.now())
}

// find returns a host that the list knows.
func (m *membership) find(id string) (dfmember.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Find(id)
}

// contacted notes whether a call to another host was answered.
func (m *membership) contacted(id string, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, known := m.list.Find(id)
	if !known {
		return
	}
	if answered {
		m.list = m.list.WithContact(host, m.host.now())
		return
	}
	m.list = m.list.WithFailedContact(id, m.host.now())
}

// contacts returns the live hosts with this one, and the seeds that belong to
// none of them.
func (m *membership) contacts() []dfmember.Host {
	hosts := m.live()
	known := map[string]bool{m.host.PeerAddress(): true}
	self := false
	for _, host := range hosts {
		known[host.Address] = true
		self = self || host.ID == m.host.settings.ID
	}
	if !self {
		hosts = append(hosts, dfmember.Host{
			ID: m.host.settings.ID, DataCentre: m.host.settings.DataCentre, Address: m.host.PeerAddress(),
		})
	}
	for _, seed := range m.host.settings.Seeds {
		if !known[seed] {
			hosts = append(hosts, dfmember.Host{ID: "seed " + seed, Address: seed})
		}
	}
	return hosts
}

// anyPeer returns the address of a random other host.
func (m *membership) anyPeer() (string, bool) {
	var addresses []string
	for _, host := range m.contacts() {
		if host.ID != m.host.settings.ID {
			addresses = append(addresses, host.Address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[m.host.choose(len(addresses))], true
}
