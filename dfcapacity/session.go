package dfcapacity

import (
	"context"
	"fmt"
	"runtime"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclassify"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfsession"
)

// peersOfHolder is the number of other slot holders of a database.
const peersOfHolder = 4

// knowledge returns the state of a holder that has granted leases to its peers.
func knowledge(callers int) *dfsession.Tracker {
	known := dfsession.New(1, false, callers, 0)
	roster := dfsession.Membership{RequestedAt: 2000}
	for i := range peersOfHolder {
		roster.Peers = append(roster.Peers, dfsession.Peer{Host: fmt.Sprintf("host-%04d", i), Incarnation: "i", Epoch: 1})
	}
	known.SetMembership(2000, roster)
	for _, peer := range roster.Peers {
		known.RecordLease(2000, peer, 2000, dfsession.LeaseTTL)
		known.GrantLease(2000, peer)
	}
	known.SetWatermark(2002, dfsession.Watermark{StartedAt: 2001, Position: dfposition.Position{Term: 1, Offset: 1}})
	return known
}

// positions measures what a holder keeps and spends for callers' positions.
func (m *measurement) positions(context.Context) error {
	runtime.KeepAlive(knowledge(m.sizes.Positions[0]))
	for _, size := range m.sizes.Positions {
		before := memory()
		known := knowledge(size)
		for i := range size {
			known.RecordNotification(2003, dfsession.Caller(i), dfposition.Position{Term: 1, Offset: dfposition.Offset(i)})
		}
		m.add("position.memory", size, memory()-before)
		started := processorTime()
		for range m.sizes.Rounds {
			for i := range size {
				known.RecordNotification(2004, dfsession.Caller(i), dfposition.Position{Term: 2, Offset: dfposition.Offset(i)})
			}
		}
		m.add("position.notified", size, (processorTime()-started)/float64(m.sizes.Rounds))
		m.add("position.write", size, writeTime(known, size, m.sizes.Rounds))
		started = processorTime()
		for range m.sizes.Rounds {
			for i := range size {
				known.Lookup(2005, dfsession.Caller(i))
			}
		}
		m.add("position.ask", size, (processorTime()-started)/float64(m.sizes.Rounds))
		runtime.KeepAlive(known)
	}
	return nil
}

// writeTime records writes that all peers answer, as each write does.
func writeTime(known *dfsession.Tracker, size, rounds int) float64 {
	started := processorTime()
	for range rounds {
		for i := range size {
			id, notify, _ := known.RecordWrite(2004, dfsession.Caller(i), dfposition.Position{Term: 3, Offset: dfposition.Offset(i)})
			for _, peer := range notify {
				known.RecordAnswer(2004, id, peer)
			}
			known.Acknowledge(2004, id)
		}
	}
	return (processorTime() - started) / float64(rounds)
}

// audit measures the buffer of audit records and their segments.
func (m *measurement) audit(context.Context) error {
	for _, size := range m.sizes.Records {
		before, started := memory(), processorTime()
		trail := dfaudit.NewTrail("host-0001", "incarnation-0001")
		for i := range size {
			if err := trail.Add(dfclock.Millis(i), adoptionEntry(i)); err != nil {
				return err
			}
		}
		m.add("audit.time", size, processorTime()-started)
		m.add("audit.memory", size, memory()-before)
		stored := 0
		for trail.Buffered() > 0 {
			segment, _, err := trail.Due(dfclock.Millis(size), true)
			if err != nil {
				return err
			}
			stored += len(segment.Data)
			trail.Stored(dfclock.Millis(size))
		}
		m.add("audit.bytes", size, float64(stored))
	}
	return nil
}

func adoptionEntry(version int) dfaudit.Entry {
	return dfaudit.Entry{
		Who: "operator-17", Kind: dfaudit.KindAdoption, Outcome: "in force",
		From: fmt.Sprint(version), To: fmt.Sprint(version + 1),
	}
}

// classification measures the cache of classified statements.
func (m *measurement) classification(context.Context) error {
	// The first parse sets up the parser, which is no cost of a statement.
	dfclassify.Parse(statement(0))
	for _, size := range m.sizes.Statements {
		before, started := memory(), processorTime()
		classifier := dfclassify.New(dfclassify.DefaultCapacity)
		for i := range size {
			classifier.Classify(statement(i))
		}
		m.add("classify.parse", size, processorTime()-started)
		m.add("classify.memory", size, memory()-before)
		started = processorTime()
		for range m.sizes.Rounds {
			for i := range size {
				classifier.Classify(statement(i))
			}
		}
		m.add("classify.hit", size, (processorTime()-started)/float64(m.sizes.Rounds))
		runtime.KeepAlive(classifier)
	}
	return nil
}

// statement is a usual statement of about 120 bytes.
func statement(number int) string {
	return fmt.Sprintf("SELECT o.id, o.state, o.due FROM orders_%04d o JOIN lines l ON l.id = o.id WHERE o.shop = $1 AND o.due < $2", number)
}
