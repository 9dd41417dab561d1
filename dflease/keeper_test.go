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

// connection is one connection at an upstream, as its host knows it.
type connection struct {
	number   int
	held     Held
	upstream dfgroup.UpstreamID
	openedAt dfclock.Millis
}

// machine is one host with its keeper.
type machine struct {
	id     string
	keeper *Keeper
	// offset tells its clock from the others'.
	offset dfclock.Millis
	// connections are open as far as the host knows.
	connections map[*connection]bool
	// queue has events that wait for the host, by due time.
	queue  []delivery
	paused dfclock.Millis
	cutOff dfclock.Millis
	dead   bool
}

type delivery struct {
	due   dfclock.Millis
	event func(local dfclock.Millis) Event
}

// world has the table, the upstreams and the hosts.
type world struct {
	now      dfclock.Millis
	random   *rand.Rand
	rows     map[string]dfplatform.Row
	down     bool
	calm     bool
	machines []*machine
	// open has the connections that the upstreams have.
	open      map[*connection]bool
	opened    int
	groups    []dfgroup.ID
	upstreams []dfgroup.UpstreamID
	slots     int
	// elsewhere are live hosts that hold slots of other groups.
	elsewhere []string
	// reads counts the lists and rows read.
	reads int
}

func newWorld(seed uint64, hosts, groups, slots int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), rows: make(map[string]dfplatform.Row),
		open: make(map[*connection]bool), slots: slots, upstreams: []dfgroup.UpstreamID{"a", "b", "c"},
	}
	for i := range groups {
		w.groups = append(w.groups, dfgroup.ID(fmt.Sprintf("s/%d", i)))
	}
	for i := range hosts {
		w.machines = append(w.machines, w.machine(fmt.Sprintf("h%d", i), "1"))
	}
	return w
}

func (w *world) machine(id, incarnation string) *machine {
	m := &machine{
		id: id, offset: dfclock.Millis(w.random.IntN(100000)), connections: make(map[*connection]bool),
		keeper: NewKeeper(Settings{Host: id, Incarnation: incarnation}),
	}
	var wants []Want
	for _, group := range w.groups {
		wants = append(wants, Want{group, w.slots, w.upstreams, []string{"h0", "h1", "h2", "h3", "h4", "h5"}})
	}
	w.handle(m, m.keeper.Step(w.now+m.offset, Configured{wants}))
	return m
}

func (w *world) later(m *machine, event func(dfclock.Millis) Event) {
	m.queue = append(m.queue, delivery{w.now.Add(dfclock.Millis(w.random.IntN(120))), event})
}

func (w *world) reaches(m *machine) bool {
	return !w.down && w.now >= m.cutOff && (w.calm || w.random.IntN(30) > 0)
}

// handle does what a keeper asked for. Answers come later, or say that the call failed.
func (w *world) handle(m *machine, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case ReadRows:
			w.reads += len(action.Prefixes) + len(action.Keys)
			asked, rows, ok := w.now+m.offset, w.read(action), w.reaches(m)
			w.later(m, func(dfclock.Millis) Event {
				if !ok {
					return ReadFailed{}
				}
				return RowsRead{asked, rows}
			})
		case Commit:
			result := Failed
			if w.reaches(m) {
				result = w.commit(action)
			}
			if !w.calm && w.random.IntN(20) == 0 {
				result = Failed // The answer is lost.
			}
			w.later(m, func(dfclock.Millis) Event { return Committed{result} })
		case Terminate:
			ok := w.now >= m.cutOff || w.random.IntN(2) == 0
			if ok {
				w.terminate(action)
			}
			w.later(m, func(dfclock.Millis) Event {
				return Terminated{action.Group, action.Epoch, action.Upstream, action.Again, ok}
			})
		case Probe:
			w.probe(m, action)
		case Lost:
			for c := range m.connections {
				if c.held == (Held{action.Group, action.Index, action.Epoch}) {
					delete(m.connections, c)
					delete(w.open, c)
				}
			}
		}
	}
}

