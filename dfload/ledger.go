package dfload

import (
	"sync"
	"time"

	"dragonflygrade/dfresult"
)

// told is what a caller knows of one write.
type told struct {
	outcome dfresult.Outcome
	// attempts counts the statements sent for the write.
	attempts int
	// raised and doubtful count the increments of the order's quantity that
	// were acknowledged and that have an unknown result.
	raised, doubtful int64
}

// Ledger records what callers were told about their writes.
type Ledger struct {
	mu sync.Mutex
	// writes is keyed by service and order id.
	writes map[string]map[int64]told
	// versions lists, by service, when each catalogue version was acknowledged.
	versions map[string][]versionAck

	pauses pauses
}

type versionAck struct {
	version int64
	at      time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{writes: make(map[string]map[int64]told), versions: make(map[string][]versionAck)}
}

// Tell records the outcome of a write. A later outcome replaces an earlier one,
// except that done stays done.
func (l *Ledger) Tell(service string, id int64, outcome dfresult.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writes := l.writes[service]
	if writes == nil {
		writes = make(map[int64]told)
		l.writes[service] = writes
	}
	entry := writes[id]
	entry.attempts++
	if entry.outcome != dfresult.Done {
		entry.outcome = mergeOutcome(entry, outcome)
	}
	writes[id] = entry
}

// TellRaise records the outcome of an increment of an order's quantity.
func (l *Ledger) TellRaise(service string, id int64, outcome dfresult.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.writes[service][id]
	switch outcome {
	case dfresult.Done:
		entry.raised++
	case dfresult.Unknown:
		entry.doubtful++
	}
	l.writes[service][id] = entry
}

// mergeOutcome keeps an unknown result unknown when a repeat did not run.
func mergeOutcome(entry told, outcome dfresult.Outcome) dfresult.Outcome {
	if entry.outcome == dfresult.Unknown && outcome == dfresult.NotRun {
		return dfresult.Unknown
	}
	return outcome
}

// AckVersion records that a catalogue version was acknowledged.
func (l *Ledger) AckVersion(service string, version int64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[service] = append(l.versions[service], versionAck{version: version, at: at})
}

// RequiredVersion returns the newest version acknowledged at or before an instant.
func (l *Ledger) RequiredVersion(service string, at time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	acks := l.versions[service]
	for i := len(acks) - 1; i >= 0; i-- {
		if !acks[i].at.After(at) {
			return acks[i].version
		}
	}
	return 0
}

// Verdict counts what the record of the upstreams contradicts.
type Verdict struct {
	LostWrites    int
	DoubledWrites int
	NotRunButRan  int
	// ReplacedPrimaryAcks counts acknowledged writes that were cut with the
	// tail of a replaced primary.
	ReplacedPrimaryAcks int
}

// Record is what the upstreams of one service hold at the end.
type Record struct {
	// Surviving counts the rows of each order id at the last primary.
	Surviving map[int64]int
	// Quantities has the quantity of each order.
	Quantities map[int64]int64
	// Cut has the order ids in log tails that were discarded.
	Cut map[int64]bool
}

// checkQuantity finds increments that ran twice or were lost.
func (v *Verdict) checkQuantity(entry told, quantity int64) {
	least := firstQuantity + entry.raised
	if quantity > least+entry.doubtful {
		v.DoubledWrites++
	}
	if quantity != 0 && quantity < least {
		v.LostWrites++
	}
}

// Check compares what callers were told with the record of a service.
func (l *Ledger) Check(service string, record Record) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var verdict Verdict
	for id, entry := range l.writes[service] {
		rows := record.Surviving[id]
		if rows > 1 {
			verdict.DoubledWrites++
		}
		switch entry.outcome {
		case dfresult.Done:
			if rows == 0 {
				verdict.LostWrites++
			}
			if rows == 0 && record.Cut[id] {
				verdict.ReplacedPrimaryAcks++
			}
			verdict.checkQuantity(entry, record.Quantities[id])
		case dfresult.NotRun:
			if rows > 0 {
				verdict.NotRunButRan++
			}
		}
	}
	return verdict
}
