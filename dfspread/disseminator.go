// Package dfspread decides how configuration versions are disseminated between
// hosts: which hosts poll the head, to which peers a newer version is announced,
// and from which peers versions are pulled. It handles version numbers only;
// dfconfig decides what is adopted.
package dfspread

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// Event is an input of Disseminator.Step.
type Event interface{ event() }

// Tick reports that time has passed. It is sent about every 100 ms.
type Tick struct{}

// LiveHosts replaces the list of live hosts, which includes this one.
type LiveHosts struct{ Hosts []dfmember.Host }

// HeadRead answers PollHead with the version that the head names.
type HeadRead struct{ Version uint64 }

// HeadReadFailed answers PollHead if the platform did not answer.
type HeadReadFailed struct{}

// AnnouncementReceived reports that a peer has announced a version.
type AnnouncementReceived struct {
	From    string
	Version uint64
	Hops    uint32
}

// AnnouncementAnswered answers an Announce to one peer.
type AnnouncementAnswered struct {
	To string
	// Version is the peer's version in force. OK is true if the peer answered.
	Version uint64
	OK      bool
}

// PullAnswered answers Pull. It is sent after the payload, if any, has been passed
// to dfconfig and, if that completed a version, after Adopted.
type PullAnswered struct {
	// Announced is copied from the action.
	Announced bool
	// Version is the peer's version in force. OK is true if the peer answered.
	Version uint64
	OK      bool
}

// Adopted reports that a version is in force at this host.
type Adopted struct{ Version uint64 }

// Traffic reports the bytes of one call on the wire.
type Traffic struct {
	Sent     int
	Received int
}

func (Tick) event()                 {}
func (LiveHosts) event()            {}
func (HeadRead) event()             {}
func (HeadReadFailed) event()       {}
func (AnnouncementReceived) event() {}
func (AnnouncementAnswered) event() {}
func (PullAnswered) event()         {}
func (Adopted) event()              {}
func (Traffic) event()              {}

// Action is an output of Disseminator.Step that the host has to carry out.
type Action interface{ action() }

// PollHead requests a read of the head row. If it names a newer version, the index
// and the documents are fetched from the platform.
type PollHead struct{}

// Announce announces the version in force to one peer.
type Announce struct {
	To      dfmember.Host
	Version uint64
	Hops    uint32
}

// Pull requests from one peer the changes since Version, the version in force at
// this host.
type Pull struct {
	To      dfmember.Host
	Version uint64
	// Announced is true if the peer announced its version, and false if the peer was
	// chosen at random.
	Announced bool
}

func (PollHead) action() {}
func (Announce) action() {}
func (Pull) action()     {}

// Stats counts the calls of a host and their bytes on the wire.
type Stats struct {
	Calls    uint64
	Sent     uint64
	Received uint64
}

// Disseminator disseminates versions at one host. It is used by one goroutine.
type Disseminator struct {
	self   string
	random *rand.Rand
	hosts  []dfmember.Host
	// localHosts has the hosts of this data centre, including this one.
	localHosts []dfmember.Host
	// isPoller is true if this host is one of its data centre's pollers.
	isPoller bool
	// version is in force at this host. It never decreases.
	version uint64
	// hops is the number of hops that the version took to this host.
	hops uint32
	poll call
	// pull is the pull from a random peer.
	pull call
	// announcedPull is the pull from a peer that announced a version.
	announcedPull call
	// pollFailed is true while the last poll of the head had no answer.
	pollFailed bool
	// consecutiveAnswers counts answered pulls since the last failure or pause.
	consecutiveAnswers int
	// announcements has the announcements that peers have not answered yet.
	announcements map[string]*announcement
	lastTickAt    dfclock.Millis
	stats         Stats
}

// call schedules one kind of call, of which at most one is in flight.
type call struct {
	// due is when the next call is made.
	due dfclock.Millis
	// sentAt is when the call in flight was sent. It is meaningful while busy.
	sentAt dfclock.Millis
	busy   bool
}