func (w *world) read(action ReadRows) []dfplatform.Row {
	var rows []dfplatform.Row
	for key, row := range w.rows {
		for _, prefix := range action.Prefixes {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
	}
	for _, key := range action.Keys {
		if row, ok := w.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

func (w *world) commit(action Commit) Result {
	for _, write := range action.Writes {
		if w.rows[write.Key].Version != write.IfVersion {
			return Conflict
		}
	}
	for _, write := range action.Writes {
		if write.Delete {
			delete(w.rows, write.Key)
			continue
		}
		w.rows[write.Key] = dfplatform.Row{Key: write.Key, Value: write.Value, Version: write.IfVersion + 1}
	}
	return Done
}

// terminate cuts connections by name. Their hosts hear of most, but not all.
func (w *world) terminate(action Terminate) {
	for _, c := range w.sorted(w.open) {
		name := ApplicationName(c.held.Group, c.held.Index, c.held.Epoch)
		if c.upstream != action.Upstream || !contains(action.Names, name) {
			continue
		}
		delete(w.open, c)
		for _, m := range w.machines {
			if m.connections[c] && w.random.IntN(3) > 0 {
				w.later(m, func(dfclock.Millis) Event {
					delete(m.connections, c)
					return Cut{c.held.Group, c.held.Epoch}
				})
			}
		}
	}
}

func (w *world) probe(m *machine, action Probe) {
	asked := w.now + m.offset
	for _, c := range w.sorted(m.connections) {
		if c.held.Group == action.Group && c.held.Epoch == action.Epoch && w.open[c] {
			w.later(m, func(dfclock.Millis) Event {
				return Proven{action.Group, action.Epoch, c.upstream, c.openedAt, asked}
			})
		}
	}
}

// sorted makes the order of connections, and so of random draws, repeatable.
func (w *world) sorted(set map[*connection]bool) []*connection {
	all := make([]*connection, 0, len(set))
	for c := range set {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
	return all
}

func contains(names []string, name string) bool {
	for _, known := range names {
		if known == name {
			return true
		}
	}
	return false
}

// step runs one tick of the world.
func (w *world) step() {
	w.now += tick
	live := append(make([]string, 0, len(w.elsewhere)+len(w.machines)), w.elsewhere...)
	for _, m := range w.machines {
		if !m.dead && w.now >= m.paused {
			live = append(live, m.id)
		}
	}
	for _, m := range w.machines {
		if m.dead || w.now < m.paused {
			continue
		}
		local := w.now + m.offset
		queue := m.queue
		m.queue = nil
		for _, waiting := range queue {
			if waiting.due > w.now {
				m.queue = append(m.queue, waiting)
				continue
			}
			w.handle(m, m.keeper.Step(local, waiting.event(local)))
		}
		w.handle(m, m.keeper.Step(local, Hosts{live}))
		w.handle(m, m.keeper.Step(local, Tick{}))
		w.connect(m, local)
	}
}

// connect opens the connections that a host may open and does not have.
func (w *world) connect(m *machine, local dfclock.Millis) {
	for _, group := range w.groups {
		held, ok := m.keeper.Slot(group)
		for _, upstream := range w.upstreams {
			if !ok || !m.keeper.MayOpen(group, upstream, local) || w.random.IntN(4) > 0 {
				continue
			}
			count := 0
			for c := range m.connections {
				if c.held == held && c.upstream == upstream {
					count++
				}
			}
			if count < 2 {
				w.opened++
				c := &connection{w.opened, held, upstream, local}
				m.connections[c], w.open[c] = true, true
			}
		}
	}
}

// check reports two hosts that believe they may open connections for one slot
// at one upstream.
func (w *world) check() error {
	type place struct {
		group    dfgroup.ID
		index    int
		upstream dfgroup.UpstreamID
	}
	believers := make(map[place]string)
	for _, m := range w.machines {
		for _, group := range w.groups {
			held, ok := m.keeper.Slot(group)
			for _, upstream := range w.upstreams {
				if !ok || m.dead || !m.keeper.MayOpen(group, upstream, w.now+m.offset) {
					continue
				}
				key := place{group, held.Index, upstream}
				if other, taken := believers[key]; taken {
					return eris.Errorf("%s and %s both may open connections for %v at %d", other, m.id, key, w.now)
				}
				believers[key] = m.id
			}
		}
	}
	return nil
}

// disturb starts a random fault.
func (w *world) disturb() {
	m := w.machines[w.random.IntN(len(w.machines))]
	span := w.now.Add(dfclock.Millis(w.random.IntN(60000)))
	switch w.random.IntN(8) {
	case 0, 1:
		m.paused = span
	case 2, 3:
		m.cutOff = span
	case 4:
		w.down = !w.down
	case 5:
		w.down = false
	case 6:
		if !m.dead {
			m.dead = true
			for c := range m.connections {
				delete(w.open, c)
			}
		}
	default:
		for i := range w.machines {
			if w.machines[i].dead {
				w.machines[i] = w.machine(w.machines[i].id, fmt.Sprint(w.now))
			}
		}
	}
}

// settle ends all faults and runs until every slot has a ready holder.
func (w *world) settle(t *testing.T, seed uint64) {
	t.Helper()
	w.calm, w.down = true, false
	for i, m := range w.machines {
		m.paused, m.cutOff = 0, 0
		if m.dead {
			w.machines[i] = w.machine(m.id, fmt.Sprint(w.now))
		}
	}
	for range 100 * dfclock.Second / tick {
		w.step()
		if err := w.check(); err != nil {
			require.NoError(t, err, "seed %d", seed)
		}
	}
	for _, group := range w.groups {
		count := 0
		for _, m := range w.machines {
			if m.keeper.MayOpen(group, "a", w.now+m.offset) {
				count++
			}
		}
		require.Equal(t, min(w.slots, len(w.machines)), count, "seed %d group %s", seed, group)
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

// TestOwners guards against two owners of a slot, and against slots that stay
// without an owner, while hosts pause, die, restart and are cut off and the
// table goes down and loses answers.
func TestOwners(t *testing.T) {
	takeovers := 0
	for seed := range seeds(t) {
		w := newWorld(seed, 4, 2, 3)
		for range 200 * dfclock.Second / tick {
			if w.random.IntN(60) == 0 {
				w.disturb()
			}
			w.step()
			require.NoError(t, w.check(), "seed %d", seed)
		}
		w.settle(t, seed)
		for _, group := range w.groups {
			for index := range w.slots {
				_, _, row, err := DecodeSlot(w.rows[SlotKey(group, index)])
				require.NoError(t, err)
				takeovers += int(row.Epoch) - 1
			}
		}
	}
	t.Logf("%d takeovers", takeovers)
	require.Positive(t, takeovers)
}

// TestOwnersFault puts a fault in on purpose: a holder that never regards its
// lease as lapsed. The check of TestOwners must fire.
func TestOwnersFault(t *testing.T) {
	w := newWorld(1, 4, 1, 3)
	w.settle(t, 1)
	for _, m := range w.machines {
		if _, ok := m.keeper.Slot("s/0"); ok {
			m.keeper.validUntil = dfclock.Never
			m.paused = w.now.Add(120 * dfclock.Second)
			break
		}
	}
	var err error
	for range 100 * dfclock.Second / tick {
		w.step()
		if err == nil {
			err = w.check()
		}
	}
	require.ErrorContains(t, err, "both may open")
}

// TestOutage guards against slots that change hands because the table was
// down, and against holders that stop opening connections meanwhile.
func TestOutage(t *testing.T) {
	w := newWorld(3, 5, 3, 3)
	w.settle(t, 3)
	owners := func() (text string) {
		for _, m := range w.machines {
			for _, group := range w.groups {
				if held, ok := m.keeper.Slot(group); ok {
					text += fmt.Sprint(m.id, held)
					require.True(t, m.keeper.MayOpen(group, "a", w.now+m.offset), m.id)
				}
			}
		}
		return text
	}
	before := owners()
	w.down = true
	for range 600 * dfclock.Second / tick {
		w.step()
	}
	require.Equal(t, before, owners())
	w.settle(t, 3)
	require.Equal(t, before, owners())
}

// TestPausedOwner guards against a paused owner that goes on after a takeover.
func TestPausedOwner(t *testing.T) {
	w := newWorld(4, 4, 1, 3)
	w.settle(t, 4)
	var owner *machine
	for _, m := range w.machines {
		if _, ok := m.keeper.Slot("s/0"); ok {
			owner = m
		}
	}
	before, _ := owner.keeper.Slot("s/0")
	owner.paused = w.now.Add(60 * dfclock.Second)
	for range 60 * dfclock.Second / tick {
		require.NoError(t, w.check())
		w.step()
	}
	require.False(t, owner.keeper.Valid(w.now+owner.offset))
	require.False(t, owner.keeper.MayOpen("s/0", "a", w.now+owner.offset))
	for range 5 * dfclock.Second / tick {
		w.step()
	}
	_, holds := owner.keeper.Slot("s/0")
	require.False(t, holds)
	require.Equal(t, "1.1", owner.keeper.Incarnation())
	_, _, row, err := DecodeSlot(w.rows[SlotKey("s/0", before.Index)])
	require.NoError(t, err)
	require.Equal(t, before.Epoch+1, row.Epoch)
}

// TestDrain guards against slots that wait for a lease to lapse although their
// holder left in order, and against termination where nothing is left.
func TestDrain(t *testing.T) {
	w := newWorld(5, 4, 1, 3)
	w.settle(t, 5)
	for _, m := range w.machines {
		if held, ok := m.keeper.Slot("s/0"); ok {
			m.connections = make(map[*connection]bool)
			w.handle(m, m.keeper.Step(w.now+m.offset, Drained{}))
			for range 10 * dfclock.Second / tick {
				w.step()
				if m.keeper.released {
					m.dead = true
				}
			}
			require.True(t, m.dead)
			_, _, row, err := DecodeSlot(w.rows[SlotKey("s/0", held.Index)])
			require.NoError(t, err)
			require.Equal(t, held.Epoch+1, row.Epoch)
			require.Equal(t, held.Epoch, row.Cleared)
			return
		}
	}
}

// TestDoubt guards against new connections after an administrator cut one,
// until a read confirms the slot.
func TestDoubt(t *testing.T) {
	w := newWorld(6, 3, 1, 3)
	w.settle(t, 6)
	m := w.machines[0]
	held, _ := m.keeper.Slot("s/0")
	w.down = true
	w.handle(m, m.keeper.Step(w.now+m.offset, Cut{"s/0", held.Epoch}))
	for range 100 {
		w.step()
		require.False(t, m.keeper.MayOpen("s/0", "a", w.now+m.offset))
	}
	w.down = false
	for range 100 {
		w.step()
	}
	require.True(t, m.keeper.MayOpen("s/0", "a", w.now+m.offset))
}

// TestReadUnderWay guards against a doubt or a new group that waits for a whole
// read interval because a read was under way when it came.
func TestReadUnderWay(t *testing.T) {
	w := newWorld(8, 3, 1, 3)
	w.settle(t, 8)
	keeper := w.machines[0].keeper
	held, _ := keeper.Slot("s/0")
	now := w.now + w.machines[0].offset
	keeper.busy, keeper.sentAt = true, now
	var rows []dfplatform.Row
	for _, row := range w.rows {
		rows = append(rows, row)
	}
	keeper.Step(now+10, Cut{"s/0", held.Epoch})
	require.Contains(t, keeper.Step(now+20, RowsRead{now, rows}), keeper.ask(now+20))
	keeper.Step(now+30, RowsRead{now + 20, rows})
	require.True(t, keeper.MayOpen("s/0", "a", now+30))
	keeper.busy = true
	keeper.Step(now+40, Configured{[]Want{keeper.wants["s/0"], {"s/1", 1, w.upstreams, []string{"h0"}}}})
	require.Contains(t, keeper.Step(now+50, RowsRead{now + 40, rows}), keeper.ask(now+50))
}

// TestReadBudget guards against renewals that read all rows again, and against
// reads that exceed the table's rate when there are many hosts.
func TestReadBudget(t *testing.T) {
	w := newWorld(9, 3, 1, 3)
	w.settle(t, 9)
	keeper := w.machines[0].keeper
	now := w.now + w.machines[0].offset
	keeper.busy, keeper.renewAt, keeper.readAt = false, now, now.Add(maxIdleRead)
	actions := keeper.Step(now, Tick{})
	require.Len(t, actions, 1)
	require.Len(t, actions[0].(Commit).Writes, 1)
	require.Equal(t, []Action{ReadRows{Keys: []string{HostKey("h0")}}}, keeper.Step(now+1, Committed{Done}))
	require.Equal(t, minIdleRead, keeper.idleInterval())
	for i := range 2000 {
		keeper.live[fmt.Sprint(i)] = true
	}
	keeper.calls = 20
	require.Equal(t, maxIdleRead, keeper.idleInterval())
}

// TestReadRate guards at full size against hosts that read more of the table
// than the constants allow while nothing happens: renewals that read all rows
// again took 3,500 reads/s of the table's 2,000.
func TestReadRate(t *testing.T) {
	const hosts, span = 2000, 240 * dfclock.Second
	w := newWorld(10, 5, 9, 5)
	for i := range hosts - len(w.machines) {
		w.elsewhere = append(w.elsewhere, fmt.Sprint("other", i))
	}
	w.settle(t, 10)
	w.reads = 0
	for range span / tick {
		w.step()
	}
	rate := w.reads * hosts / len(w.machines) / int(span/dfclock.Second)
	t.Logf("%d reads/s of %d hosts", rate, hosts)
	// Reads of all rows, and one row read after each renewal, with a tenth for
	// the answers that come late.
	require.LessOrEqual(t, rate, (idleReads+hosts/int(RenewInterval/dfclock.Second))*11/10)
}

// TestNames guards against application names that PostgreSQL would cut.
func TestNames(t *testing.T) {
	long := dfgroup.ID(strings.Repeat("x", 63) + "/" + strings.Repeat("y", 63))
	require.LessOrEqual(t, len(ApplicationName(long, 63, 1<<40)), 63)
	require.Equal(t, []string{ApplicationName("g", 1, 5), ApplicationName("g", 1, 4)},
		earlierNames("g", 1, SlotRow{Epoch: 5, Cleared: 3}))
}

// TestProof guards against a holder without a valid lease that keeps its right
// alive by connections opened after a taker's first termination.
func TestProof(t *testing.T) {
	w := newWorld(7, 3, 1, 3)
	w.settle(t, 7)
	m := w.machines[0]
	held, _ := m.keeper.Slot("s/0")
	end := m.keeper.validUntil
	now := end.Add(10 * dfclock.Second)
	prove := func(openedAt, askedAt dfclock.Millis, upstreams ...dfgroup.UpstreamID) bool {
		for id := range m.keeper.slots["s/0"].proofs {
			delete(m.keeper.slots["s/0"].proofs, id)
		}
		for _, id := range upstreams {
			m.keeper.Step(now, Proven{"s/0", held.Epoch, id, openedAt, askedAt})
		}
		return m.keeper.MayOpen("s/0", "a", now)
	}
	require.True(t, prove(end-1, now, "a", "b"))
	require.True(t, prove(end-1, now.Add(1-proofSpan), "b", "c"))
	require.False(t, prove(end, now, "a", "b"))
	require.False(t, prove(end-1, now.Add(-proofSpan), "a", "b"))
	require.False(t, prove(end-1, now, "a"))
}
