// Package dfspread decides how configuration versions spread between hosts: who
// polls the head, whom to tell of a newer version, and whom to ask. It knows
// version numbers only; dfconfig decides what is adopted.
package dfspread

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
)

// Event is what a Spreader is told.
type Event interface{ event() }

// Tick tells that time has passed. The owner sends it every 100 ms or so.
type Tick struct{}

// Hosts gives the live hosts, this one included.
type Hosts struct{ Hosts []dfmember.Host }

// HeadRead answers PollHead with the version that the head names.
type HeadRead struct{ Version uint64 }

// HeadFailed answers PollHead if the platform did not.
type HeadFailed struct{}

// Announced tells that a peer has announced a version.
type Announced struct {
	From    string
	Version uint64
	Hops    uint32
}

// AnnounceAnswered answers an Announce to one peer.
type AnnounceAnswered struct {
	To string
	// Version is what the peer has in force, OK whether it answered.
	Version uint64
	OK      bool
}

// AskAnswered answers Ask. The payload, if any, has gone to dfconfig already,
// and Adopted comes before this event if it completed a version.
type AskAnswered struct {
	// Told is copied from the action.
	Told bool
	// Version is what the peer has in force, OK whether it answered.
	Version uint64
	OK      bool
}

// Adopted tells that a version is in force at this host.
type Adopted struct{ Version uint64 }

// Bytes counts what a call of the spreading cost on the wire.
type Bytes struct {
	Sent     int
	Received int
}

func (Tick) event()             {}
func (Hosts) event()            {}
func (HeadRead) event()         {}
func (HeadFailed) event()       {}
func (Announced) event()        {}
func (AnnounceAnswered) event() {}
func (AskAnswered) event()      {}
func (Adopted) event()          {}
func (Bytes) event()            {}

// Action is what the owner of a Spreader has to do.
type Action interface{ action() }

// PollHead asks for the head row. If it names a newer version, the index and
// the documents are fetched from the platform.
type PollHead struct{}

// Announce tells one peer of the version in force.
type Announce struct {
	To      dfmember.Host
	Version uint64
	Hops    uint32
}

// Ask asks one peer for what this host lacks above its version.
type Ask struct {
	To      dfmember.Host
	Version uint64
	// Told is true if the peer announced its version, false if it was picked.
	Told bool
}

func (PollHead) action() {}
func (Announce) action() {}
func (Ask) action()      {}

// Cost is what the spreading has cost this host.
type Cost struct {
	Calls    uint64
	Sent     uint64
	Received uint64
}

// Spreader is the spreading at one host. It is used by one goroutine.
type Spreader struct {
	self   string
	random *rand.Rand
	hosts  []dfmember.Host
	// centre has the hosts of this data centre, this one included.
	centre []dfmember.Host
	// polls is true if this host is one of its data centre's pollers.
	polls bool
	// version is in force here; it never falls.
	version uint64
	// hops is how far the version has travelled to this host.
	hops    uint32
	polling call
	asking  call
	// following asks the peer that announced a version.
	following call
	// failing is true while the last poll of the head had no answer.
	failing bool
	// answers counts answers to questions since the last failure or pause.
	answers int
	// told has the peers that must hear of the version, until they answered.
	told   map[string]*telling
	tickAt dfclock.Millis
	cost   Cost
}

// call is one kind of call, of which there is at most one at a time.
type call struct {
	// due is when the next call is made.
	due dfclock.Millis
	// sentAt is when the current call was sent; it counts while busy.
	sentAt dfclock.Millis
	busy   bool
}

// telling is one announcement to a peer.
type telling struct {
	tries int
	call
}

// NewSpreader returns the spreading of a host without a version.
func NewSpreader(self string, random *rand.Rand) *Spreader {
	return &Spreader{self: self, random: random, told: make(map[string]*telling)}
}

// Cost returns what the spreading has cost so far.
func (s *Spreader) Cost() Cost {
	return s.cost
}

// Step takes an event and returns what has to be done.
func (s *Spreader) Step(now dfclock.Millis, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case Tick:
		s.noticePause(now)
	case Hosts:
		s.list(event.Hosts)
	case HeadRead:
		if event.Version > s.version {
			s.hops = 0
		}
		s.polling, s.failing = call{due: now.Add(pollInterval)}, false
	case HeadFailed:
		s.polling, s.failing = call{due: now.Add(pollInterval)}, true
	case Announced:
		if event.Version > s.version {
			s.hops = event.Hops
			actions = s.follow(now, event.From)
		}
	case AnnounceAnswered:
		s.announced(now, event)
	case AskAnswered:
		s.answered(now, event)
	case Adopted:
		s.adopted(now, event.Version)
	case Bytes:
		s.cost.Sent += uint64(event.Sent)
		s.cost.Received += uint64(event.Received)
	}
	return append(actions, s.advance(now)...)
}

// list takes the live hosts and notes what follows from them.
func (s *Spreader) list(hosts []dfmember.Host) {
	s.hosts, s.centre, s.polls = hosts, nil, false
	name := ""
	for _, host := range hosts {
		if host.ID == s.self {
			name = host.DataCentre
		}
	}
	for _, host := range hosts {
		if host.DataCentre == name {
			s.centre = append(s.centre, host)
		}
	}
	s.polls = dfmember.IsChosen("config/head", s.centre, pollers, s.self)
}

