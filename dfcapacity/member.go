package dfcapacity

import (
	"context"
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfproto"
)

// members returns a host list with the target's share of hosts among upstreams.
func members(count int) *dfproto.ListMembersReply {
	reply := &dfproto.ListMembersReply{}
	hosts := int(float64(count) * Target.Hosts / (Target.Hosts + Target.Upstreams()))
	for _, host := range fakeHosts(hosts, int(Target.DataCentres)) {
		reply.Members = append(reply.Members, &dfproto.Member{
			ID: host.ID, Kind: string(dfplatform.KindHost), DataCentre: host.DataCentre, Address: host.Address,
		})
	}
	for i := range count - hosts {
		upstream := service(i/3, 1).Databases[0].Upstreams[i%3]
		reply.Members = append(reply.Members, &dfproto.Member{
			ID: string(upstream.ID), Kind: string(dfplatform.KindUpstream),
			DataCentre: upstream.DataCentre, Address: upstream.Address,
		})
	}
	return reply
}

// hostList measures one read of the platform's host list.
func (m *measurement) hostList(context.Context) error {
	for _, size := range m.sizes.Members {
		data, err := proto.Marshal(members(size))
		if err != nil {
			return err
		}
		m.add("members.bytes", size, float64(len(data)))
		var list dfmember.List
		before, started := memory(), processorTime()
		for range m.sizes.Rounds {
			if list, err = takeMembers(data); err != nil {
				return err
			}
			list.Live(1)
		}
		m.add("members.time", size, (processorTime()-started)/float64(m.sizes.Rounds))
		m.add("members.memory", size, memory()-before)
		runtime.KeepAlive(list)
	}
	return nil
}

func takeMembers(data []byte) (dfmember.List, error) {
	var reply dfproto.ListMembersReply
	if err := proto.Unmarshal(data, &reply); err != nil {
		return dfmember.List{}, err
	}
	list := make([]dfplatform.Member, len(reply.Members))
	for i, member := range reply.Members {
		list[i] = dfplatform.Member{
			ID: member.ID, Kind: dfplatform.MemberKind(member.Kind), DataCentre: member.DataCentre,
			Address: member.Address, Leaving: member.Leaving,
		}
	}
	return dfmember.NewList().WithMembers(list), nil
}

// chooseRounds makes up for the short time of one choice.
const chooseRounds = 10

// placement measures how a host works out who holds which slot. Its time grows
// with the product of hosts and cells, so it is given for one host of the list.
func (m *measurement) placement(context.Context) error {
	for _, size := range m.sizes.Members {
		hosts := fakeHosts(size, int(Target.DataCentres))
		groups := make([]dfmember.Group, int(float64(size)*Target.Databases/Target.Hosts))
		for i := range groups {
			groups[i] = dfmember.Group{ID: fmt.Sprintf("service-%04d/main", i), Slots: Target.MostSlots}
		}
		started := processorTime()
		placed := dfmember.Place(hosts, groups)
		m.add("place.time", size, (processorTime()-started)/float64(size))
		runtime.KeepAlive(placed)
		started = processorTime()
		rounds := m.sizes.Rounds * chooseRounds
		for i := range rounds {
			dfmember.Choose(fmt.Sprintf("service-%04d/main", i), hosts, Target.MostSlots)
		}
		m.add("choose.time", size, (processorTime()-started)/float64(rounds))
	}
	return nil
}
