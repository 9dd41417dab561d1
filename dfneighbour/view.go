package dfneighbour

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfroster"
)

// unset is a time before any other, for events that have not happened.
const unset dfclock.Millis = -1

// neighbour is the state of one other host.
type neighbour struct {
	// host has only an address until the host has answered or was listed in a
	// report.
	host dfmember.Host
	// answeredAt is when the host last answered a request, and requestedAt when it
	// last sent one.
	answeredAt  dfclock.Millis
	requestedAt dfclock.Millis
	// failedAt is when a request to the host last failed.
	failedAt dfclock.Millis
	// namedAt is when the host was last added, by its own message or by a third
	// party.
	namedAt dfclock.Millis
	// currentAt is when the host was last known to have the newest desired state.
	currentAt dfclock.Millis
	// remoteReachable is true if the host reported that it reaches other data
	// centres.
	remoteReachable bool
	// removedAt is when the host was removed from the host table, or unset. What is known
	// of it is kept: it may be back in a moment.
	removedAt dfclock.Millis
	// isolated is true if the host reported that its data centre is cut off. It is
	// valid only if isolationKnown is true.
	isolated, isolationKnown bool
	leaders                  map[string]receivedLeaderState
}

// receivedLeaderState is a LeaderState whose ages were converted to times of this
// host's clock.
type receivedLeaderState struct {
	LeaderState
	answeredAt dfclock.Millis
	expectedAt dfclock.Millis
}

// isAnswering reports whether the host answered the last request to it, and did
// so recently.
func (n *neighbour) isAnswering(now dfclock.Millis) bool {
	return n.answeredAt > n.failedAt && now-n.answeredAt < LivenessTimeout
}

// isAlive reports whether the host recently answered or sent a request.
func (n *neighbour) isAlive(now dfclock.Millis) bool {
	return n.isAnswering(now) || n.requestedAt > n.failedAt && now-n.requestedAt < LivenessTimeout
}

// carrierKey identifies the carriers of an upstream in a data centre.
type carrierKey struct {
	upstream   dffleet.ID
	dataCentre string
}

// carrierChoice has the hosts selected as carriers of one upstream.
type carrierChoice struct {
	// requested is the number of hosts that was requested; fewer may exist.
	requested int
	hosts     []dfmember.Host
}

// View is one host's view of the other hosts. It is not safe for concurrent use.
type View struct {
	self       dfmember.Host
	neighbours map[string]*neighbour
	// speakers are the speakers by data centre, as of selectedAt. They are selected
	// again after selectionTTL, or if a host did not answer.
	speakers map[string]dfmember.Host
	// isProber is true if this host probes leaders.
	isProber bool
	// servingCount is the number of serving hosts. servingHostsIn has them by data
	// centre, and failedCountIn the number of hosts in backoff.
	servingCount   int
	servingHostsIn map[string][]dfmember.Host
	failedCountIn  map[string]int
	// carriers caches the selected carriers of each upstream. Callers must not
	// modify them.
	carriers map[carrierKey]carrierChoice
	// periods is how often other hosts are polled.
	periods PollPeriods
	// contacts has the time of the last contact with each host, by its key. The
	// contact was with this host or with a speaker that reported it to this host.
	contacts map[uint32]dfclock.Millis
	// quorumAt is the latest time at which a majority of the hosts was in contact,
	// as counted by this host or reported by a neighbour.
	quorumAt dfclock.Millis
	// heardAt is when a host first answered this one, or unset.
	heardAt dfclock.Millis
	// allHostsKnown is true once all hosts are known. Before that, a few hosts
	// could be mistaken for a majority.
	allHostsKnown bool
	// roster is the host table, which decides who counts for a majority, or nil where all
	// known hosts count for good.
	roster *dfroster.Roster
	// majorityNeeded is true if the roster is used. Speakers then exchange the contacts of
	// their data centres.
	majorityNeeded bool
	// speakerSince is since when this host is the speaker of its data centre, or unset.
	speakerSince dfclock.Millis
	// quorumCountedAt is when contacts were last counted, or unset. The result is
	// cached, because every statement needs it. A cached result can only end a
	// lease too early.
	quorumCountedAt dfclock.Millis
	// selectedAt is when speakers, carriers and counts were last determined, or
	// unset. They are cached, because every statement needs them.
	selectedAt dfclock.Millis
}

