package dfneighbour

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
)

// never stands for an instant before every other.
const never dfclock.Millis = -1

// neighbour is one other host.
type neighbour struct {
	// host has no ID before the host was heard or named by another one.
	host dfmember.Host
	// heardAt is when it answered last, and metAt when it asked last.
	heardAt dfclock.Millis
	metAt   dfclock.Millis
	// failedAt is when a question to it failed last.
	failedAt dfclock.Millis
	// knownAt is when it was named last.
	knownAt dfclock.Millis
	// currentAt is when it knew that it missed no version of the desired state.
	currentAt dfclock.Millis
	// remote is what it said of other data centres.
	remote bool
	// cutOff is what it said of its own data centre, if it could judge.
	cutOff, judged bool
	leads          map[string]told
}

// told is a lead with its ages as instants of this host.
type told struct {
	Lead
	heardAt dfclock.Millis
	backAt  dfclock.Millis
}

// answers reports whether the last question to the neighbour was answered.
func (n *neighbour) answers(now dfclock.Millis) bool {
	return n.heardAt > n.failedAt && now-n.heardAt < AliveSpan
}

// lives reports whether anything was heard of the neighbour lately.
func (n *neighbour) lives(now dfclock.Millis) bool {
	return n.answers(now) || n.metAt > n.failedAt && now-n.metAt < AliveSpan
}

// carriers are the hosts chosen for one upstream.
type carriers struct {
	// asked is how many were asked for; fewer may be there.
	asked int
	hosts []dfmember.Host
}

// Circle has the neighbours of one host. It is not safe for concurrent use.
type Circle struct {
	self       dfmember.Host
	neighbours map[string]*neighbour
	// speakers are those of the instant chosenAt; they are chosen again when
	// speakersSpan has passed or a host did not answer.
	speakers map[string]dfmember.Host
	// probes is true if this host was chosen as one that probes leaders.
	probes bool
	// count is the number of serving hosts, and own has those of the own data
	// centre.
	count int
	own   []dfmember.Host
	// carriers are those chosen for each upstream so far; callers do not change
	// them.
	carriers map[dffleet.ID]carriers
	// pace is how often hosts are asked.
	pace Pace
	// touched has the latest instant at which each host knew what this host, or a
	// speaker that told this host, knew of it.
	touched map[uint32]dfclock.Millis
	// quorumAt is the latest instant at which a neighbour that told this host what
	// it knew had known what a majority of the hosts knew.
	quorumAt dfclock.Millis
	// complete is true once all hosts are known. Before, few may pass for a majority.
	complete bool
	// countedAt is when the hosts in touch were counted, or never. Statements ask
	// too often to count them each time; an old count only ends a lease early.
	countedAt dfclock.Millis
	// chosenAt is when all of these were taken. Statements ask for them too often
	// to look at every neighbour each time.
	chosenAt dfclock.Millis
}

// Pace is how often hosts ask each other.
type Pace struct{ member, speaker dfclock.Millis }

// UsualPace keeps proofs of positions young enough for reads.
func UsualPace() Pace {
	return Pace{member: memberPeriod, speaker: speakerPeriod}
}

// LeasePace also keeps the leases of leaders.
func LeasePace() Pace {
	return Pace{member: leaseMemberPeriod, speaker: leaseSpeakerPeriod}
}

// NewCircle returns the circle of a host that knows nobody.
func NewCircle(self dfmember.Host, pace Pace) *Circle {
	return &Circle{
		self: self, pace: pace, neighbours: map[string]*neighbour{}, carriers: map[dffleet.ID]carriers{}, chosenAt: never,
		touched: map[uint32]dfclock.Millis{}, quorumAt: never, countedAt: never,
	}
}

// Learn adds a host that somebody named.
func (c *Circle) Learn(now dfclock.Millis, host dfmember.Host) {
	if host.Address == c.self.Address || host.Address == "" {
		return
	}
	known := c.neighbours[host.Address]
	if known == nil {
		known = &neighbour{
			heardAt: never, metAt: never, failedAt: never, currentAt: never,
		}
		c.neighbours[host.Address] = known
	}
	known.knownAt = now
	if host.ID != "" {
		if known.host.ID == "" {
			c.countedAt = never
		}
		known.host = host
	}
	known.host.Address = host.Address
}

// Heard takes the answer to a question of an instant. Ages in it count from
// that instant, which makes them too high rather than too low.
func (c *Circle) Heard(now, askedAt dfclock.Millis, report Report) {
	c.Learn(now, report.Host)
	known := c.neighbours[report.Host.Address]
	if known == nil {
		return
	}
	known.heardAt = now
	known.currentAt = max(known.currentAt, askedAt-report.CurrentAgo)
	known.remote, known.cutOff, known.judged = report.Remote, report.CutOff, report.Judged
	known.takeLeads(now, askedAt, report.Leads)
	for _, touch := range report.Touches {
		c.touch(touch.Host, askedAt-touch.Ago)
	}
	if report.QuorumAgo >= 0 {
		c.quorumAt = max(c.quorumAt, askedAt-report.QuorumAgo)
	}
	for _, host := range report.Hosts {
		c.Learn(now, host)
	}
}

