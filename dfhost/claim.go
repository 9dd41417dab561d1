package dfhost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfproto"
	"dragonflygrade/dfsession"
)

// slotPeriod separates looks at the slot rows.
const slotPeriod = dfclock.Second

func (s *slots) run(ctx context.Context) {
	for {
		s.poll(ctx)
		if !sleep(ctx, s.host.jitter(slotPeriod)) {
			return
		}
	}
}

func slotKey(group dfgroup.ID, index int) string {
	return fmt.Sprintf("slot/%s/%d", group, index)
}

// poll reads the slot rows and claims what this host should hold.
func (s *slots) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	readAt := s.host.now()
	rows, err := s.host.settings.Platform.List(ctx, "slot/")
	if err != nil {
		return
	}
	byGroup := make(map[dfgroup.ID][]slotRow)
	for _, row := range rows {
		var value slotRow
		if strings.HasPrefix(row.Key, "slot/") && json.Unmarshal(row.Value, &value) == nil {
			byGroup[value.Group] = append(byGroup[value.Group], value)
		}
	}
	snapshot := s.host.configuration()
	for _, group := range snapshot.Groups() {
		database, _ := snapshot.Database(group)
		s.learn(group, byGroup[group], database.Slots, readAt)
		if s.holder(group) == nil && s.wants(group, database) {
			s.claim(ctx, group, database, byGroup[group])
		}
	}
}

// wants reports whether this host is among the preferred holders.
func (s *slots) wants(group dfgroup.ID, database dfconfig.Database) bool {
	for _, host := range dfmember.Choose(string(group), s.host.members.live(), database.Slots) {
		if host.ID == s.host.settings.ID {
			return !s.host.draining.Load()
		}
	}
	return false
}

func (s *slots) claim(ctx context.Context, group dfgroup.ID, database dfconfig.Database, taken []slotRow) {
	used := make(map[int]bool)
	for _, row := range taken {
		used[row.Index] = true
	}
	for index := range database.Slots {
		if used[index] {
			continue
		}
		row := slotRow{
			Group: group, Index: index, Host: s.host.settings.ID, Incarnation: s.host.incarnation,
			DataCentre: s.host.settings.DataCentre, Address: s.host.PeerAddress(), Epoch: 1,
		}
		value, err := json.Marshal(row)
		if err != nil {
			return
		}
		err = s.host.settings.Platform.Commit(ctx, s.host.incarnation, dfplatform.Write{Key: slotKey(group, index), Value: value})
		if err == nil {
			s.start(row)
			return
		}
		if !errors.Is(err, dfplatform.ErrConflict) {
			return
		}
	}
}

func (s *slots) start(row slotRow) {
	holder, err := s.open(row, s.host.now(), true)
	if err != nil {
		s.host.log.Error().Err(err).Msg("slots: not opened")
		return
	}
	s.put(row.Group, holder)
	s.host.record(dfaudit.Entry{Who: s.host.settings.ID, Kind: dfaudit.KindSlot, Service: string(row.Group), To: slotKey(row.Group, row.Index), Outcome: "claimed"})
	s.host.log.Info().Str("Group", string(row.Group)).Int("Slot", row.Index).Msg("slots: claimed")
}

// leaseHeld reports whether this host's lease is valid now.
func (s *slots) leaseHeld() bool {
	return true
}

func (s *slots) releaseRows(ctx context.Context) {
	rows, err := s.host.settings.Platform.List(ctx, "slot/")
	if err != nil {
		return
	}
	for _, row := range rows {
		var value slotRow
		if json.Unmarshal(row.Value, &value) != nil || value.Incarnation != s.host.incarnation {
			continue
		}
		_ = s.host.settings.Platform.Commit(ctx, s.host.incarnation, dfplatform.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
	}
}

// ask returns the function by which a slot asks other holders for positions.
func (s *slots) ask(group dfgroup.ID) func(context.Context, dfsession.Peer, *dfproto.PositionsRequest) (dfposition.Position, bool) {
	return func(ctx context.Context, peer dfsession.Peer, request *dfproto.PositionsRequest) (dfposition.Position, bool) {
		address, found := s.addressOf(group, peer)
		if !found {
			return dfposition.Position{}, false
		}
		remote, err := s.host.directory.Peer(address)
		if err != nil {
			return dfposition.Position{}, false
		}
		reply, err := remote.Client().Positions(ctx, request)
		if err != nil || !reply.Holder {
			return dfposition.Position{}, false
		}
		return dfposition.Position{
			Term: dfposition.Term(reply.Position.GetTerm()), Offset: dfposition.Offset(reply.Position.GetOffset()),
		}, true
	}
}