// PollPeriods is how often a host polls its speaker (member), and a speaker the
// other speakers (speaker).
type PollPeriods struct{ member, speaker dfclock.Millis }

// DefaultPollPeriods returns periods that keep position proofs recent enough for
// reads.
func DefaultPollPeriods() PollPeriods {
	return PollPeriods{member: memberPeriod, speaker: speakerPeriod}
}

// LeasePollPeriods returns shorter periods that also keep leader leases valid.
func LeasePollPeriods() PollPeriods {
	return PollPeriods{member: leaseMemberPeriod, speaker: leaseSpeakerPeriod}
}

// QuorumPollPeriods returns periods that keep the time of the last contact with a
// majority of the hosts recent, with no more traffic between data centres.
func QuorumPollPeriods() PollPeriods {
	return PollPeriods{member: leaseMemberPeriod, speaker: speakerPeriod}
}

// StartPollPeriods returns periods for a host that has just started, so that it learns
// soon of contact with a majority after all hosts lost power.
func StartPollPeriods() PollPeriods {
	return PollPeriods{member: startPeriod, speaker: startPeriod}
}

// SetPeriods changes how often other hosts are polled.
func (v *View) SetPeriods(periods PollPeriods) {
	v.periods = periods
}

// NewView returns the view of a host that knows no other hosts.
func NewView(self dfmember.Host, periods PollPeriods) *View {
	return &View{
		self: self, periods: periods, neighbours: map[string]*neighbour{}, carriers: map[carrierKey]carrierChoice{}, selectedAt: unset,
		contacts: map[uint32]dfclock.Millis{}, quorumAt: unset, quorumCountedAt: unset,
		heardAt: unset, speakerSince: unset,
	}
}

// Add adds a host, or updates it. The host may have no ID yet.
func (v *View) Add(now dfclock.Millis, host dfmember.Host) {
	if host.Address == v.self.Address || host.Address == "" {
		return
	}
	known := v.neighbours[host.Address]
	if known == nil {
		known = &neighbour{
			answeredAt: unset, requestedAt: unset, failedAt: unset, currentAt: unset, removedAt: unset,
		}
		v.neighbours[host.Address] = known
	}
	known.namedAt = now
	if host.ID != "" {
		if known.host.ID == "" {
			v.quorumCountedAt = unset
		}
		known.host = host
	}
	known.host.Address = host.Address
}

// HandleReport processes the answer to a request that was sent at askedAt. Ages
// in the report are taken from that time, so that information counts as too old
// rather than too new.
func (v *View) HandleReport(now, askedAt dfclock.Millis, report Report) {
	v.Add(now, report.Host)
	known := v.neighbours[report.Host.Address]
	if known == nil {
		return
	}
	known.answeredAt = now
	if v.heardAt == unset {
		v.heardAt = now
	}
	known.currentAt = max(known.currentAt, askedAt-report.CurrentAge)
	known.remoteReachable, known.isolated, known.isolationKnown = report.RemoteReachable, report.Isolated, report.IsolationKnown
	known.setLeaders(now, askedAt, report.Leaders)
	for _, contact := range report.Contacts {
		v.recordContact(contact.Host, askedAt-contact.Age)
	}
	if report.QuorumAge >= 0 {
		v.quorumAt = max(v.quorumAt, askedAt-report.QuorumAge)
	}
	for _, host := range report.Hosts {
		v.Add(now, host)
	}
	v.adoptRoster(now, askedAt, report)
}

// HandleRequest processes a request. The time to which its ages refer is
// unknown and earlier than now, so only the votes in it are used. The sender
// has received the report that this host sent to it at lastReportAt.
func (v *View) HandleRequest(now, lastReportAt dfclock.Millis, host dfmember.Host, states []LeaderState) {
	v.Add(now, host)
	if known := v.neighbours[host.Address]; known != nil {
		known.requestedAt = now
		v.recordContact(hostKey(host.Address), lastReportAt)
		known.setLeaders(now, now, states)
	}
}