// announcement is the announcement of the version in force to one peer.
type announcement struct {
	attempts int
	call
}

// NewDisseminator returns the disseminator of a host without a version.
func NewDisseminator(self string, random *rand.Rand) *Disseminator {
	return &Disseminator{self: self, random: random, announcements: make(map[string]*announcement)}
}

// Stats returns the totals since the start.
func (d *Disseminator) Stats() Stats {
	return d.stats
}

// Step handles an event and returns the actions to carry out.
func (d *Disseminator) Step(now dfclock.Millis, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case Tick:
		d.detectPause(now)
	case LiveHosts:
		d.setHosts(event.Hosts)
	case HeadRead:
		if event.Version > d.version {
			d.hops = 0
		}
		d.poll, d.pollFailed = call{due: now.Add(pollInterval)}, false
	case HeadReadFailed:
		d.poll, d.pollFailed = call{due: now.Add(pollInterval)}, true
	case AnnouncementReceived:
		if event.Version > d.version {
			d.hops = event.Hops
			actions = d.pullFrom(now, event.From)
		}
	case AnnouncementAnswered:
		d.handleAnnouncementAnswer(now, event)
	case PullAnswered:
		d.handlePullAnswer(now, event)
	case Adopted:
		d.handleAdopted(now, event.Version)
	case Traffic:
		d.stats.Sent += uint64(event.Sent)
		d.stats.Received += uint64(event.Received)
	}
	return append(actions, d.dueCalls(now)...)
}

// setHosts replaces the live hosts and derives the hosts of this data centre and
// whether this host is a poller.
func (d *Disseminator) setHosts(hosts []dfmember.Host) {
	d.hosts, d.localHosts, d.isPoller = hosts, nil, false
	dataCentre := ""
	for _, host := range hosts {
		if host.ID == d.self {
			dataCentre = host.DataCentre
		}
	}
	for _, host := range hosts {
		if host.DataCentre == dataCentre {
			d.localHosts = append(d.localHosts, host)
		}
	}
	d.isPoller = dfmember.IsChosen("config/head", d.localHosts, pollersPerDataCentre, d.self)
}

// detectPause makes the poll and the pull due at once if this host has not run for
// longer than pollInterval.
func (d *Disseminator) detectPause(now dfclock.Millis) {
	if d.lastTickAt > 0 && now.Since(d.lastTickAt) > pollInterval {
		d.poll, d.pull, d.consecutiveAnswers = call{due: now}, call{due: now}, 0
	}
	d.lastTickAt = now
}

// dueCalls starts the calls that are due.
func (d *Disseminator) dueCalls(now dfclock.Millis) []Action {
	var actions []Action
	if d.poll.ready(now) && d.isPoller {
		d.poll = d.startCall(now)
		actions = append(actions, PollHead{})
	}
	if d.pull.ready(now) {
		if peer, ok := d.randomPeer(); ok {
			d.pull = d.startCall(now)
			actions = append(actions, Pull{To: peer, Version: d.version})
		}
	}
	return append(actions, d.dueAnnouncements(now)...)
}

// ready reports whether a call is due or the call in flight has timed out.
func (c call) ready(now dfclock.Millis) bool {
	if c.busy {
		return now.Since(c.sentAt) >= callTimeout
	}
	return now.Reached(c.due)
}

func (d *Disseminator) startCall(now dfclock.Millis) call {
	d.stats.Calls++
	return call{sentAt: now, busy: true}
}

// pullFrom pulls from the peer that announced a version unless another such pull
// is in flight.
func (d *Disseminator) pullFrom(now dfclock.Millis, id string) []Action {
	for _, host := range d.hosts {
		if host.ID == id && d.announcedPull.ready(now) {
			d.announcedPull = d.startCall(now)
			return []Action{Pull{To: host, Version: d.version, Announced: true}}
		}
	}
	return nil
}

