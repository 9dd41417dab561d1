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

// circles returns the circles of hosts that know each other.
func circles(now dfclock.Millis, hosts []dfmember.Host) map[string]*Circle {
	all := map[string]*Circle{}
	for _, self := range hosts {
		circle := NewCircle(self, UsualPace())
		for _, other := range hosts {
			circle.Learn(now, other)
		}
		all[self.Address] = circle
	}
	return all
}

// Guards against messages between data centres that grow with the number of
// hosts: at 90 hosts in 3 data centres only 3 of them may cross.
func TestOnlySpeakersCross(t *testing.T) {
	var hosts []dfmember.Host
	for _, dataCentre := range []string{"a", "b", "c"} {
		for i := range 30 {
			hosts = append(hosts, host(dataCentre, i))
		}
	}
	all := circles(0, hosts)
	dataCentres := map[string]string{}
	for _, h := range hosts {
		dataCentres[h.Address] = h.DataCentre
	}
	crossing, speakers := 0, 0
	for _, h := range hosts {
		circle := all[h.Address]
		if circle.Speaks(1) {
			speakers++
		}
		targets := circle.Targets(1)
		require.NotEmpty(t, targets)
		for address := range targets {
			if dataCentres[address] != h.DataCentre {
				crossing++
			}
		}
	}
	require.Equal(t, 3, speakers)
	require.Equal(t, 6, crossing)
}

// Guards against a data centre that hears nothing because its speaker is dead.
func TestNextSpeaker(t *testing.T) {
	hosts := []dfmember.Host{host("a", 1), host("a", 2), host("a", 3), host("b", 1)}
	all := circles(0, hosts)
	first := all[hosts[0].Address].Speakers(10)["a"]
	for _, h := range hosts[:3] {
		if h == first {
			continue
		}
		circle := all[h.Address]
		circle.Failed(20, first.Address)
		next := circle.Speakers(20)["a"]
		require.NotEqual(t, first, next)
		circle.Met(30, never, first, nil)
		require.Equal(t, first, circle.Speakers(300)["a"], "it asks again, so it lives")
	}
}

// Guards against hosts of a cut data centre that go on asking for callers, and
// against hosts of a single data centre that count as cut off.
func TestRemote(t *testing.T) {
	alone := NewCircle(host("a", 1), UsualPace())
	alone.Learn(0, host("a", 2))
	require.True(t, alone.Remote(10), "no other data centre is known")

	circle := NewCircle(host("a", 1), UsualPace())
	circle.Learn(0, host("b", 1))
	circle.Heard(100, 90, Report{Host: host("b", 1)})
	require.True(t, circle.Remote(110))
	circle.Failed(200, host("b", 1).Address)
	require.False(t, circle.Remote(210))
	circle.Heard(300, 290, Report{Host: host("b", 1)})
	require.True(t, circle.Remote(310))
	require.False(t, circle.Remote(310+AliveSpan), "silence")
}

// Guards against a member that relies on its speaker's word for longer than the
// speaker has it.
func TestCurrentAtCountsFromTheQuestion(t *testing.T) {
	circle := NewCircle(host("a", 1), UsualPace())
	circle.Heard(1000, 900, Report{Host: host("a", 2), CurrentAgo: 300})
	require.Equal(t, dfclock.Millis(600), circle.CurrentAt())
	circle.Heard(1100, 1050, Report{Host: host("a", 2), CurrentAgo: 5000})
	require.Equal(t, dfclock.Millis(600), circle.CurrentAt(), "older knowledge changes nothing")
}

// Guards against votes of another leader, of silent hosts, and against votes of
// another data centre that are counted host by host.
func TestVotes(t *testing.T) {
	circle := NewCircle(host("a", 1), UsualPace())
	lead := func(leader dffleet.ID, ago dfclock.Millis, suspected bool) []Lead {
		return []Lead{{Service: "orders", Leader: leader, HeardAgo: ago, Suspected: suspected, Alive: 4, Dead: 2}}
	}
	circle.Met(1000, never, host("a", 2), lead("p", 10, false))
	circle.Met(1000, never, host("a", 3), lead("p", 900, true))
	circle.Met(1000, never, host("a", 4), lead("q", 10, false))
	circle.Heard(1000, 995, Report{Host: host("b", 1), Leads: lead("p", 10, false)})
	alive, dead := circle.Votes(1010, "orders", "p", 500)
	require.Equal(t, 1+4, alive)
	require.Equal(t, 1+2, dead)
	alive, dead = circle.Votes(1010+AliveSpan, "orders", "p", 500)
	require.Zero(t, alive+dead)
}

// Guards against probes of a leader that grow with the number of hosts.
func TestFewHostsProbe(t *testing.T) {
	var hosts []dfmember.Host
	for _, dataCentre := range []string{"a", "b"} {
		for i := range 30 {
			hosts = append(hosts, host(dataCentre, i))
		}
	}
	all := circles(0, hosts)
	probing := 0
	for _, h := range hosts {
		circle := all[h.Address]
		if circle.Probes(1) {
			probing++
		}
		require.True(t, circle.Probes(1) || !circle.Speaks(1), "a speaker probes")
	}
	require.Equal(t, 2*probers, probing)
	small := circles(0, hosts[:probers])
	for _, circle := range small {
		require.True(t, circle.Probes(1), "a small data centre has no listeners")
	}
}

