package dfcapacity

import "fmt"

// Sections returns the tables of the page.
func (r Report) Sections() []Section {
	return []Section{
		{"arithmetic", r.arithmetic()},
		{"duties", r.duties()},
		{"budgets", r.budgets()},
		{"platform", r.platform()},
		{"today", r.today()},
		{"centre", r.centre()},
		{"slopes", r.slopes()},
	}
}

func (r Report) model(slots int) model {
	return model{report: r, target: Target, slots: slots}
}

func (r Report) arithmetic() Table {
	t, table := Target, Table{Head: []string{"Figure", "Sum", "Result"}}
	add := func(what, sum string, result float64, unit string) { table.Add(what, sum, number(result)+unit) }
	add("upstreams", "3,600 databases × 3", t.Upstreams(), "")
	add("slots, at 3 and 5 for each database", "3,600 × 3; 3,600 × 5", t.Databases*3, "; "+number(t.Databases*5))
	add("databases held by a host", "10,800 / 2,000; 18,000 / 2,000", t.Held(3), "; "+number(t.Held(5)))
	add("hosts of a data centre", "2,000 / 18", t.HostsPerCentre(), "")
	add("caller connections of a host", "12,000,000 / 2,000", t.CallersPerHost(), "")
	add("statements of a host", "3,700,000 / 2,000", t.Statements/t.Hosts, "/s")
	add("writes of a host, 8 % assumed", "1,850 × 0.08", t.WritesPerHost(), "/s")
	add("position notifications in all, 3 and 5 slots", "296,000 × 2; × 4", t.Statements*t.WriteShare*2, "/s; "+number(t.Statements*t.WriteShare*4)+"/s")
	add("notifications sent by a host, 3 and 5 slots", "148 × 2; 148 × 4", t.WritesPerHost()*2, "/s; "+number(t.WritesPerHost()*4)+"/s")
	add("configuration changes", "6,700 / 86,400", t.ChangesPerSecond(), "/s, one each "+number(1/t.ChangesPerSecond())+" s")
	add("renewals of host leases", "2,000 / 8", t.Hosts/hostRenewal, "/s")
	add("reads of the head", "18 × 2 pollers × 2/s", t.DataCentres*pollersPerCentre*headPollsPerSecond, "/s")
	add("status polls of all upstreams, 3 and 5 slots, 10/s each", "10,800 × 3 × 10; 10,800 × 5 × 10", t.Upstreams()*30, "/s; "+number(t.Upstreams()*50)+"/s")
	add("status polls at one upstream, 3 and 5 slots", "3 × 10; 5 × 10", 30, "/s; 50/s")
	add("renewals of position leases sent by a host, grouped placement", "2 / 0.3 s; 4 / 0.3 s", 2/0.3, "/s; "+number(4/0.3)+"/s")
	add("the same without groups, 5 slots, up to 9 × 4 peers", "36 / 0.3 s", 36/0.3, "/s")
	add("changes of the host list by restarts and failures", "2 × (790 + 7) / 86,400", 2*(t.RestartsPerDay+t.FailuresPerDay)/secondsPerDay, "/s")
	add("hosts that hold any slot, 5 slots", "counted, placement at full size", r.placed.seats, "")
	add("databases of the fullest host, 5 slots", "counted, placement at full size", r.placed.mostHeld, "")
	add("other holders with whom a host shares databases, mean, 5 slots", "counted, placement at full size", r.placed.peers, "")
	add("databases that a host holds or stands by for, mean, 5 slots", "counted, placement at full size", r.placed.wanted, "")
	add("changes of primary", "6 / 86,400", t.PrimaryChangesPerDay/secondsPerDay, "/s")
	return table
}

func (r Report) duties() Table {
	table := Table{Head: []string{"Duty of one host", "Slots", "Calls", "Wire bytes", "Processor", "Memory"}}
	for _, slots := range []int{Target.FewestSlots, Target.MostSlots} {
		m := r.model(slots)
		for _, duty := range m.duties() {
			if slots == Target.FewestSlots && !dependsOnSlots(r, duty) {
				continue
			}
			addCost(&table, duty.name, number(float64(slots)), duty.cost)
		}
		alone := m.watcherAlone()
		addCost(&table, "watcher alone, without polls on the wire", number(float64(slots)), alone)
	}
	return table
}

