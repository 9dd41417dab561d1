package dfcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dflease"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfstandinplatform"
)

const (
	// cellHosts hold the slots of the same databases.
	cellHosts = 5
	// leaseSettle lets the hosts claim their slots, one commit each.
	leaseSettle = 100 * dfclock.Second
	leaseSpan   = 240 * dfclock.Second
)

// table counts the calls and bytes of the platform's table.
type table struct {
	dfplatform.Table
	reads, writes int
	bytes         int
}

// Get counts a read of one row.
func (t *table) Get(ctx context.Context, key string) (dfplatform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	t.reads++
	reply := &dfproto.GetRowReply{Row: wireRow(row)}
	t.bytes += proto.Size(&dfproto.GetRowRequest{Key: key}) + proto.Size(reply)
	return row, err
}

// List counts a read of rows by prefix.
func (t *table) List(ctx context.Context, prefix string) ([]dfplatform.Row, error) {
	rows, err := t.Table.List(ctx, prefix)
	t.reads++
	t.bytes += proto.Size(&dfproto.ListRowsRequest{Prefix: prefix}) + proto.Size(wireRows(rows))
	return rows, err
}

// Commit counts a write.
func (t *table) Commit(ctx context.Context, attempt string, writes ...dfplatform.Write) error {
	request := &dfproto.CommitRequest{Attempt: attempt}
	for _, write := range writes {
		request.Writes = append(request.Writes, &dfproto.RowWrite{Key: write.Key, IfVersion: write.IfVersion.Version(), Value: write.Value})
	}
	t.writes++
	t.bytes += proto.Size(request)
	return t.Table.Commit(ctx, attempt, writes...)
}

func wireRow(row dfplatform.Row) *dfproto.Row {
	return &dfproto.Row{Key: row.Key, Value: row.Value, Version: row.Version.Version(), Attempt: row.Attempt}
}

func wireRows(rows []dfplatform.Row) *dfproto.ListRowsReply {
	reply := &dfproto.ListRowsReply{}
	for _, row := range rows {
		reply.Rows = append(reply.Rows, wireRow(row))
	}
	return reply
}

// cell is the hosts that hold the slots of the same databases.
type cell struct {
	now     dfclock.Millis
	table   *table
	keepers []*dflease.Manager
}

func newCell(databases int) *cell {
	const unbounded = 1 << 30
	c := &cell{now: 1000}
	c.table = &table{Table: dfstandinplatform.NewStore(dfstandinplatform.Options{
		WritesPerSecond: unbounded, ReadsPerSecond: unbounded, Now: func() dfclock.Millis { return c.now },
	})}
	var ids []string
	for i := range cellHosts {
		ids = append(ids, hostID(i))
	}
	var wants []dflease.GroupSpec
	for i := range databases {
		wants = append(wants, dflease.GroupSpec{
			Group: dfgroup.ID(fmt.Sprintf("service-%04d/main", i)), Slots: cellHosts,
			Upstreams: []dfgroup.UpstreamID{"upstream-a", "upstream-b", "upstream-c"}, Candidates: ids,
		})
	}
	for i, id := range ids {
		keeper := dflease.NewManager(dflease.Settings{
			Host: id, Incarnation: incarnation, Address: fmt.Sprintf("10.1.0.%d:7000", i), DataCentre: "centre-01",
		})
		c.keepers = append(c.keepers, keeper)
	}
	// The keeper spaces its reads by the number of live hosts.
	live := append([]string(nil), ids...)
	for i := len(live); i < int(Target.Hosts); i++ {
		live = append(live, hostID(i))
	}
	for i := range c.keepers {
		c.step(i, dflease.LiveHosts{IDs: live})
		c.step(i, dflease.Configured{Groups: wants})
	}
	return c
}

// step gives an event to a keeper and answers what it asks for at once.
func (c *cell) step(number int, event dflease.Event) {
	keeper := c.keepers[number]
	events := []dflease.Event{event}
	for len(events) > 0 {
		event, events = events[0], events[1:]
		for _, action := range keeper.Step(c.now, event) {
			switch action := action.(type) {
			case dflease.ReadRows:
				events = append(events, dflease.Read(context.Background(), c.table, action, c.now))
			case dflease.Commit:
				attempt := fmt.Sprintf("%s-%s-%d", hostID(number), incarnation, c.now)
				events = append(events, dflease.Write(context.Background(), c.table, attempt, action))
			case dflease.Terminate:
				events = append(events, dflease.Terminated{
					Group: action.Group, Epoch: action.Epoch, Upstream: action.Upstream, Again: action.Again, OK: true,
				})
			}
		}
	}
}

func (c *cell) run(span dfclock.Millis) {
	for end := c.now.Add(span); c.now < end; c.now = c.now.Add(100) {
		for i := range c.keepers {
			c.step(i, dflease.Tick{})
		}
	}
}

// leases measures the keeper of host lease and slots.
func (m *measurement) leases(context.Context) error {
	for _, size := range m.sizes.Databases {
		c := newCell(size)
		c.run(leaseSettle)
		for _, keeper := range c.keepers {
			if _, held := keeper.Slot("service-0000/main"); !held {
				return errNoSlot(size)
			}
		}
		c.table.reads, c.table.writes, c.table.bytes = 0, 0, 0
		started := processorTime()
		c.run(leaseSpan)
		hostSeconds := cellHosts * float64(leaseSpan) / float64(dfclock.Second)
		m.add("lease.time", size, (processorTime()-started)/hostSeconds)
		m.add("lease.reads", size, float64(c.table.reads)/hostSeconds)
		m.add("lease.writes", size, float64(c.table.writes)/hostSeconds)
		m.add("lease.bytes", size, float64(c.table.bytes)/hostSeconds)
	}
	return nil
}

// tableRows measures a list of all slot rows.
func (m *measurement) tableRows(context.Context) error {
	for _, size := range m.sizes.Members {
		data, err := slotRows(size)
		if err != nil {
			return err
		}
		m.add("table.bytes", size, float64(len(data)))
		started := processorTime()
		for range m.sizes.Rounds {
			if err := decodeRows(data); err != nil {
				return err
			}
		}
		m.add("table.time", size, (processorTime()-started)/float64(m.sizes.Rounds))
	}
	return nil
}

// slotRows returns an encoded list of slot rows.
func slotRows(count int) ([]byte, error) {
	reply := &dfproto.ListRowsReply{}
	for i := range count {
		group := dfgroup.ID(fmt.Sprintf("service-%04d/main", i/cellHosts))
		host := hostID(i % int(Target.Hosts))
		value, err := json.Marshal(dflease.SlotRow{
			Host: host, Incarnation: incarnation, Address: "10.1.0.17:7000", Epoch: 17, Cleared: 16,
		})
		if err != nil {
			return nil, err
		}
		reply.Rows = append(reply.Rows, &dfproto.Row{
			Key: dflease.SlotKey(group, i%cellHosts), Value: value, Version: 1 << 20,
			Attempt: fmt.Sprintf("%s-%s-%d", host, incarnation, i),
		})
	}
	return proto.Marshal(reply)
}

func decodeRows(data []byte) error {
	var reply dfproto.ListRowsReply
	if err := proto.Unmarshal(data, &reply); err != nil {
		return err
	}
	for _, row := range reply.Rows {
		if !strings.HasPrefix(row.Key, "slot/") {
			continue
		}
		if _, _, _, err := dflease.DecodeSlot(dfplatform.Row{Key: row.Key, Value: row.Value}); err != nil {
			return err
		}
	}
	return nil
}