func (n *neighbour) setLeaders(now, askedAt dfclock.Millis, states []LeaderState) {
	n.leaders = make(map[string]receivedLeaderState, len(states))
	for _, state := range states {
		next := receivedLeaderState{LeaderState: state, answeredAt: askedAt - state.AnswerAge}
		if state.ExpectedIn > 0 {
			next.expectedAt = now.Add(state.ExpectedIn)
		}
		n.leaders[state.Service] = next
	}
}

// RecordFailure records that a request to an address got no answer.
func (v *View) RecordFailure(now dfclock.Millis, address string) {
	known := v.neighbours[address]
	if known == nil {
		return
	}
	if !known.inBackoff(now) {
		v.selectedAt = unset
	}
	known.failedAt = now
}

// Digest returns a hash of the set of hosts that this host knows from neighbours.
func (v *View) Digest() uint64 {
	var digest uint64
	if !v.isListed(v.self) {
		digest = xxhash.Sum64String(v.self.Address)
	}
	for address, known := range v.neighbours {
		if known.host.ID != "" && !v.isListed(known.host) && !known.isRemoved() {
			digest += xxhash.Sum64String(address)
		}
	}
	return digest
}

// Hosts returns the other hosts for a report, and removes those that were not
// heard of for forgetTimeout. Hosts of the host table travel with it.
func (v *View) Hosts(now dfclock.Millis) []dfmember.Host {
	var hosts []dfmember.Host
	for address, known := range v.neighbours {
		if now-max(known.answeredAt, known.requestedAt, known.namedAt) >= forgetTimeout {
			delete(v.neighbours, address)
			continue
		}
		if known.host.ID != "" && !v.isListed(known.host) && !known.isRemoved() {
			hosts = append(hosts, known.host)
		}
	}
	return hosts
}

// HostCount returns the number of hosts that share the upstreams.
func (v *View) HostCount(now dfclock.Millis) int {
	v.Speakers(now)
	return v.servingCount
}

// servingHosts returns this host and the other serving hosts.
func (v *View) servingHosts(now dfclock.Millis) []dfmember.Host {
	hosts := make([]dfmember.Host, 1, len(v.neighbours)+1)
	hosts[0] = v.self
	for _, known := range v.neighbours {
		if known.isServing(now) {
			hosts = append(hosts, known.host)
		}
	}
	return hosts
}

// inBackoff reports whether the last request to the host failed less than
// failureBackoff ago and nothing was received from it since.
func (n *neighbour) inBackoff(now dfclock.Millis) bool {
	return n.failedAt > max(n.answeredAt, n.requestedAt) && now-n.failedAt < failureBackoff
}

// isRemoved reports whether the host was removed from the host table and not heard since.
func (n *neighbour) isRemoved() bool {
	return n.removedAt > max(n.answeredAt, n.requestedAt)
}

// isServing reports whether the ID of a host is known, it is not in backoff, and it has not
// left.
func (n *neighbour) isServing(now dfclock.Millis) bool {
	return n.host.ID != "" && !n.inBackoff(now) && !n.isRemoved()
}

// Speakers returns the speaker of each data centre in the view of this host.
func (v *View) Speakers(now dfclock.Millis) map[string]dfmember.Host {
	if v.selectedAt != unset && now-v.selectedAt < selectionTTL {
		return v.speakers
	}
	v.forgetUnlisted(now)
	speakers := map[string]dfmember.Host{}
	serving := v.servingHosts(now)
	for dataCentre, chosen := range dfmember.ChoosePerDataCentre(speakerKey, serving, probersPerDataCentre) {
		speakers[dataCentre] = chosen[0]
		if dataCentre == v.self.DataCentre {
			v.isProber = slices.Contains(chosen, v.self)
		}
	}
	switch {
	case speakers[v.self.DataCentre].Address != v.self.Address:
		v.speakerSince = unset
	case v.speakerSince == unset:
		v.speakerSince = now
	}
	v.speakers, v.selectedAt = speakers, now
	v.servingCount, v.servingHostsIn, v.failedCountIn = len(serving), map[string][]dfmember.Host{}, map[string]int{}
	for _, host := range serving {
		v.servingHostsIn[host.DataCentre] = append(v.servingHostsIn[host.DataCentre], host)
	}
	for _, known := range v.neighbours {
		if known.host.ID != "" && known.inBackoff(now) {
			v.failedCountIn[known.host.DataCentre]++
		}
	}
	clear(v.carriers)
	return speakers
}

