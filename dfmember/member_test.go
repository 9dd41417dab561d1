package dfmember

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

func makeHosts(count, centres int) []Host {
	hosts := make([]Host, count)
	for i := range hosts {
		hosts[i] = Host{ID: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%centres)}
	}
	return hosts
}

func makeGroups(count, slots int) []Group {
	all := make([]Group, count)
	for i := range all {
		all[i] = Group{ID: fmt.Sprintf("service/%d", i), Slots: slots}
	}
	return all
}

// TestRank guards against ranks that depend on the order of the list, and against
// a removed host that changes the relative order of the others.
func TestRank(t *testing.T) {
	hosts := makeHosts(9, 3)
	rotated := append(append([]Host(nil), hosts[4:]...), hosts[:4]...)
	for i := range 200 {
		key := fmt.Sprint(i)
		ranked := Rank(key, hosts)
		require.Equal(t, ranked, Rank(key, rotated))
		require.Equal(t, 3, RankOf(key, hosts, ranked[3].ID))
		var without []Host
		for _, host := range hosts {
			if host.ID != ranked[3].ID {
				without = append(without, host)
			}
		}
		require.Equal(t, append(append([]Host(nil), ranked[:3]...), ranked[4:]...), Rank(key, without))
	}
	require.Equal(t, -1, RankOf("key", hosts, "absent"))
}

// TestChoose guards against choosing leaving hosts or more hosts than requested.
func TestChoose(t *testing.T) {
	hosts := makeHosts(20, 3)
	first := Choose("head", hosts, 1)[0]
	for i := range hosts {
		hosts[i].Leaving = hosts[i].ID == first.ID
	}
	chosen := ChoosePerDataCentre("head", hosts, 2)
	require.Len(t, chosen, 3)
	count := 0
	for _, host := range hosts {
		if IsChosen("head", hosts, 2, host.ID) {
			require.NotEqual(t, first.ID, host.ID)
			count++
		}
	}
	require.Equal(t, 6, count)
}

// TestPlace guards against hosts with more peers than their cell has, groups with
// fewer candidates than slots, cells that lie within one data centre, and the
// removal of one host that moves many holders.
func TestPlace(t *testing.T) {
	for _, c := range []struct{ hosts, centres, groups, slots int }{
		{6, 3, 3, 3}, {7, 3, 3, 5}, {2, 1, 3, 5}, {400, 18, 720, 5},
	} {
		hosts := makeHosts(c.hosts, c.centres)
		all := makeGroups(c.groups, c.slots)
		placement := Place(hosts, all)
		for _, host := range hosts {
			require.LessOrEqual(t, len(placement.Peers(host.ID, c.slots)), c.slots-1)
		}
		for _, group := range all {
			candidates := placement.Candidates(group.ID)
			require.GreaterOrEqual(t, len(candidates), min(c.slots, c.hosts))
			centres := make(map[string]int)
			for _, id := range candidates[:min(c.slots, c.hosts)] {
				var number int
				_, err := fmt.Sscanf(id, "h%d", &number)
				require.NoError(t, err)
				centres[hosts[number].DataCentre]++
			}
			require.GreaterOrEqual(t, len(centres), min(2, c.centres))
		}
	}
	hosts, all := makeHosts(410, 18), makeGroups(720, 5)
	before, moved, total := Place(hosts, all), 0, 0
	for i := range 20 {
		after := Place(append(append([]Host(nil), hosts[:i]...), hosts[i+1:]...), all)
		for name, holders := range before.cells {
			for _, id := range holders[:5] {
				total++
				if !slices.Contains(after.cells[name][:5], id) {
					moved++
				}
			}
		}
	}
	t.Logf("%d of %d holders moved by the removal of 20 hosts, one at a time", moved, total)
	require.LessOrEqual(t, moved, total/20)
}

// TestBalance guards at full size against more idle hosts than the standbys,
// against a host that holds over a third more databases than the mean, against a
// placement that depends on the order of the databases, and against an added
// database that moves many others.
func TestBalance(t *testing.T) {
	hosts, all := makeHosts(2000, 18), makeGroups(3600, 5)
	rotated := append(append([]Group(nil), all[100:]...), all[:100]...)
	placement := Place(hosts, all)
	require.Equal(t, placement, Place(hosts, rotated))
	held, most := make(map[string]int), 0
	for _, group := range all {
		for _, id := range placement.Candidates(group.ID)[:5] {
			held[id]++
			most = max(most, held[id])
		}
	}
	t.Logf("%d hosts hold slots, at most %d each", len(held), most)
	require.GreaterOrEqual(t, len(held), 2000*9/10)
	require.LessOrEqual(t, most, 3600*5/2000*4/3)
	moved := 0
	for i := range 10 {
		before := Place(hosts, append(append([]Group(nil), all[:i*300]...), all[i*300+1:]...))
		for id, name := range before.cellOf {
			if placement.cellOf[id] != name {
				moved++
			}
		}
	}
	t.Logf("%d databases moved by adding 10, one at a time", moved)
	require.LessOrEqual(t, moved, 10*3600/100)
}

// TestList guards against dropping hosts because the platform's list lags, and
// against keeping hosts that cannot be reached.
func TestList(t *testing.T) {
	live := func(list List, now dfclock.Millis) (ids []string) {
		for _, host := range list.Live(now) {
			ids = append(ids, host.ID)
		}
		return ids
	}
	a, b := dfplatform.Member{ID: "a", Kind: dfplatform.KindHost}, dfplatform.Member{ID: "b", Kind: dfplatform.KindHost}
	list := NewList().WithMembers([]dfplatform.Member{a, b, {ID: "u", Kind: dfplatform.KindUpstream}})
	require.Equal(t, []string{"a", "b"}, live(list, 0))
	list = list.WithContact(Host{ID: "new"}, 100)
	require.Equal(t, []string{"a", "b", "new"}, live(list, 100+unlistedTimeout))
	require.Equal(t, []string{"a", "b"}, live(list, 101+unlistedTimeout))
	list = list.WithFailedContact("a", 200).WithFailedContact("a", 300)
	require.Contains(t, live(list, 199+failureTimeout), "a")
	require.NotContains(t, live(list, 200+failureTimeout), "a")
	require.Contains(t, live(list.WithContact(Host{ID: "a"}, 400), 9000), "a")
	list = list.WithLeaving("b")
	host, ok := list.Find("b")
	require.True(t, ok && host.Leaving)
	// The leaving mark survives a lagging list and is removed with the entry.
	host, _ = list.WithMembers([]dfplatform.Member{b}).Find("b")
	require.True(t, host.Leaving)
	host, _ = list.WithMembers(nil).WithMembers([]dfplatform.Member{b}).Find("b")
	require.False(t, host.Leaving)
}

// BenchmarkPlace measures the placement of 3,600 databases on 2,000 hosts.
func BenchmarkPlace(b *testing.B) {
	hosts, all := makeHosts(2000, 18), makeGroups(3600, 5)
	for b.Loop() {
		Place(hosts, all)
	}
}