// dependsOnSlots tells whether a duty has another cost at the most slots.
func dependsOnSlots(r Report, few duty) bool {
	for _, many := range r.model(Target.MostSlots).duties() {
		if many.name == few.name {
			return many.cost != few.cost
		}
	}
	return true
}

func addCost(table *Table, name, slots string, c cost) {
	table.Add(name, slots, number(c.calls)+"/s", quantity(c.bytes, "B")+"/s", percent(c.processor), quantity(c.memory, "B"))
}

func (r Report) budgets() Table {
	table := Table{Head: []string{"Budget", "Limit", "Figure at 3 slots", "Figure at 5 slots", "Verdict"}}
	few, many := r.model(Target.FewestSlots).control(), r.model(Target.MostSlots).control()
	table.Add("processor for control, share of a core", percent(BudgetProcessor), percent(few.processor), percent(many.processor), verdict(many.processor, BudgetProcessor))
	table.Add("memory for control", quantity(BudgetMemory, "B"), quantity(few.memory, "B"), quantity(many.memory, "B"), verdict(many.memory, BudgetMemory))
	table.Add("control traffic", quantity(BudgetBytes, "B")+"/s", quantity(few.bytes, "B")+"/s", quantity(many.bytes, "B")+"/s", verdict(many.bytes, BudgetBytes))
	fullest := r.fullest().control()
	table.Add("processor for control at the fullest host", percent(BudgetProcessor), "", percent(fullest.processor), verdict(fullest.processor, BudgetProcessor))
	table.Add("memory for control at the fullest host", quantity(BudgetMemory, "B"), "", quantity(fullest.memory, "B"), verdict(fullest.memory, BudgetMemory))
	callers := many.memory + r.model(Target.MostSlots).callers().memory
	table.Add("memory with 6,000 idle callers, if these counted", quantity(BudgetMemory, "B"), "", quantity(callers, "B"), verdict(callers, BudgetMemory))
	few, many = r.trimmed(Target.FewestSlots), r.trimmed(Target.MostSlots)
	table.Add("processor without polls and host list", percent(BudgetProcessor), percent(few.processor), percent(many.processor), verdict(many.processor, BudgetProcessor))
	table.Add("traffic without polls and host list", quantity(BudgetBytes, "B")+"/s", quantity(few.bytes, "B")+"/s", quantity(many.bytes, "B")+"/s", verdict(many.bytes, BudgetBytes))
	gap := r.At("promote.gap", r.placed.mostHeld)
	table.Add("change of primary, all databases of the fullest host at once", "6 s", "", quantity(gap, "s"), verdict(gap, BudgetPrimary))
	reach := r.At("spread.reach", Target.HostsPerCentre()*spreadCentres)
	table.Add("configuration in force, longest, 111 hosts in each data centre", "4 s", quantity(reach, "s"), quantity(reach, "s"), verdict(reach, BudgetConfiguration))
	return table
}

// fullest is the host that holds slots of the most databases.
func (r Report) fullest() model {
	m := r.model(Target.MostSlots)
	m.databases = r.placed.mostHeld
	return m
}

// trimmed is control without the two largest duties on the wire.
func (r Report) trimmed(slots int) cost {
	m := r.model(slots)
	sum, polls, list := m.control(), m.polls(), m.hostList()
	sum.bytes -= polls.bytes + list.bytes
	sum.processor -= polls.processor + list.processor
	return sum
}

func verdict(value, limit float64) string {
	if value <= limit {
		return "met, " + percent(value/limit) + " of it"
	}
	return fmt.Sprintf("**not met**, %s times", number(value/limit))
}