// IsSpeaker reports whether this host is the speaker of its data centre.
func (v *View) IsSpeaker(now dfclock.Millis) bool {
	return v.Speakers(now)[v.self.DataCentre].Address == v.self.Address
}

// IsProber reports whether this host probes the leaders for its data centre. The
// probers are the speaker and the hosts that would succeed it.
func (v *View) IsProber(now dfclock.Millis) bool {
	v.Speakers(now)
	return v.isProber
}

// Carriers returns the hosts of this host's data centre that hold the
// connections to an upstream for the others. This host may be one of them.
func (v *View) Carriers(now dfclock.Millis, upstream dffleet.ID, count int) []dfmember.Host {
	return v.selectCarriers(now, upstream, v.self.DataCentre, count)
}

// CarriersIn returns the hosts of a data centre that hold the connections to an
// upstream for all hosts. It returns none if no host of the data centre is known, or if
// so many did not answer that the data centre seems cut off: each further one that is
// tried costs a statement a time-out.
func (v *View) CarriersIn(now dfclock.Millis, upstream dffleet.ID, dataCentre string, count int) []dfmember.Host {
	v.Speakers(now)
	if dataCentre != v.self.DataCentre && v.failedCountIn[dataCentre] >= cutOffFactor*count {
		return nil
	}
	return v.selectCarriers(now, upstream, dataCentre, count)
}

func (v *View) selectCarriers(now dfclock.Millis, upstream dffleet.ID, dataCentre string, count int) []dfmember.Host {
	v.Speakers(now)
	key := carrierKey{upstream, dataCentre}
	chosen, known := v.carriers[key]
	if !known || chosen.requested != count {
		chosen = carrierChoice{requested: count, hosts: dfmember.Choose(string(upstream), v.servingHostsIn[dataCentre], count)}
		v.carriers[key] = chosen
	}
	return chosen.hosts
}

// SpeakerSuspects reports whether the speaker of this host's data centre
// suspects a leader and no host of the data centre has heard from it.
func (v *View) SpeakerSuspects(now dfclock.Millis, service string, leader dffleet.ID) bool {
	speaker := v.neighbours[v.Speakers(now)[v.self.DataCentre].Address]
	if speaker == nil || !speaker.isAnswering(now) {
		return false
	}
	state, ok := speaker.leaders[service]
	return ok && state.Leader == leader && state.Suspected && state.AliveVotes == 0
}

// PollTargets returns the addresses to poll and the period of each.
func (v *View) PollTargets(now dfclock.Millis) map[string]dfclock.Millis {
	targets := map[string]dfclock.Millis{}
	speakers := v.Speakers(now)
	own := speakers[v.self.DataCentre]
	if own.Address != v.self.Address {
		targets[own.Address] = v.periods.member
	} else {
		for _, speaker := range speakers {
			if speaker.Address != v.self.Address {
				targets[speaker.Address] = v.periods.speaker
			}
		}
	}
	for _, address := range v.unidentified(now) {
		targets[address] = dfclock.Second
	}
	v.addSilentTargets(now, targets)
	return targets
}

