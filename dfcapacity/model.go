package dfcapacity

import (
	"math"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfsession"
)

const (
	// packetBytes is the header of an IPv4 packet with TCP and its time stamps.
	packetBytes = 52
	// packetsPerCall counts request, answer and an acknowledgement of each.
	packetsPerCall = 4
	// headPollsPerSecond of a host that polls the head.
	headPollsPerSecond = 2
	// pollersPerCentre poll the head in each data centre.
	pollersPerCentre = 2
	// listReadsPerSecond keeps the 3 s for leaving upstreams after a lost read.
	listReadsPerSecond = 1
	// hostRenewal is the span between renewals of a host lease, in seconds.
	hostRenewal = 8
	// idleRead is the span between reads of rows while nothing happens, in seconds.
	idleRead = 60
	// auditBuffer and statementCache are the bounds of dfaudit and dfclassify.
	auditBuffer    = 4096
	statementCache = 8192
)

// cost is what a duty takes at one host.
type cost struct {
	// calls are made and answered in a second.
	calls float64
	// bytes are sent and received in a second, with all headers.
	bytes float64
	// processor is a share of one core.
	processor float64
	memory    float64
}

func (c cost) plus(other cost) cost {
	return cost{c.calls + other.calls, c.bytes + other.bytes, c.processor + other.processor, c.memory + other.memory}
}

// model works out the duties of one host for a number of slots per database.
type model struct {
	report Report
	target Sizing
	slots  int
	// databases replaces the mean number of databases held, unless it is zero.
	databases float64
}

// framing is what gRPC and the packets add to the messages of a call.
func (m model) framing() float64 {
	return m.report.Slope("call.notifyBytes") - payload(notifyRequest(1), notifyReply) + packetsPerCall*packetBytes
}

func (m model) held() float64 {
	if m.databases > 0 {
		return m.databases
	}
	return m.target.Held(m.slots)
}

func (m model) peers() float64 { return float64(m.slots - 1) }

// exchanged is the cost of calls that a host makes, and answers as many of: the
// processor time of both ends and the bytes in both directions, twice.
func (m model) exchanged(made, bytesEach, processorEach float64) cost {
	return cost{calls: 2 * made, bytes: 2 * made * bytesEach, processor: made * processorEach}
}

// positionLeases are renewed at each peer of a group of hosts.
func (m model) positionLeases() cost {
	made := m.peers() * float64(dfclock.Second) / float64(dfsession.RenewInterval)
	request := leaseRequest(int(math.Ceil(m.held())))
	bytes := payload(request, granted(request)) + m.framing()
	return m.exchanged(made, bytes, m.report.Slope("call.leaseTime"))
}

// positions are the entries of callers that a host knows of.
func (m model) positions() cost {
	callers := m.target.Callers / m.target.Databases * m.held()
	return cost{memory: m.report.Slope("position.memory") * callers}
}

// notifications go to every peer before a write is acknowledged.
func (m model) notifications() cost {
	made := m.target.WritesPerHost() * m.peers()
	bytes := m.report.Slope("call.notifyBytes") + packetsPerCall*packetBytes
	sent := m.exchanged(made, bytes, m.report.Slope("call.notifyTime"))
	sent.processor += m.target.WritesPerHost() * m.report.Slope("position.write")
	sent.processor += made * m.report.Slope("position.notified")
	return sent
}

// polls ask each upstream of each database held for its status. The processor
// time is that of both ends, and thus an upper bound.
func (m model) polls() cost {
	polls := m.report.Slope("watch.wirePolls") * m.held()
	return cost{
		calls:     polls,
		bytes:     m.report.Slope("watch.wireBytes")*m.held() + polls*packetsPerCall*packetBytes,
		processor: m.report.Slope("watch.wireTime") * m.held(),
		memory:    m.report.Slope("watch.wireMemory") * m.held(),
	}
}

// watcherAlone is the lower bound of the processor time and memory of polls.
func (m model) watcherAlone() cost {
	return cost{processor: m.report.Slope("watch.ownTime") * m.held(), memory: m.report.Slope("watch.ownMemory") * m.held()}
}