// noticePause asks at once after a span in which this host did not run.
func (s *Spreader) noticePause(now dfclock.Millis) {
	if s.tickAt > 0 && now.Since(s.tickAt) > pollInterval {
		s.polling, s.asking, s.answers = call{due: now}, call{due: now}, 0
	}
	s.tickAt = now
}

// advance makes the calls that are due.
func (s *Spreader) advance(now dfclock.Millis) []Action {
	var actions []Action
	if s.polling.ready(now) && s.polls {
		s.polling = s.call(now)
		actions = append(actions, PollHead{})
	}
	if s.asking.ready(now) {
		if peer, ok := s.pick(); ok {
			s.asking = s.call(now)
			actions = append(actions, Ask{To: peer, Version: s.version})
		}
	}
	return append(actions, s.announce(now)...)
}

// ready reports whether a call is due. One without an answer counts as failed
// after its timeout.
func (c call) ready(now dfclock.Millis) bool {
	if c.busy {
		return now.Since(c.sentAt) >= callTimeout
	}
	return now.Reached(c.due)
}

func (s *Spreader) call(now dfclock.Millis) call {
	s.cost.Calls++
	return call{sentAt: now, busy: true}
}

// follow asks the peer that announced a version, unless another such question
// is under way.
func (s *Spreader) follow(now dfclock.Millis, id string) []Action {
	for _, host := range s.hosts {
		if host.ID == id && s.following.ready(now) {
			s.following = s.call(now)
			return []Action{Ask{To: host, Version: s.version, Told: true}}
		}
	}
	return nil
}

// pick returns a random peer. While the platform does not answer a poller, it
// prefers other data centres, which may have contact.
func (s *Spreader) pick() (dfmember.Host, bool) {
	var peers, remote []dfmember.Host
	for _, host := range s.hosts {
		if host.ID == s.self {
			continue
		}
		peers = append(peers, host)
		if len(s.centre) > 0 && host.DataCentre != s.centre[0].DataCentre {
			remote = append(remote, host)
		}
	}
	if s.failing && len(remote) > 0 {
		peers = remote
	}
	if len(peers) == 0 {
		return dfmember.Host{}, false
	}
	return peers[s.random.IntN(len(peers))], true
}

// answered takes the answer to a question and dates the next one.
func (s *Spreader) answered(now dfclock.Millis, event AskAnswered) {
	if event.Told {
		s.following = call{}
		if event.OK && event.Version <= s.version {
			return
		}
		// The version did not come through; another peer may have it.
		s.asking.due = now
		return
	}
	s.answers++
	if !event.OK {
		s.answers = 0
	}
	span := askInterval
	if s.answers < steadyAnswers || event.Version > s.version {
		span = retryInterval
	}
	// Jitter keeps hosts that started together from asking together.
	s.asking = call{due: now.Add(span/2 + dfclock.Millis(s.random.Int64N(int64(span))))}
}

// adopted takes the version in force and lists the peers to tell: the children
// of this host in a tree over its data centre. The tree differs between
// versions, so that a host that does not forward delays others only once.
func (s *Spreader) adopted(now dfclock.Millis, version uint64) {
	if version <= s.version {
		return
	}
	s.version = version
	s.told = make(map[string]*telling)
	if s.hops >= maxHops {
		s.hops = 0
		return
	}
	for _, child := range s.children(version) {
		s.told[child] = &telling{call: call{due: now}}
	}
}

// children returns the hosts below this one in the tree of a version. The
// pollers are at the top, in the order that all hosts compute.
func (s *Spreader) children(version uint64) []string {
	tops := dfmember.Choose("config/head", s.centre, pollers)
	order := make([]string, 0, len(s.centre))
	for _, host := range tops {
		order = append(order, host.ID)
	}
	for _, host := range dfmember.Rank(fmt.Sprintf("config/tree/%d", version%treeShapes), s.centre) {
		if len(tops) > 0 && !in(tops, host.ID) {
			order = append(order, host.ID)
		}
	}
	for place, id := range order {
		if id == s.self {
			first := min(place*fanOut+len(tops), len(order))
			return order[first:min(first+fanOut, len(order))]
		}
	}
	return nil
}

func in(hosts []dfmember.Host, id string) bool {
	for _, host := range hosts {
		if host.ID == id {
			return true
		}
	}
	return false
}

// announce tells the peers whose announcement is due.
func (s *Spreader) announce(now dfclock.Millis) []Action {
	var actions []Action
	ids := make([]string, 0, len(s.told))
	for id, telling := range s.told {
		if telling.ready(now) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		telling := s.told[id]
		if telling.tries >= announceTries {
			delete(s.told, id)
			continue
		}
		for _, host := range s.hosts {
			if host.ID == id {
				telling.tries++
				telling.call = s.call(now)
				actions = append(actions, Announce{host, s.version, s.hops + 1})
			}
		}
	}
	return actions
}

// announced takes the answer of a peer that was told.
func (s *Spreader) announced(now dfclock.Millis, event AnnounceAnswered) {
	telling, ok := s.told[event.To]
	if !ok || !telling.busy {
		return
	}
	if event.OK {
		delete(s.told, event.To)
		return
	}
	telling.call = call{due: now.Add(retryInterval)}
}