// unidentified returns up to maxUnidentified hosts of which only the address is
// known.
func (v *View) unidentified(now dfclock.Millis) []string {
	var addresses []string
	for address, known := range v.neighbours {
		if known.host.ID == "" && !known.inBackoff(now) {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses[:min(maxUnidentified, len(addresses))]
}

// FailoverHosts returns the hosts that may replace a leader: the live speakers
// and this host.
func (v *View) FailoverHosts(now dfclock.Millis) []dfmember.Host {
	hosts := []dfmember.Host{v.self}
	for _, speaker := range v.Speakers(now) {
		known := v.neighbours[speaker.Address]
		if known != nil && known.isAlive(now) {
			hosts = append(hosts, speaker)
		}
	}
	return hosts
}

// Votes counts the other hosts that heard from a leader since a given time, and
// those that suspect it. The speakers of other data centres report the counts
// for theirs.
func (v *View) Votes(now dfclock.Millis, service string, leader dffleet.ID, since dfclock.Millis) (alive, dead int) {
	alive, dead = v.LocalVotes(now, service, leader, since)
	for _, known := range v.neighbours {
		state, ok := known.leaders[service]
		if !ok || !known.isAlive(now) || state.Leader != leader || known.host.DataCentre == v.self.DataCentre {
			continue
		}
		alive += state.AliveVotes
		dead += state.DeadVotes
	}
	return alive, dead
}

// LocalVotes counts the votes of the other hosts in this host's data centre.
func (v *View) LocalVotes(now dfclock.Millis, service string, leader dffleet.ID, since dfclock.Millis) (alive, dead int) {
	for _, known := range v.neighbours {
		state, ok := known.leaders[service]
		if !ok || !known.isAlive(now) || state.Leader != leader || known.host.DataCentre != v.self.DataCentre {
			continue
		}
		switch {
		case state.Suspected:
			dead++
		case state.answeredAt >= since:
			alive++
		}
	}
	return alive, dead
}

// SpeakerIsolation returns whether the speaker of this host's data centre
// reports it as cut off from the others. known is false if the speaker cannot
// tell yet. ok is false if this host must decide itself, because no speaker
// answers it.
func (v *View) SpeakerIsolation(now dfclock.Millis) (isolated, known, ok bool) {
	speaker := v.neighbours[v.Speakers(now)[v.self.DataCentre].Address]
	if speaker == nil || !speaker.isAnswering(now) {
		return false, false, false
	}
	return speaker.isolated, speaker.isolationKnown, true
}

// CurrentAt returns the latest time at which a neighbour was known to have the
// newest desired state.
func (v *View) CurrentAt() dfclock.Millis {
	current := unset
	for _, known := range v.neighbours {
		current = max(current, known.currentAt)
	}
	return current
}

// RemoteReachable reports whether a host in another data centre answered
// recently: to the speaker, or to this host if it is the speaker or no speaker
// answers it. It is true if no other data centre is known.
func (v *View) RemoteReachable(now dfclock.Millis) bool {
	if speaker := v.neighbours[v.Speakers(now)[v.self.DataCentre].Address]; speaker != nil && speaker.isAnswering(now) {
		return speaker.remoteReachable
	}
	known := false
	for _, other := range v.neighbours {
		if other.host.ID == "" || other.host.DataCentre == v.self.DataCentre {
			continue
		}
		known = known || other.answeredAt != unset || other.failedAt != unset
	}
	return !known || v.ReachesRemote(now)
}

// ReachesRemote reports whether a host in another data centre recently answered
// this host.
func (v *View) ReachesRemote(now dfclock.Millis) bool {
	for _, other := range v.neighbours {
		if other.host.ID != "" && other.host.DataCentre != v.self.DataCentre && other.isAnswering(now) {
			return true
		}
	}
	return false
}

// LeaderExpectedAt returns the earliest time at which a neighbour that replaces
// the leader expects the next one, or zero.
func (v *View) LeaderExpectedAt(now dfclock.Millis, service string) dfclock.Millis {
	var expectedAt dfclock.Millis
	for _, known := range v.neighbours {
		state := known.leaders[service]
		if !known.isAlive(now) || state.expectedAt == 0 {
			continue
		}
		if expectedAt == 0 || state.expectedAt < expectedAt {
			expectedAt = state.expectedAt
		}
	}
	return expectedAt
}
