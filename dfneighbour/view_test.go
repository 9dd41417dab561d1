package dfneighbour

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfposition"
)

func host(dataCentre string, number int) dfmember.Host {
	id := fmt.Sprintf("%s-%d", dataCentre, number)
	return dfmember.Host{ID: id, DataCentre: dataCentre, Address: id + ":1"}
}

// newViews returns the views of hosts that know each other, by their addresses.
func newViews(now dfclock.Millis, hosts []dfmember.Host) map[string]*View {
	all := map[string]*View{}
	for _, self := range hosts {
		view := NewView(self, DefaultPollPeriods())
		for _, other := range hosts {
			view.Add(now, other)
		}
		all[self.Address] = view
	}
	return all
}

// Guards against traffic between data centres that grows with the number of
// hosts. Of 90 hosts in 3 data centres, only the 3 speakers may poll other data
// centres.
func TestOnlySpeakersPollOtherDataCentres(t *testing.T) {
	var hosts []dfmember.Host
	for _, dataCentre := range []string{"a", "b", "c"} {
		for i := range 30 {
			hosts = append(hosts, host(dataCentre, i))
		}
	}
	all := newViews(0, hosts)
	dataCentres := map[string]string{}
	for _, h := range hosts {
		dataCentres[h.Address] = h.DataCentre
	}
	remoteTargets, speakers := 0, 0
	for _, h := range hosts {
		view := all[h.Address]
		if view.IsSpeaker(1) {
			speakers++
		}
		targets := view.PollTargets(1)
		require.NotEmpty(t, targets)
		for address := range targets {
			if dataCentres[address] != h.DataCentre {
				remoteTargets++
			}
		}
	}
	require.Equal(t, 3, speakers)
	require.Equal(t, 6, remoteTargets)
}

// Guards against a data centre that gets no reports because its speaker has
// failed.
func TestNextSpeaker(t *testing.T) {
	hosts := []dfmember.Host{host("a", 1), host("a", 2), host("a", 3), host("b", 1)}
	all := newViews(0, hosts)
	first := all[hosts[0].Address].Speakers(10)["a"]
	for _, h := range hosts[:3] {
		if h == first {
			continue
		}
		view := all[h.Address]
		view.RecordFailure(20, first.Address)
		next := view.Speakers(20)["a"]
		require.NotEqual(t, first, next)
		view.HandleRequest(30, unset, first, nil)
		require.Equal(t, first, view.Speakers(300)["a"], "its request shows that it is alive")
	}
}

// Guards against hosts that stay ready for callers although their data centre
// is cut off, and against treating a single data centre as cut off.
func TestRemote(t *testing.T) {
	alone := NewView(host("a", 1), DefaultPollPeriods())
	alone.Add(0, host("a", 2))
	require.True(t, alone.RemoteReachable(10), "no other data centre is known")

	view := NewView(host("a", 1), DefaultPollPeriods())
	view.Add(0, host("b", 1))
	view.HandleReport(100, 90, Report{Host: host("b", 1)})
	require.True(t, view.RemoteReachable(110))
	view.RecordFailure(200, host("b", 1).Address)
	require.False(t, view.RemoteReachable(210))
	view.HandleReport(300, 290, Report{Host: host("b", 1)})
	require.True(t, view.RemoteReachable(310))
	require.False(t, view.RemoteReachable(310+LivenessTimeout), "no answer for too long")
}

// Guards against counting the age of information from the arrival of a report.
// A host would then rely on it for longer than the speaker that reported it.
func TestCurrentAtCountsFromTheRequest(t *testing.T) {
	view := NewView(host("a", 1), DefaultPollPeriods())
	view.HandleReport(1000, 900, Report{Host: host("a", 2), CurrentAge: 300})
	require.Equal(t, dfclock.Millis(600), view.CurrentAt())
	view.HandleReport(1100, 1050, Report{Host: host("a", 2), CurrentAge: 5000})
	require.Equal(t, dfclock.Millis(600), view.CurrentAt(), "an older time is ignored")
}

// Guards against counting votes about another leader, votes of unreachable hosts,
// and the hosts of another data centre one by one instead of by the totals in its
// report.
func TestVotes(t *testing.T) {
	view := NewView(host("a", 1), DefaultPollPeriods())
	states := func(leader dffleet.ID, age dfclock.Millis, suspected bool) []LeaderState {
		return []LeaderState{{Service: "orders", Leader: leader, AnswerAge: age, Suspected: suspected, AliveVotes: 4, DeadVotes: 2}}
	}
	view.HandleRequest(1000, unset, host("a", 2), states("p", 10, false))
	view.HandleRequest(1000, unset, host("a", 3), states("p", 900, true))
	view.HandleRequest(1000, unset, host("a", 4), states("q", 10, false))
	view.HandleReport(1000, 995, Report{Host: host("b", 1), Leaders: states("p", 10, false)})
	alive, dead := view.Votes(1010, "orders", "p", 500)
	require.Equal(t, 1+4, alive)
	require.Equal(t, 1+2, dead)
	alive, dead = view.Votes(1010+LivenessTimeout, "orders", "p", 500)
	require.Zero(t, alive+dead)
}