// Met takes a question. Its ages count from an unknown earlier instant, so only
// the votes in it are used. The asker has read what this host told it at
// toldAt.
func (c *Circle) Met(now, toldAt dfclock.Millis, host dfmember.Host, leads []Lead) {
	c.Learn(now, host)
	if known := c.neighbours[host.Address]; known != nil {
		known.metAt = now
		c.touch(touchKey(host.Address), toldAt)
		known.takeLeads(now, now, leads)
	}
}

func (n *neighbour) takeLeads(now, askedAt dfclock.Millis, leads []Lead) {
	n.leads = make(map[string]told, len(leads))
	for _, lead := range leads {
		next := told{Lead: lead, heardAt: askedAt - lead.HeardAgo}
		if lead.BackIn > 0 {
			next.backAt = now.Add(lead.BackIn)
		}
		n.leads[lead.Service] = next
	}
}

// Failed notes that a question to an address had no answer.
func (c *Circle) Failed(now dfclock.Millis, address string) {
	if known := c.neighbours[address]; known != nil {
		known.failedAt = now
		c.chosenAt = never
	}
}

// Digest tells apart circles of different hosts.
func (c *Circle) Digest() uint64 {
	digest := xxhash.Sum64String(c.self.Address)
	for address, known := range c.neighbours {
		if known.host.ID != "" {
			digest += xxhash.Sum64String(address)
		}
	}
	return digest
}

// Hosts returns the hosts that are named to others.
func (c *Circle) Hosts(now dfclock.Millis) []dfmember.Host {
	var hosts []dfmember.Host
	for address, known := range c.neighbours {
		if now-max(known.heardAt, known.metAt, known.knownAt) >= forgetSpan {
			delete(c.neighbours, address)
			continue
		}
		if known.host.ID != "" {
			hosts = append(hosts, known.host)
		}
	}
	return hosts
}

// Count returns the number of hosts that are taken to share the upstreams.
func (c *Circle) Count(now dfclock.Millis) int {
	c.Speakers(now)
	return c.count
}

// serving returns this host and those that are not passed over.
func (c *Circle) serving(now dfclock.Millis) []dfmember.Host {
	hosts := make([]dfmember.Host, 1, len(c.neighbours)+1)
	hosts[0] = c.self
	for _, known := range c.neighbours {
		if known.serves(now) {
			hosts = append(hosts, known.host)
		}
	}
	return hosts
}

// passedOver reports whether a host did not answer lately.
func (n *neighbour) passedOver(now dfclock.Millis) bool {
	return n.failedAt > max(n.heardAt, n.metAt) && now-n.failedAt < passOverSpan
}

// serves reports whether a host is known by name and not passed over.
func (n *neighbour) serves(now dfclock.Millis) bool {
	return n.host.ID != "" && !n.passedOver(now)
}

// Speakers returns the speaker of each data centre as this host sees it.
func (c *Circle) Speakers(now dfclock.Millis) map[string]dfmember.Host {
	if c.chosenAt != never && now-c.chosenAt < speakersSpan {
		return c.speakers
	}
	speakers := map[string]dfmember.Host{}
	serving := c.serving(now)
	for dataCentre, chosen := range dfmember.ChoosePerDataCentre(speakerKey, serving, probers) {
		speakers[dataCentre] = chosen[0]
		if dataCentre == c.self.DataCentre {
			c.probes = slices.Contains(chosen, c.self)
		}
	}
	c.speakers, c.chosenAt = speakers, now
	c.count, c.own = len(serving), slices.DeleteFunc(serving, func(host dfmember.Host) bool {
		return host.DataCentre != c.self.DataCentre
	})
	clear(c.carriers)
	return speakers
}

// Speaks reports whether this host is the speaker of its data centre.
func (c *Circle) Speaks(now dfclock.Millis) bool {
	return c.Speakers(now)[c.self.DataCentre].Address == c.self.Address
}

// Probes reports whether this host probes the leaders for its data centre: the
// speaker does, and the hosts that would speak next.
func (c *Circle) Probes(now dfclock.Millis) bool {
	c.Speakers(now)
	return c.probes
}

// Carriers returns the hosts of the own data centre that hold the connections to
// an upstream for the others, this host among them if it is one.
func (c *Circle) Carriers(now dfclock.Millis, upstream dffleet.ID, count int) []dfmember.Host {
	c.Speakers(now)
	chosen, known := c.carriers[upstream]
	if !known || chosen.asked != count {
		chosen = carriers{asked: count, hosts: dfmember.Choose(string(upstream), c.own, count)}
		c.carriers[upstream] = chosen
	}
	return chosen.hosts
}