// randomPeer returns a random peer. While the platform does not answer this host's
// polls, it prefers other data centres, which may still reach the platform.
func (d *Disseminator) randomPeer() (dfmember.Host, bool) {
	var peers, remote []dfmember.Host
	for _, host := range d.hosts {
		if host.ID == d.self {
			continue
		}
		peers = append(peers, host)
		if len(d.localHosts) > 0 && host.DataCentre != d.localHosts[0].DataCentre {
			remote = append(remote, host)
		}
	}
	if d.pollFailed && len(remote) > 0 {
		peers = remote
	}
	if len(peers) == 0 {
		return dfmember.Host{}, false
	}
	return peers[d.random.IntN(len(peers))], true
}

// handlePullAnswer handles the result of a pull and schedules the next one.
func (d *Disseminator) handlePullAnswer(now dfclock.Millis, event PullAnswered) {
	if event.Announced {
		d.announcedPull = call{}
		if event.OK && event.Version <= d.version {
			return
		}
		// The announced version was not adopted; another peer may have it.
		d.pull.due = now
		return
	}
	d.consecutiveAnswers++
	if !event.OK {
		d.consecutiveAnswers = 0
	}
	interval := pullInterval
	if d.consecutiveAnswers < minConsecutiveAnswers || event.Version > d.version {
		interval = retryInterval
	}
	// Jitter keeps hosts that started together from pulling at the same time.
	d.pull = call{due: now.Add(interval/2 + dfclock.Millis(d.random.Int64N(int64(interval))))}
}

// handleAdopted records the version in force and schedules its announcement to the
// children of this host in a tree over its data centre. Versions use different
// trees, so that a host that does not forward does not delay the same peers each
// time.
func (d *Disseminator) handleAdopted(now dfclock.Millis, version uint64) {
	if version <= d.version {
		return
	}
	d.version = version
	d.announcements = make(map[string]*announcement)
	if d.hops >= maxHops {
		d.hops = 0
		return
	}
	for _, child := range d.children(version) {
		d.announcements[child] = &announcement{call: call{due: now}}
	}
}

// children returns the children of this host in the tree of a version. The pollers
// are the roots. All hosts compute the same order.
func (d *Disseminator) children(version uint64) []string {
	roots := dfmember.Choose("config/head", d.localHosts, pollersPerDataCentre)
	order := make([]string, 0, len(d.localHosts))
	for _, host := range roots {
		order = append(order, host.ID)
	}
	for _, host := range dfmember.Rank(fmt.Sprintf("config/tree/%d", version%treeCount), d.localHosts) {
		if len(roots) > 0 && !contains(roots, host.ID) {
			order = append(order, host.ID)
		}
	}
	for i, id := range order {
		if id == d.self {
			first := min(i*fanOut+len(roots), len(order))
			return order[first:min(first+fanOut, len(order))]
		}
	}
	return nil
}

func contains(hosts []dfmember.Host, id string) bool {
	for _, host := range hosts {
		if host.ID == id {
			return true
		}
	}
	return false
}

// dueAnnouncements starts the announcements that are due.
func (d *Disseminator) dueAnnouncements(now dfclock.Millis) []Action {
	var actions []Action
	ids := make([]string, 0, len(d.announcements))
	for id, announcement := range d.announcements {
		if announcement.ready(now) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		announcement := d.announcements[id]
		if announcement.attempts >= maxAnnounceAttempts {
			delete(d.announcements, id)
			continue
		}
		for _, host := range d.hosts {
			if host.ID == id {
				announcement.attempts++
				announcement.call = d.startCall(now)
				actions = append(actions, Announce{host, d.version, d.hops + 1})
			}
		}
	}
	return actions
}

// handleAnnouncementAnswer handles the result of an announcement and schedules a
// retry if the peer did not answer.
func (d *Disseminator) handleAnnouncementAnswer(now dfclock.Millis, event AnnouncementAnswered) {
	announcement, ok := d.announcements[event.To]
	if !ok || !announcement.busy {
		return
	}
	if event.OK {
		delete(d.announcements, event.To)
		return
	}
	announcement.call = call{due: now.Add(retryInterval)}
}
