package dfaudit

import (
	"fmt"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
)

// Segment is a run of records to store as one object.
type Segment struct {
	Name string
	Data []byte
	// count is the number of records, which are the oldest in the buffer. It is 0 for a
	// segment that is stored again.
	count int
	// storedAt is when the segment was stored.
	storedAt dfclock.Millis
}

// Trail decides what to write of one host's records, and when. It is used by
// one goroutine.
type Trail struct {
	host        string
	incarnation string
	// head is the hash of the last record added.
	head string
	// number is the number of the last record added.
	number uint64
	// buffer has the records not yet stored; at most maxBuffered.
	buffer []Record
	// dropped counts entries since the buffer became full.
	dropped uint64
	// sequence is the number of the last segment stored.
	sequence uint64
	// kept has the segments stored within keptAge, at most maxKept, oldest first. lost
	// has those that the store may have lost since and that are stored again.
	kept []Segment
	lost []Segment
	// current is handed out until it is stored; its content does not change,
	// so that a repeat after a lost answer finds the same object.
	current Segment
	// oldest is when the first record of the buffer was added.
	oldest dfclock.Millis
	// notBefore delays the repeat of a failed write.
	notBefore dfclock.Millis
	failures  int
}

// NewTrail returns the trail of one incarnation of a host.
func NewTrail(host, incarnation string) *Trail {
	return &Trail{host: host, incarnation: incarnation, head: Origin(host, incarnation)}
}

// Add takes an entry at an instant, in milliseconds since 1970. While the
// buffer is full the entry is dropped and counted.
func (t *Trail) Add(when dfclock.Millis, entry Entry) error {
	if t.dropped > 0 || len(t.buffer) >= maxBuffered {
		if len(t.buffer) >= maxBuffered-1 {
			t.dropped++
			return nil
		}
		if err := t.closeGap(when); err != nil {
			return err
		}
	}
	return t.append(when, entry, 0)
}

// closeGap adds the record that stands for dropped entries.
func (t *Trail) closeGap(when dfclock.Millis) error {
	why := fmt.Sprintf("%d records were dropped while the object store did not answer", t.dropped)
	entry := Entry{Who: t.host, Kind: KindGap, Why: why, Outcome: "dropped"}
	if err := t.append(when, entry, t.dropped); err != nil {
		return err
	}
	t.dropped = 0
	return nil
}

func (t *Trail) append(when dfclock.Millis, entry Entry, dropped uint64) error {
	record := Record{When: when, Host: t.host, Number: t.number + 1, Entry: entry.valid(), Dropped: dropped}
	record, err := record.sealed(t.head)
	if err != nil {
		return err
	}
	if len(t.buffer) == 0 {
		t.oldest = when
	}
	t.buffer = append(t.buffer, record)
	t.head, t.number = record.Hash, record.Number
	return nil
}

// Buffered returns the number of records that wait, dropped ones included.
func (t *Trail) Buffered() int {
	return len(t.buffer) + int(t.dropped)
}

// Due returns the segment to store now, if one is due. With flush, records
// that wait for others are due at once.
func (t *Trail) Due(now dfclock.Millis, flush bool) (Segment, bool, error) {
	if t.dropped > 0 && len(t.buffer) < maxBuffered-1 {
		if err := t.closeGap(now); err != nil {
			return Segment{}, false, err
		}
	}
	if !flush && !now.Reached(t.notBefore) {
		return Segment{}, false, nil
	}
	if t.current.Name == "" && len(t.lost) > 0 {
		t.current, t.lost = t.lost[0], t.lost[1:]
	}
	if t.current.Name != "" {
		return t.current, true, nil
	}
	if len(t.buffer) == 0 {
		return Segment{}, false, nil
	}
	if !flush && len(t.buffer) < maxSegment && now.Since(t.oldest) < segmentAge {
		return Segment{}, false, nil
	}
	count := min(len(t.buffer), maxSegment)
	data, err := encode(t.buffer[:count])
	if err != nil {
		return Segment{}, false, err
	}
	t.current = Segment{Name: SegmentName(t.host, t.incarnation, t.sequence+1), Data: data, count: count}
	return t.current, true, nil
}

// Stored tells that the current segment is in the object store.
func (t *Trail) Stored(now dfclock.Millis) {
	if t.current.count > 0 {
		t.buffer = append([]Record(nil), t.buffer[t.current.count:]...)
		if len(t.buffer) > 0 {
			t.oldest = t.buffer[0].When
		}
		t.sequence++
	}
	t.keep(now)
	t.current = Segment{}
	t.failures, t.notBefore = 0, 0
}

// keep keeps the current segment and drops those that are too old.
func (t *Trail) keep(now dfclock.Millis) {
	stored := t.current
	stored.count, stored.storedAt = 0, now
	t.kept = append(t.kept, stored)
	for len(t.kept) > maxKept || now.Since(t.kept[0].storedAt) > keptAge {
		t.kept = t.kept[1:]
	}
}

// Restored tells that the object store came back from an older copy. Segments that it
// may have lost are stored again.
func (t *Trail) Restored() {
	t.lost, t.kept = append(t.lost, t.kept...), nil
}

// Failed tells that the current segment may not have been stored.
func (t *Trail) Failed(now dfclock.Millis) {
	wait := retryMax
	if t.failures < 6 {
		wait = min(retryFirst<<t.failures, retryMax)
	}
	t.failures++
	t.notBefore = now.Add(wait)
}

// SegmentName returns the object name of a segment. Sequence numbers count
// from 1 and are padded, so that names sort in their order.
func SegmentName(host, incarnation string, sequence uint64) string {
	return fmt.Sprintf("audit/%s/%s/%012d", host, incarnation, sequence)
}

// Verify checks the segments of one incarnation, by sequence number from 1,
// and returns their records up to the first fault. The error names the first
// record that is missing or altered. Records cut from the end show only if the
// trail was closed in order; see Closed.
func Verify(host, incarnation string, segments [][]byte) ([]Record, error) {
	var verified []Record
	head := Origin(host, incarnation)
	for i, data := range segments {
		records, decodeErr := Decode(data)
		for _, record := range records {
			number := uint64(len(verified) + 1)
			if record.Number != number {
				return verified, eris.Errorf("audit: record %d of %s/%s is missing; segment %d has record %d in its place",
					number, host, incarnation, i+1, record.Number)
			}
			sealed, err := record.sealed(head)
			if err != nil {
				return verified, err
			}
			if sealed != record || record.Host != host {
				return verified, eris.Errorf("audit: record %d of %s/%s was altered, in segment %d", number, host, incarnation, i+1)
			}
			head = record.Hash
			verified = append(verified, record)
		}
		if decodeErr != nil {
			return verified, eris.Errorf("audit: record %d of %s/%s was altered, in segment %d: not readable",
				len(verified)+1, host, incarnation, i+1)
		}
	}
	return verified, nil
}

// Closed reports whether the records end with an orderly stop.
func Closed(records []Record) bool {
	return len(records) > 0 && records[len(records)-1].Kind == KindClosed
}
