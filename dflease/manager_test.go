package dflease

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfplatform"
)

const tick = 100 * dfclock.Millisecond

// connection is one connection from a host to an upstream.
type connection struct {
	number   int
	held     Held
	upstream dfgroup.UpstreamID
	openedAt dfclock.Millis
}

// testHost is a simulated host with its Manager.
type testHost struct {
	id      string
	manager *Manager
	// clockOffset is the difference of the host's clock from simulation time.
	clockOffset dfclock.Millis
	// connections are those that the host believes to be open.
	connections map[*connection]bool
	// queue has the events to deliver to the host.
	queue            []delivery
	pausedUntil      dfclock.Millis
	partitionedUntil dfclock.Millis
	crashed          bool
}

type delivery struct {
	due   dfclock.Millis
	event func(local dfclock.Millis) Event
}

// simulation is a discrete-time simulation of the table, the upstreams and the
// hosts.
type simulation struct {
	now       dfclock.Millis
	random    *rand.Rand
	rows      map[string]dfplatform.Row
	tableDown bool
	faultFree bool
	hosts     []*testHost
	// open has the connections that are open at the upstreams.
	open      map[*connection]bool
	opened    int
	groups    []dfgroup.ID
	upstreams []dfgroup.UpstreamID
	slots     int
	// otherHosts are live hosts that hold slots of other groups. They are not
	// simulated.
	otherHosts []string
	// reads counts the lists and single rows read.
	reads int
}

func newSimulation(seed uint64, hosts, groups, slots int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), rows: make(map[string]dfplatform.Row),
		open: make(map[*connection]bool), slots: slots, upstreams: []dfgroup.UpstreamID{"a", "b", "c"},
	}
	for i := range groups {
		sim.groups = append(sim.groups, dfgroup.ID(fmt.Sprintf("s/%d", i)))
	}
	for i := range hosts {
		sim.hosts = append(sim.hosts, sim.newHost(fmt.Sprintf("h%d", i), "1"))
	}
	return sim
}

func (sim *simulation) newHost(id, incarnation string) *testHost {
	host := &testHost{
		id: id, clockOffset: dfclock.Millis(sim.random.IntN(100000)), connections: make(map[*connection]bool),
		manager: NewManager(Settings{Host: id, Incarnation: incarnation}),
	}
	var specs []GroupSpec
	for _, group := range sim.groups {
		specs = append(specs, GroupSpec{group, sim.slots, sim.upstreams, []string{"h0", "h1", "h2", "h3", "h4", "h5"}})
	}
	sim.perform(host, host.manager.Step(sim.now+host.clockOffset, Configured{specs}))
	return host
}

func (sim *simulation) deliverLater(host *testHost, event func(dfclock.Millis) Event) {
	host.queue = append(host.queue, delivery{sim.now.Add(dfclock.Millis(sim.random.IntN(120))), event})
}

func (sim *simulation) tableAnswers(host *testHost) bool {
	return !sim.tableDown && sim.now >= host.partitionedUntil && (sim.faultFree || sim.random.IntN(30) > 0)
}

// perform carries out actions and schedules their results, failures included.
func (sim *simulation) perform(host *testHost, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case ReadRows:
			sim.reads += len(action.Prefixes) + len(action.Keys)
			requestedAt, rows, ok := sim.now+host.clockOffset, sim.read(action), sim.tableAnswers(host)
			sim.deliverLater(host, func(dfclock.Millis) Event {
				if !ok {
					return ReadFailed{}
				}
				return RowsRead{requestedAt, rows}
			})
		case Commit:
			result := Failed
			if sim.tableAnswers(host) {
				result = sim.commit(action)
			}
			if !sim.faultFree && sim.random.IntN(20) == 0 {
				result = Failed // The answer is lost.
			}
			sim.deliverLater(host, func(dfclock.Millis) Event { return Committed{result} })
		case Terminate:
			ok := sim.now >= host.partitionedUntil || sim.random.IntN(2) == 0
			if ok {
				sim.terminate(action)
			}
			sim.deliverLater(host, func(dfclock.Millis) Event {
				return Terminated{action.Group, action.Epoch, action.Upstream, action.Again, ok}
			})
		case Probe:
			sim.probe(host, action)
		case Lost:
			for c := range host.connections {
				if c.held == (Held{action.Group, action.Index, action.Epoch}) {
					delete(host.connections, c)
					delete(sim.open, c)
				}
			}
		}
	}
}