// spreading is the idle traffic of configuration between hosts.
func (m model) spreading() cost {
	made := m.report.Slope("spread.calls")
	idle := m.exchanged(made, m.report.Slope("spread.bytes")/made+m.framing(), m.report.Slope("call.notifyTime"))
	idle.processor += m.report.At("spread.time", m.target.Hosts)
	idle.memory = m.report.At("spread.memory", m.target.Hosts)
	return idle
}

// changes are spread and adopted.
func (m model) changes() cost {
	made := m.report.Slope("spread.changeCalls")
	bytes := m.report.Slope("spread.changeBytes")/made + m.framing()
	perChange := m.exchanged(made, bytes, m.report.Slope("call.notifyTime"))
	rate := m.target.ChangesPerSecond()
	return cost{
		calls: perChange.calls * rate, bytes: perChange.bytes * rate,
		processor: rate * (perChange.processor + m.report.At("config.change", m.target.Databases)),
		memory:    m.report.At("config.memory", m.target.Databases),
	}
}

// polling is the head at a host that polls it, with the index of each change.
func (m model) polling() cost {
	rate := m.target.ChangesPerSecond()
	return cost{
		calls:     headPollsPerSecond + rate*2,
		bytes:     headPollsPerSecond*(headBytes()+m.framing()) + rate*m.report.At("config.index", m.target.Databases),
		processor: (headPollsPerSecond + rate*2) * m.report.Slope("call.notifyTime") / 2,
	}
}

// hostLease is the lease with the reads of slot rows, as dflease asks for them.
func (m model) hostLease() cost {
	calls := m.report.At("lease.reads", m.held()) + 1.0/hostRenewal
	return cost{
		calls:     calls,
		bytes:     m.report.At("lease.bytes", m.held()) + calls*m.framing(),
		processor: m.report.At("lease.time", m.held()) + calls*m.report.Slope("call.notifyTime")/2,
	}
}

// hostList is one read of the platform's whole list in a second.
func (m model) hostList() cost {
	entries := m.target.Hosts + m.target.Upstreams()
	return cost{
		calls:     listReadsPerSecond,
		bytes:     listReadsPerSecond * (m.report.At("members.bytes", entries) + m.framing()),
		processor: listReadsPerSecond * (m.report.At("members.time", entries) + m.report.Slope("call.notifyTime")/2),
		memory:    m.report.At("members.memory", entries),
	}
}

// audit is one record for each adopted change, stored by itself because the
// next change comes later than the segment is due.
func (m model) audit() cost {
	rate := m.target.ChangesPerSecond()
	return cost{
		calls:     rate,
		bytes:     rate * (m.report.Slope("audit.bytes") + m.framing()),
		processor: rate * (m.report.Slope("audit.time") + m.report.Slope("call.notifyTime")/2),
		memory:    m.report.Slope("audit.memory") * auditBuffer,
	}
}

// statements is the full cache of classified statements.
func (m model) statements() cost {
	return cost{memory: m.report.At("classify.memory", statementCache)}
}

// callers are idle connections.
func (m model) callers() cost {
	return cost{
		processor: m.report.Slope("caller.idle") * m.target.CallersPerHost(),
		memory:    m.report.Slope("caller.memory") * m.target.CallersPerHost(),
	}
}

// duty is a named cost.
type duty struct {
	name string
	cost cost
	// control tells whether the budgets of a host apply.
	control bool
}

// duties are all of a host.
func (m model) duties() []duty {
	return []duty{
		{"slot holder: position leases", m.positionLeases(), true},
		{"slot holder: positions of callers", m.positions(), true},
		{"promotion actor and watcher: status polls, both ends", m.polls(), true},
		{"configuration spreader: idle", m.spreading(), true},
		{"configuration spreader: changes, snapshot in force", m.changes(), true},
		{"host lease keeper", m.hostLease(), true},
		{"host list, read by every host", m.hostList(), true},
		{"audit writer", m.audit(), true},
		{"entry: cache of statements", m.statements(), true},
		{"configuration poller, on 36 hosts only", m.polling(), false},
		{"slot holder: notifications of writes", m.notifications(), false},
		{"entry: idle callers, both ends", m.callers(), false},
	}
}

// control sums the duties to which the budgets apply.
func (m model) control() cost {
	var sum cost
	for _, duty := range m.duties() {
		if duty.control {
			sum = sum.plus(duty.cost)
		}
	}
	return sum
}