// Guards against listeners that stop using a leader because their speaker alone
// is cut off from it.
func TestToldNeedsAnUnheardLeader(t *testing.T) {
	hosts := []dfmember.Host{host("a", 1), host("a", 2)}
	speaker := circles(0, hosts)[hosts[0].Address].Speakers(1)["a"]
	self := hosts[0]
	if speaker == self {
		self = hosts[1]
	}
	circle := NewCircle(self, UsualPace())
	hear := func(at dfclock.Millis, suspected bool, alive int) {
		leads := []Lead{{Service: "orders", Leader: "p", Suspected: suspected, Alive: alive}}
		circle.Heard(at, at, Report{Host: speaker, Leads: leads})
	}
	hear(1000, true, 1)
	require.False(t, circle.Told(1010, "orders", "p"))
	hear(1500, true, 0)
	require.True(t, circle.Told(1510, "orders", "p"))
	require.False(t, circle.Told(1510, "orders", "q"))
	require.False(t, circle.Told(1510+AliveSpan, "orders", "p"), "an old report")
	hear(4000, false, 0)
	require.False(t, circle.Told(4010, "orders", "p"))
}

// Guards against hosts of a cut data centre that stay ready because they do not
// see for themselves what their speaker sees.
func TestCutOffIsToldByTheSpeaker(t *testing.T) {
	hosts := []dfmember.Host{host("a", 1), host("a", 2)}
	speaker := circles(0, hosts)[hosts[0].Address].Speakers(1)["a"]
	for _, self := range hosts {
		circle := NewCircle(self, UsualPace())
		circle.Learn(0, hosts[0])
		circle.Learn(0, hosts[1])
		_, _, ok := circle.CutOff(10)
		require.False(t, ok, "nobody has told")
		if self == speaker {
			continue
		}
		circle.Heard(1000, 1000, Report{Host: speaker, CutOff: true, Judged: true})
		cutOff, judged, ok := circle.CutOff(1010)
		require.True(t, ok && judged && cutOff)
		circle.Heard(1100, 1100, Report{Host: speaker})
		_, judged, ok = circle.CutOff(1110)
		require.True(t, ok)
		require.False(t, judged, "it has just started")
		_, _, ok = circle.CutOff(1110 + AliveSpan)
		require.False(t, ok, "an old report")
	}
}

// Guards against messages that lose a field on the way.
func TestFrames(t *testing.T) {
	report := Report{
		Host: host("a", 1), Catalog: 7, Fleet: 9, CurrentAgo: 3, Remote: true, CutOff: true, Judged: true, Document: []byte("{}"),
		Leads: []Lead{{
			Service: "orders", Leader: "p", HeardAgo: 4, Suspected: true, ProvedAgo: -1,
			Position: dfposition.Position{Term: 2, Offset: 5}, BackIn: 6, Alive: 1, Dead: 2,
		}},
		Hosts:     []dfmember.Host{host("b", 1)},
		Upstreams: []dffleet.Upstream{{ID: "p", Born: 1, Service: "orders", Address: "x:1", Slots: 3, Primary: true, Version: 9}},
	}
	var wire bytes.Buffer
	require.NoError(t, WriteReport(&wire, report))
	got, err := ReadReport(&wire)
	require.NoError(t, err)
	require.Equal(t, report, got)
	wire.Reset()
	question := Question{Host: host("a", 2), Catalog: 1, Fleet: 2, Circle: 3}
	require.NoError(t, WriteQuestion(&wire, question))
	asked, err := ReadQuestion(&wire)
	require.NoError(t, err)
	require.Equal(t, question, asked)
	_, err = ReadQuestion(bytes.NewReader([]byte{255, 255, 255, 255}))
	require.Error(t, err, "a frame beyond the bound")
}

// Guards against carriers of an earlier moment after a host was lost, and against
// a list of another length than asked for.
func TestCarriersFollowTheChoice(t *testing.T) {
	circle := NewCircle(host("a", 0), UsualPace())
	for i := 1; i < 6; i++ {
		circle.Heard(10, 10, Report{Host: host("a", i)})
	}
	first := circle.Carriers(10, "u", 3)
	require.Len(t, first, 3)
	require.Equal(t, 6, circle.Count(10))
	require.Len(t, circle.Carriers(10, "u", 2), 2)
	lost := first[0]
	if lost == host("a", 0) {
		lost = first[1]
	}
	circle.Failed(20, lost.Address)
	require.NotContains(t, circle.Carriers(20, "u", 3), lost)
	require.Equal(t, 5, circle.Count(20))
}

// BenchmarkStatement measures what each statement asks of a circle of 82 hosts.
func BenchmarkStatement(b *testing.B) {
	circle := NewCircle(host("a", 0), UsualPace())
	for i := 1; i < 82; i++ {
		circle.Heard(10, 10, Report{Host: host("a", i)})
	}
	for b.Loop() {
		circle.Count(10)
		circle.Carriers(10, "u", 3)
	}
}