// Told reports whether the speaker of the own data centre suspects a leader that
// no host of the data centre hears.
func (c *Circle) Told(now dfclock.Millis, service string, leader dffleet.ID) bool {
	speaker := c.neighbours[c.Speakers(now)[c.self.DataCentre].Address]
	if speaker == nil || !speaker.answers(now) {
		return false
	}
	lead, ok := speaker.leads[service]
	return ok && lead.Leader == leader && lead.Suspected && lead.Alive == 0
}

// Targets returns the addresses to ask, with the pause between two questions.
func (c *Circle) Targets(now dfclock.Millis) map[string]dfclock.Millis {
	targets := map[string]dfclock.Millis{}
	speakers := c.Speakers(now)
	own := speakers[c.self.DataCentre]
	if own.Address != c.self.Address {
		targets[own.Address] = c.pace.member
	} else {
		for _, speaker := range speakers {
			if speaker.Address != c.self.Address {
				targets[speaker.Address] = c.pace.speaker
			}
		}
	}
	for _, address := range c.unnamed(now) {
		targets[address] = dfclock.Second
	}
	return targets
}

// unnamed returns some addresses of which only the address is known.
func (c *Circle) unnamed(now dfclock.Millis) []string {
	var addresses []string
	for address, known := range c.neighbours {
		if known.host.ID == "" && !known.passedOver(now) {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses[:min(strangers, len(addresses))]
}

// Actors returns the hosts that change leaders: the speakers that live, and this
// host itself.
func (c *Circle) Actors(now dfclock.Millis) []dfmember.Host {
	actors := []dfmember.Host{c.self}
	for _, speaker := range c.Speakers(now) {
		known := c.neighbours[speaker.Address]
		if known != nil && known.lives(now) {
			actors = append(actors, speaker)
		}
	}
	return actors
}

// Votes counts hosts that heard from a leader since an instant and hosts that
// suspect it. Speakers of other data centres answer for theirs.
func (c *Circle) Votes(now dfclock.Millis, service string, leader dffleet.ID, since dfclock.Millis) (alive, dead int) {
	alive, dead = c.OwnVotes(now, service, leader, since)
	for _, known := range c.neighbours {
		lead, ok := known.leads[service]
		if !ok || !known.lives(now) || lead.Leader != leader || known.host.DataCentre == c.self.DataCentre {
			continue
		}
		alive += lead.Alive
		dead += lead.Dead
	}
	return alive, dead
}

// OwnVotes counts the votes of the other hosts of the own data centre.
func (c *Circle) OwnVotes(now dfclock.Millis, service string, leader dffleet.ID, since dfclock.Millis) (alive, dead int) {
	for _, known := range c.neighbours {
		lead, ok := known.leads[service]
		if !ok || !known.lives(now) || lead.Leader != leader || known.host.DataCentre != c.self.DataCentre {
			continue
		}
		switch {
		case lead.Suspected:
			dead++
		case lead.heardAt >= since:
			alive++
		}
	}
	return alive, dead
}

// CutOff returns what the speaker of the own data centre says of its connection
// to the others; judged is false if it cannot tell yet. ok is false if this host
// has to judge itself.
func (c *Circle) CutOff(now dfclock.Millis) (cutOff, judged, ok bool) {
	speaker := c.neighbours[c.Speakers(now)[c.self.DataCentre].Address]
	if speaker == nil || !speaker.answers(now) {
		return false, false, false
	}
	return speaker.cutOff, speaker.judged, true
}

// CurrentAt returns the latest instant at which a neighbour knew that it missed
// no version of the desired state.
func (c *Circle) CurrentAt() dfclock.Millis {
	current := never
	for _, known := range c.neighbours {
		current = max(current, known.currentAt)
	}
	return current
}

// Remote reports whether another data centre was heard lately, by this host or,
// unless it speaks itself, by its speaker. It is true if no other one is known.
func (c *Circle) Remote(now dfclock.Millis) bool {
	if speaker := c.neighbours[c.Speakers(now)[c.self.DataCentre].Address]; speaker != nil && speaker.answers(now) {
		return speaker.remote
	}
	known := false
	for _, other := range c.neighbours {
		if other.host.ID == "" || other.host.DataCentre == c.self.DataCentre {
			continue
		}
		known = known || other.heardAt != never || other.failedAt != never
	}
	return !known || c.HearsRemote(now)
}

// HearsRemote reports whether a host of another data centre answered this host
// lately.
func (c *Circle) HearsRemote(now dfclock.Millis) bool {
	for _, other := range c.neighbours {
		if other.host.ID != "" && other.host.DataCentre != c.self.DataCentre && other.answers(now) {
			return true
		}
	}
	return false
}

// BackAt returns the earliest instant at which a neighbour that changes the
// leader expects the next one, or zero.
func (c *Circle) BackAt(now dfclock.Millis, service string) dfclock.Millis {
	var back dfclock.Millis
	for _, known := range c.neighbours {
		lead := known.leads[service]
		if !known.lives(now) || lead.backAt == 0 {
			continue
		}
		if back == 0 || lead.backAt < back {
			back = lead.backAt
		}
	}
	return back
}