// Guards against a number of probes that grows with the number of hosts.
func TestFewHostsProbe(t *testing.T) {
	var hosts []dfmember.Host
	for _, dataCentre := range []string{"a", "b"} {
		for i := range 30 {
			hosts = append(hosts, host(dataCentre, i))
		}
	}
	all := newViews(0, hosts)
	probers := 0
	for _, h := range hosts {
		view := all[h.Address]
		if view.IsProber(1) {
			probers++
		}
		require.True(t, view.IsProber(1) || !view.IsSpeaker(1), "a speaker probes")
	}
	require.Equal(t, 2*probersPerDataCentre, probers)
	small := newViews(0, hosts[:probersPerDataCentre])
	for _, view := range small {
		require.True(t, view.IsProber(1), "all hosts of a small data centre are probers")
	}
}

// Guards against hosts that stop using a leader because the speaker alone cannot
// reach it.
func TestToldNeedsAnUnheardLeader(t *testing.T) {
	hosts := []dfmember.Host{host("a", 1), host("a", 2)}
	speaker := newViews(0, hosts)[hosts[0].Address].Speakers(1)["a"]
	self := hosts[0]
	if speaker == self {
		self = hosts[1]
	}
	view := NewView(self, DefaultPollPeriods())
	report := func(at dfclock.Millis, suspected bool, alive int) {
		states := []LeaderState{{Service: "orders", Leader: "p", Suspected: suspected, AliveVotes: alive}}
		view.HandleReport(at, at, Report{Host: speaker, Leaders: states})
	}
	report(1000, true, 1)
	require.False(t, view.SpeakerSuspects(1010, "orders", "p"))
	report(1500, true, 0)
	require.True(t, view.SpeakerSuspects(1510, "orders", "p"))
	require.False(t, view.SpeakerSuspects(1510, "orders", "q"))
	require.False(t, view.SpeakerSuspects(1510+LivenessTimeout, "orders", "p"), "an old report")
	report(4000, false, 0)
	require.False(t, view.SpeakerSuspects(4010, "orders", "p"))
}

// Guards against hosts that stay ready in a data centre that is cut off,
// because only the speaker can detect it.
func TestCutOffIsToldByTheSpeaker(t *testing.T) {
	hosts := []dfmember.Host{host("a", 1), host("a", 2)}
	speaker := newViews(0, hosts)[hosts[0].Address].Speakers(1)["a"]
	for _, self := range hosts {
		view := NewView(self, DefaultPollPeriods())
		view.Add(0, hosts[0])
		view.Add(0, hosts[1])
		_, _, ok := view.SpeakerIsolation(10)
		require.False(t, ok, "the speaker has not reported")
		if self == speaker {
			continue
		}
		view.HandleReport(1000, 1000, Report{Host: speaker, Isolated: true, IsolationKnown: true})
		isolated, known, ok := view.SpeakerIsolation(1010)
		require.True(t, ok && known && isolated)
		view.HandleReport(1100, 1100, Report{Host: speaker})
		_, known, ok = view.SpeakerIsolation(1110)
		require.True(t, ok)
		require.False(t, known, "the speaker has just started")
		_, _, ok = view.SpeakerIsolation(1110 + LivenessTimeout)
		require.False(t, ok, "an old report")
	}
}