func (r Report) platform() Table {
	t, table := Target, Table{Head: []string{"Calls of all hosts", "Sum", "Calls", "Limit", "Verdict"}}
	add := func(what, sum string, calls, limit float64) {
		table.Add(what, sum, number(calls)+"/s", number(limit)+"/s", verdict(calls, limit))
	}
	changes := t.ChangesPerSecond()
	reads := r.At("lease.reads", t.Held(t.MostSlots))
	add("table writes: host leases", "2,000 / 8", t.Hosts/hostRenewal, PlatformWrites)
	add("table writes: all", "250 + 0.0775 heads + decisions", t.Hosts/hostRenewal+changes+t.PrimaryChangesPerDay/secondsPerDay, PlatformWrites)
	add("table writes: with claims after a failed data centre, in the first 10 s", "250 + "+number(r.placed.lost)+" / 10", t.Hosts/hostRenewal+r.placed.lost/10, PlatformWrites)
	add("table reads: head", "18 × 2 × 2", t.DataCentres*pollersPerCentre*headPollsPerSecond, PlatformReads)
	add("table reads: slot and host rows, own databases only", "2,000 × "+number(reads), t.Hosts*reads, PlatformReads)
	standing := r.At("lease.reads", r.placed.wanted)
	add("table reads: with the databases stood by for", "2,000 × "+number(standing), t.Hosts*standing, PlatformReads)
	add("host list reads, every host", "2,000 × 1", t.Hosts*listReadsPerSecond, PlatformReads)
	add("host list reads, by pollers", "36 × 1", t.DataCentres*pollersPerCentre*listReadsPerSecond, PlatformReads)
	add("object writes: adoption records, mean", "2,000 × 0.0775", t.Hosts*changes, PlatformWrites)
	burst := t.Hosts / r.At("spread.reach", t.HostsPerCentre()*spreadCentres)
	add("object writes: adoption records after a change", "2,000 within the time to reach all", burst, PlatformWrites)
	add("object writes: publications", "3 × 0.0775", 3*changes, PlatformWrites)
	add("object reads: index and document by pollers", "36 × 2 × 0.0775", t.DataCentres*pollersPerCentre*2*changes, PlatformReads)
	return table
}

func (r Report) today() Table {
	t, table := Target, Table{Head: []string{"Loop of dfhost", "Calls of all hosts", "Bytes at a host", "Processor of a host"}}
	list := r.model(t.MostSlots).hostList()
	table.Add("reads the host list each second", number(t.Hosts)+"/s", quantity(list.bytes, "B")+"/s", percent(list.processor))
	whole := r.At("config.whole", t.Databases)
	table.Add("fetches each document by itself, once at a start", number(t.Databases)+" of one host", "",
		quantity(t.Databases*r.At("config.deliver", t.Databases), "s")+" once")
	table.Add("the same as one payload from a peer, which dfconfig has", "1 of one host", quantity(whole, "B")+" once",
		quantity(r.At("config.start", t.Databases), "s")+" once")
	return table
}

func (r Report) centre() Table {
	t, table := Target, Table{Head: []string{"When a data centre fails", "Sum", "Figure"}}
	lost := t.HostsPerCentre()
	others := func(centres float64) float64 { return lost * t.CallersPerHost() / (lost * (centres - 1)) }
	mean := t.DataCentres / t.Regions
	table.Add("caller connections that come back elsewhere", "111 × 6,000", number(lost*t.CallersPerHost()))
	table.Add("more callers at a host, spread over all others", "6,000 / 17", number(others(t.DataCentres)))
	table.Add("more callers at a host, spread over a region of 18/7 data centres", "6,000 / 1.57", number(others(mean)))
	table.Add("the same in a region of two", "6,000 / 1", number(others(2)))
	login := r.Slope("caller.login") * others(mean)
	table.Add("processor time of these logins at one host of the region, both ends", number(others(mean))+" × "+quantity(r.Slope("caller.login"), "s"), quantity(login, "s"))
	table.Add("memory of these callers at one host, both ends", "", quantity(others(mean)*r.Slope("caller.memory"), "B"))
	table.Add("upstreams that fail with it", "10,800 / 18", number(t.Upstreams()/t.DataCentres))
	table.Add("primaries among them, which are replaced at once", "3,600 / 18", number(t.Databases/t.DataCentres))
	table.Add("slots to take over, counted", "placement at full size", number(r.placed.lost))
	table.Add("most slots that one database loses, counted", "placement at full size", number(float64(r.placed.worst)))
	free := PlatformWrites - t.Hosts/hostRenewal*(1-1/t.DataCentres)
	table.Add("time to write the claims beside the renewals", number(r.placed.lost)+" / ("+number(PlatformWrites)+" − 236)/s", quantity(r.placed.lost/free, "s"))
	table.Add("hosts that stand by for these slots, counted", "placement at full size", number(r.placed.watching))
	reads := r.placed.watching * r.At("lease.reads", r.placed.wanted) * idleRead / 3
	table.Add("table reads of these hosts while they watch each 3 s instead of each 60 s", number(r.placed.watching)+" × "+number(r.At("lease.reads", r.placed.wanted))+" × 60 / 3", number(reads)+"/s")
	table.Add("more statements at a slot holder of a database that lost one of five", "5 / 4", percent(0.25))
	return table
}