func (sim *simulation) read(action ReadRows) []dfplatform.Row {
	var rows []dfplatform.Row
	for key, row := range sim.rows {
		for _, prefix := range action.Prefixes {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
	}
	for _, key := range action.Keys {
		if row, ok := sim.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

func (sim *simulation) commit(action Commit) Result {
	for _, write := range action.Writes {
		if sim.rows[write.Key].Version != write.IfVersion {
			return Conflict
		}
	}
	for _, write := range action.Writes {
		if write.Delete {
			delete(sim.rows, write.Key)
			continue
		}
		sim.rows[write.Key] = dfplatform.Row{Key: write.Key, Value: write.Value, Version: write.IfVersion + 1}
	}
	return Done
}

// terminate closes connections by application name. Their hosts are notified of
// most of them, but not of all.
func (sim *simulation) terminate(action Terminate) {
	for _, c := range sim.sorted(sim.open) {
		name := ApplicationName(c.held.Group, c.held.Index, c.held.Epoch)
		if c.upstream != action.Upstream || !action.Matches(name) {
			continue
		}
		delete(sim.open, c)
		for _, host := range sim.hosts {
			if host.connections[c] && sim.random.IntN(3) > 0 {
				sim.deliverLater(host, func(dfclock.Millis) Event {
					delete(host.connections, c)
					return ConnectionTerminated{c.held.Group, c.held.Epoch}
				})
			}
		}
	}
}

func (sim *simulation) probe(host *testHost, action Probe) {
	sentAt := sim.now + host.clockOffset
	for _, c := range sim.sorted(host.connections) {
		if c.held.Group == action.Group && c.held.Epoch == action.Epoch && sim.open[c] {
			sim.deliverLater(host, func(dfclock.Millis) Event {
				return ProbeAnswered{action.Group, action.Epoch, c.upstream, c.openedAt, sentAt}
			})
		}
	}
}

// sorted returns the connections in a fixed order, so that random draws are
// repeatable for a seed.
func (sim *simulation) sorted(set map[*connection]bool) []*connection {
	all := make([]*connection, 0, len(set))
	for c := range set {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
	return all
}

// step advances the simulation by one tick.
func (sim *simulation) step() {
	sim.now += tick
	live := append(make([]string, 0, len(sim.otherHosts)+len(sim.hosts)), sim.otherHosts...)
	for _, host := range sim.hosts {
		if !host.crashed && sim.now >= host.pausedUntil {
			live = append(live, host.id)
		}
	}
	for _, host := range sim.hosts {
		if host.crashed || sim.now < host.pausedUntil {
			continue
		}
		local := sim.now + host.clockOffset
		queue := host.queue
		host.queue = nil
		for _, pending := range queue {
			if pending.due > sim.now {
				host.queue = append(host.queue, pending)
				continue
			}
			sim.perform(host, host.manager.Step(local, pending.event(local)))
		}
		sim.perform(host, host.manager.Step(local, LiveHosts{live}))
		sim.perform(host, host.manager.Step(local, Tick{}))
		sim.connect(host, local)
	}
}

// connect opens missing connections where the host may open them.
func (sim *simulation) connect(host *testHost, local dfclock.Millis) {
	for _, group := range sim.groups {
		held, ok := host.manager.Slot(group)
		for _, upstream := range sim.upstreams {
			if !ok || !host.manager.MayOpen(group, upstream, local) || sim.random.IntN(4) > 0 {
				continue
			}
			count := 0
			for c := range host.connections {
				if c.held == held && c.upstream == upstream {
					count++
				}
			}
			if count < 2 {
				sim.opened++
				c := &connection{sim.opened, held, upstream, local}
				host.connections[c], sim.open[c] = true, true
			}
		}
	}
}

// checkSingleOwner returns an error if two hosts may open connections for the same
// slot at the same upstream.
func (sim *simulation) checkSingleOwner() error {
	type place struct {
		group    dfgroup.ID
		index    int
		upstream dfgroup.UpstreamID
	}
	owners := make(map[place]string)
	for _, host := range sim.hosts {
		for _, group := range sim.groups {
			held, ok := host.manager.Slot(group)
			for _, upstream := range sim.upstreams {
				if !ok || host.crashed || !host.manager.MayOpen(group, upstream, sim.now+host.clockOffset) {
					continue
				}
				key := place{group, held.Index, upstream}
				if other, taken := owners[key]; taken {
					return eris.Errorf("%s and %s both may open connections for %v at %d", other, host.id, key, sim.now)
				}
				owners[key] = host.id
			}
		}
	}
	return nil
}

// injectFault starts a random fault.
func (sim *simulation) injectFault() {
	host := sim.hosts[sim.random.IntN(len(sim.hosts))]
	until := sim.now.Add(dfclock.Millis(sim.random.IntN(60000)))
	switch sim.random.IntN(8) {
	case 0, 1:
		host.pausedUntil = until
	case 2, 3:
		host.partitionedUntil = until
	case 4:
		sim.tableDown = !sim.tableDown
	case 5:
		sim.tableDown = false
	case 6:
		if !host.crashed {
			host.crashed = true
			for c := range host.connections {
				delete(sim.open, c)
			}
		}
	default:
		for i := range sim.hosts {
			if sim.hosts[i].crashed {
				sim.hosts[i] = sim.newHost(sim.hosts[i].id, fmt.Sprint(sim.now))
			}
		}
	}
}

// converge ends all faults, runs for 100 s and requires that every slot then has an
// owner that may open connections.
func (sim *simulation) converge(t *testing.T, seed uint64) {
	t.Helper()
	sim.faultFree, sim.tableDown = true, false
	for i, host := range sim.hosts {
		host.pausedUntil, host.partitionedUntil = 0, 0
		if host.crashed {
			sim.hosts[i] = sim.newHost(host.id, fmt.Sprint(sim.now))
		}
	}
	for range 100 * dfclock.Second / tick {
		sim.step()
		if err := sim.checkSingleOwner(); err != nil {
			require.NoError(t, err, "seed %d", seed)
		}
	}
	for _, group := range sim.groups {
		count := 0
		for _, host := range sim.hosts {
			if host.manager.MayOpen(group, "a", sim.now+host.clockOffset) {
				count++
			}
		}
		require.Equal(t, min(sim.slots, len(sim.hosts)), count, "seed %d group %s", seed, group)
	}
}

func seeds(t *testing.T) uint64 {
	text := os.Getenv("DRAGONFLYGRADE_SEEDS")
	if text == "" {
		return 200
	}
	count, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err)
	return count
}

// TestSingleOwner guards against two owners of a slot while hosts pause, crash,
// restart and are partitioned and the table fails and loses answers, and against
// slots that have no owner after these faults.
func TestSingleOwner(t *testing.T) {
	takeovers := 0
	for seed := range seeds(t) {
		sim := newSimulation(seed, 4, 2, 3)
		for range 200 * dfclock.Second / tick {
			if sim.random.IntN(60) == 0 {
				sim.injectFault()
			}
			sim.step()
			require.NoError(t, sim.checkSingleOwner(), "seed %d", seed)
		}
		sim.converge(t, seed)
		for _, group := range sim.groups {
			for index := range sim.slots {
				_, _, row, err := DecodeSlot(sim.rows[SlotKey(group, index)])
				require.NoError(t, err)
				takeovers += int(row.Epoch) - 1
			}
		}
	}
	t.Logf("%d takeovers", takeovers)
	require.Positive(t, takeovers)
}

// TestSingleOwnerCheckFires verifies that the check of TestSingleOwner detects an
// injected fault: an owner whose lease never expires by its own clock.
func TestSingleOwnerCheckFires(t *testing.T) {
	sim := newSimulation(1, 4, 1, 3)
	sim.converge(t, 1)
	for _, host := range sim.hosts {
		if _, ok := host.manager.Slot("s/0"); ok {
			host.manager.validUntil = dfclock.Never
			host.pausedUntil = sim.now.Add(120 * dfclock.Second)
			break
		}
	}
	var err error
	for range 100 * dfclock.Second / tick {
		sim.step()
		if err == nil {
			err = sim.checkSingleOwner()
		}
	}
	require.ErrorContains(t, err, "both may open")
}

// TestTableOutage guards against slots that change owner because the table was
// unavailable, and against owners that stop opening connections meanwhile.
func TestTableOutage(t *testing.T) {
	sim := newSimulation(3, 5, 3, 3)
	sim.converge(t, 3)
	owners := func() (text string) {
		for _, host := range sim.hosts {
			for _, group := range sim.groups {
				if held, ok := host.manager.Slot(group); ok {
					text += fmt.Sprint(host.id, held)
					require.True(t, host.manager.MayOpen(group, "a", sim.now+host.clockOffset), host.id)
				}
			}
		}
		return text
	}
	before := owners()
	sim.tableDown = true
	for range 600 * dfclock.Second / tick {
		sim.step()
	}
	require.Equal(t, before, owners())
	sim.converge(t, 3)
	require.Equal(t, before, owners())
}

// TestPausedOwner guards against a paused owner that opens connections after a
// takeover.
func TestPausedOwner(t *testing.T) {
	sim := newSimulation(4, 4, 1, 3)
	sim.converge(t, 4)
	var owner *testHost
	for _, host := range sim.hosts {
		if _, ok := host.manager.Slot("s/0"); ok {
			owner = host
		}
	}
	before, _ := owner.manager.Slot("s/0")
	owner.pausedUntil = sim.now.Add(60 * dfclock.Second)
	for range 60 * dfclock.Second / tick {
		require.NoError(t, sim.checkSingleOwner())
		sim.step()
	}
	require.False(t, owner.manager.Valid(sim.now+owner.clockOffset))
	require.False(t, owner.manager.MayOpen("s/0", "a", sim.now+owner.clockOffset))
	for range 5 * dfclock.Second / tick {
		sim.step()
	}
	_, holds := owner.manager.Slot("s/0")
	require.False(t, holds)
	require.Equal(t, "1.1", owner.manager.Incarnation())
	_, _, row, err := DecodeSlot(sim.rows[SlotKey("s/0", before.Index)])
	require.NoError(t, err)
	require.Equal(t, before.Epoch+1, row.Epoch)
}

// TestDrain guards against slots that stay vacant until a lease expires although
// their owner has released them, and against a release that does not record that no
// connections are left, so that the next owner terminates them.
func TestDrain(t *testing.T) {
	sim := newSimulation(5, 4, 1, 3)
	sim.converge(t, 5)
	for _, host := range sim.hosts {
		if held, ok := host.manager.Slot("s/0"); ok {
			host.connections = make(map[*connection]bool)
			sim.perform(host, host.manager.Step(sim.now+host.clockOffset, Drained{}))
			for range 10 * dfclock.Second / tick {
				sim.step()
				if host.manager.released {
					host.crashed = true
				}
			}
			require.True(t, host.crashed)
			_, _, row, err := DecodeSlot(sim.rows[SlotKey("s/0", held.Index)])
			require.NoError(t, err)
			require.Equal(t, held.Epoch+1, row.Epoch)
			require.Equal(t, held.Epoch, row.Cleared)
			return
		}
	}
}

// TestUnconfirmedSlot guards against opening connections after an administrator
// terminated one and before a read has confirmed the slot.
func TestUnconfirmedSlot(t *testing.T) {
	sim := newSimulation(6, 3, 1, 3)
	sim.converge(t, 6)
	host := sim.hosts[0]
	held, _ := host.manager.Slot("s/0")
	sim.tableDown = true
	sim.perform(host, host.manager.Step(sim.now+host.clockOffset, ConnectionTerminated{"s/0", held.Epoch}))
	for range 100 {
		sim.step()
		require.False(t, host.manager.MayOpen("s/0", "a", sim.now+host.clockOffset))
	}
	sim.tableDown = false
	for range 100 {
		sim.step()
	}
	require.True(t, host.manager.MayOpen("s/0", "a", sim.now+host.clockOffset))
}

// TestEventDuringRead guards against an unconfirmed slot or a new group that waits
// for a whole read interval because it came up while a read was in flight.
func TestEventDuringRead(t *testing.T) {
	sim := newSimulation(8, 3, 1, 3)
	sim.converge(t, 8)
	manager := sim.hosts[0].manager
	held, _ := manager.Slot("s/0")
	now := sim.now + sim.hosts[0].clockOffset
	manager.inFlight, manager.sentAt = true, now
	var rows []dfplatform.Row
	for _, row := range sim.rows {
		rows = append(rows, row)
	}
	manager.Step(now+10, ConnectionTerminated{"s/0", held.Epoch})
	require.Contains(t, manager.Step(now+20, RowsRead{now, rows}), manager.requestRows(now+20))
	manager.Step(now+30, RowsRead{now + 20, rows})
	require.True(t, manager.MayOpen("s/0", "a", now+30))
	manager.inFlight = true
	manager.Step(now+40, Configured{[]GroupSpec{manager.groups["s/0"], {"s/1", 1, sim.upstreams, []string{"h0"}}}})
	require.Contains(t, manager.Step(now+50, RowsRead{now + 40, rows}), manager.requestRows(now+50))
}

// TestReadBudget guards against renewals that read all rows again, and against a
// read interval that does not grow with the number of hosts, so that their reads
// exceed the table's rate.
func TestReadBudget(t *testing.T) {
	sim := newSimulation(9, 3, 1, 3)
	sim.converge(t, 9)
	manager := sim.hosts[0].manager
	now := sim.now + sim.hosts[0].clockOffset
	manager.inFlight, manager.renewAt, manager.nextReadAt = false, now, now.Add(maxIdleReadInterval)
	actions := manager.Step(now, Tick{})
	require.Len(t, actions, 1)
	require.Len(t, actions[0].(Commit).Writes, 1)
	require.Equal(t, []Action{ReadRows{Keys: []string{HostKey("h0")}}}, manager.Step(now+1, Committed{Done}))
	require.Equal(t, minIdleReadInterval, manager.idleInterval())
	for i := range 2000 {
		manager.live[fmt.Sprint(i)] = true
	}
	manager.readCalls = 20
	require.Equal(t, maxIdleReadInterval, manager.idleInterval())
}

// TestReadRate guards at full size against idle hosts that exceed the read rate set
// by the constants. When renewals read all rows again, hosts made 3,500 reads/s;
// the table allows 2,000.
func TestReadRate(t *testing.T) {
	const hosts, span = 2000, 240 * dfclock.Second
	sim := newSimulation(10, 5, 9, 5)
	for i := range hosts - len(sim.hosts) {
		sim.otherHosts = append(sim.otherHosts, fmt.Sprint("other", i))
	}
	sim.converge(t, 10)
	sim.reads = 0
	for range span / tick {
		sim.step()
	}
	rate := sim.reads * hosts / len(sim.hosts) / int(span/dfclock.Second)
	t.Logf("%d reads/s of %d hosts", rate, hosts)
	// Reads of all rows and of one row after each renewal, plus a tenth for late
	// answers.
	require.LessOrEqual(t, rate, (idleReadsPerSecond+hosts/int(RenewInterval/dfclock.Second))*11/10)
}

// TestApplicationNames guards against application names that PostgreSQL truncates.
func TestApplicationNames(t *testing.T) {
	long := dfgroup.ID(strings.Repeat("x", 63) + "/" + strings.Repeat("y", 63))
	require.LessOrEqual(t, len(ApplicationName(long, 63, 1<<40)), 63)
	require.Equal(t, []string{ApplicationName("g", 1, 5), ApplicationName("g", 1, 4)},
		earlierNames("g", 1, SlotRow{Epoch: 5, Cleared: 3}))
}

// Guards against connections of an owner whose claim the table lost: the next owner
// must not get its epoch, and has to terminate its connections.
func TestLostOwnersAreTerminated(t *testing.T) {
	require.Equal(t, uint64(6), nextEpoch(5, 1))
	epoch := nextEpoch(5, 2)
	require.Greater(t, epoch, uint64(5+64))
	require.Equal(t, epoch+1, nextEpoch(epoch, 2))
	require.Greater(t, nextEpoch(5, 3), epoch+64)
	held := newSlot("g", 1, SlotRow{Epoch: epoch, Cleared: 5})
	actions := held.clearUpstreams(1000, []dfgroup.UpstreamID{"a"})
	require.Len(t, actions, 1)
	action, ok := actions[0].(Terminate)
	require.True(t, ok)
	require.True(t, action.Matches(ApplicationName("g", 1, 6)))
	require.False(t, action.Matches(ApplicationName("g", 1, epoch)))
	require.False(t, action.Matches(ApplicationName("g", 11, 6)))
	require.False(t, newSlot("g", 1, SlotRow{Epoch: epoch + 1, Cleared: epoch}).lacksOwners)
}

// Guards against an owner that goes on for the time between two reads although the
// table lost its claim.
func TestRestoredRowsAreReadAtOnce(t *testing.T) {
	sim := newSimulation(7, 3, 1, 3)
	sim.converge(t, 7)
	host := sim.hosts[0]
	held, ok := host.manager.Slot("s/0")
	require.True(t, ok)
	host.manager.inFlight = false
	now := host.manager.nextReadAt - 1
	actions := host.manager.Step(now, TableRestored{})
	require.Len(t, actions, 1)
	require.IsType(t, ReadRows{}, actions[0])
	require.False(t, host.manager.OwnersKnown(now.Add(LeaseTTL-1)))
	require.True(t, host.manager.OwnersKnown(now.Add(LeaseTTL)))
	actions = host.manager.Step(now+1, RowsRead{RequestedAt: now})
	require.Contains(t, actions, Action(Lost{held.Group, held.Index, held.Epoch, "another host took over after the lease lapsed"}))
}

// TestProbesWithoutLease guards against an owner without a valid lease that goes on
// opening connections because of probes on connections that were opened after a new
// owner's first termination.
func TestProbesWithoutLease(t *testing.T) {
	sim := newSimulation(7, 3, 1, 3)
	sim.converge(t, 7)
	host := sim.hosts[0]
	held, _ := host.manager.Slot("s/0")
	end := host.manager.validUntil
	now := end.Add(10 * dfclock.Second)
	mayOpen := func(openedAt, sentAt dfclock.Millis, upstreams ...dfgroup.UpstreamID) bool {
		for id := range host.manager.slots["s/0"].probeSentAt {
			delete(host.manager.slots["s/0"].probeSentAt, id)
		}
		for _, id := range upstreams {
			host.manager.Step(now, ProbeAnswered{"s/0", held.Epoch, id, openedAt, sentAt})
		}
		return host.manager.MayOpen("s/0", "a", now)
	}
	require.True(t, mayOpen(end-1, now, "a", "b"))
	require.True(t, mayOpen(end-1, now.Add(1-probeValidity), "b", "c"))
	require.False(t, mayOpen(end, now, "a", "b"))
	require.False(t, mayOpen(end-1, now.Add(-probeValidity), "a", "b"))
	require.False(t, mayOpen(end-1, now, "a"))
}