// Guards against fields that are lost when a message is encoded.
func TestMessageRoundTrip(t *testing.T) {
	report := Report{
		Host: host("a", 1), Catalog: 7, Fleet: 9, CurrentAge: 3, RemoteReachable: true, Isolated: true, IsolationKnown: true, Document: []byte("{}"),
		Leaders: []LeaderState{{
			Service: "orders", Leader: "p", AnswerAge: 4, Suspected: true, ProofAge: -1,
			Position: dfposition.Position{Term: 2, Offset: 5}, ExpectedIn: 6, AliveVotes: 1, DeadVotes: 2,
		}},
		Hosts:     []dfmember.Host{host("b", 1)},
		Upstreams: []dffleet.Upstream{{ID: "p", Born: 1, Service: "orders", Address: "x:1", Slots: 3, Primary: true, Version: 9}},
	}
	var buffer bytes.Buffer
	require.NoError(t, WriteReport(&buffer, report))
	got, err := ReadReport(&buffer)
	require.NoError(t, err)
	require.Equal(t, report, got)
	buffer.Reset()
	request := Request{Host: host("a", 2), Catalog: 1, Fleet: 2, HostsDigest: 3}
	require.NoError(t, WriteRequest(&buffer, request))
	gotRequest, err := ReadRequest(&buffer)
	require.NoError(t, err)
	require.Equal(t, request, gotRequest)
	_, err = ReadRequest(bytes.NewReader([]byte{255, 255, 255, 255}))
	require.Error(t, err, "the message is larger than allowed")
}

// Guards against stale cached carriers after a host has failed, and against a
// cached list of another length than requested.
func TestCarriersAreReselected(t *testing.T) {
	view := NewView(host("a", 0), DefaultPollPeriods())
	for i := 1; i < 6; i++ {
		view.HandleReport(10, 10, Report{Host: host("a", i)})
	}
	first := view.Carriers(10, "u", 3)
	require.Len(t, first, 3)
	require.Equal(t, 6, view.HostCount(10))
	require.Len(t, view.Carriers(10, "u", 2), 2)
	failed := first[0]
	if failed == host("a", 0) {
		failed = first[1]
	}
	view.RecordFailure(20, failed.Address)
	require.NotContains(t, view.Carriers(20, "u", 3), failed)
	require.Equal(t, 5, view.HostCount(20))
}

// Guards against carriers outside the upstream's data centre while hosts of it are
// known, against cached ones of another data centre, and against trying every host of a
// data centre that is cut off.
func TestCarriersInDataCentre(t *testing.T) {
	view := NewView(host("a", 0), DefaultPollPeriods())
	require.Empty(t, view.CarriersIn(10, "u", "b", 3))
	for i := range 9 {
		view.Add(10, host("b", i))
		view.Add(10, host("a", i))
	}
	view.selectedAt = unset
	for _, chosen := range view.CarriersIn(10, "u", "b", 3) {
		require.Equal(t, "b", chosen.DataCentre)
	}
	require.Equal(t, view.Carriers(10, "u", 3), view.CarriersIn(10, "u", "a", 3))
	for failed := range 6 {
		require.Len(t, view.CarriersIn(20, "u", "b", 3), 3, "after %d failures", failed)
		view.RecordFailure(20, host("b", failed).Address)
	}
	require.Empty(t, view.CarriersIn(20, "u", "b", 3), "the data centre seems cut off")
	for failed := 1; failed < 7; failed++ {
		view.RecordFailure(20, host("a", failed).Address)
	}
	require.NotEmpty(t, view.CarriersIn(20, "u", "a", 3), "the own data centre is never out of reach")
	require.Len(t, view.CarriersIn(20+failureBackoff, "u", "b", 3), 3, "its hosts are tried again")
}

// BenchmarkStatement measures the calls that each statement makes, at 82 hosts.
func BenchmarkStatement(b *testing.B) {
	view := NewView(host("a", 0), DefaultPollPeriods())
	for i := 1; i < 82; i++ {
		view.HandleReport(10, 10, Report{Host: host("a", i)})
	}
	for b.Loop() {
		view.HostCount(10)
		view.Carriers(10, "u", 3)
	}
}

// Guards against one odd name that makes every exchange of its hosts fail: of a host, of a
// service, or of an upstream in the list.
func TestOddNamesInMessages(t *testing.T) {
	for _, odd := range []string{"\xff\xfe", "\x00", "line\r\nbreak", "blank ", ""} {
		request := Request{Host: dfmember.Host{ID: odd, DataCentre: odd, Address: odd}, Leaders: []LeaderState{{Service: odd, Leader: dffleet.ID(odd)}}}
		report := Report{
			Host: request.Host, Hosts: []dfmember.Host{request.Host}, Leaders: request.Leaders,
			Upstreams: []dffleet.Upstream{{ID: dffleet.ID(odd), Service: odd, Address: odd, DataCentre: odd}},
		}
		var messages bytes.Buffer
		require.NoError(t, WriteRequest(&messages, request))
		require.NoError(t, WriteReport(&messages, report))
		receivedRequest, err := ReadRequest(&messages)
		require.NoError(t, err, "%q", odd)
		require.Equal(t, request, receivedRequest)
		receivedReport, err := ReadReport(&messages)
		require.NoError(t, err, "%q", odd)
		require.Equal(t, report, receivedReport)
	}
}
