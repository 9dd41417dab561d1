// Package dfaudit keeps the audit trail: records chained by hashes per host,
// buffered while the platform is down, and appended to the object store in
// segments that can be verified.
package dfaudit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
)

// Kind tells what a record is about.
type Kind string

// Kinds of records.
const (
	KindPublication Kind = "publication"
	KindAdoption    Kind = "adoption"
	KindPromotion   Kind = "promotion"
	KindDiscarded   Kind = "discarded"
	KindSlot        Kind = "slot"
	KindHost        Kind = "host"
	KindUpstream    Kind = "upstream"
	KindSession     Kind = "session"
	// KindGap stands for records that were dropped while the buffer was full.
	KindGap Kind = "gap"
	// KindClosed is the last record of an orderly stop.
	KindClosed Kind = "closed"
)

// Entry is what the parts of the system report.
type Entry struct {
	// Who is the operator, host or caller that caused the change.
	Who     string
	Kind    Kind
	Service string `json:",omitempty"`
	// From and To are the state before and after, in the words of the kind.
	From    string `json:",omitempty"`
	To      string `json:",omitempty"`
	Why     string `json:",omitempty"`
	Outcome string
}

// valid replaces bytes that are not UTF-8, because they would not survive the
// encoding and the record would seem altered.
func (e Entry) valid() Entry {
	for _, field := range []*string{&e.Who, &e.Service, &e.From, &e.To, &e.Why, &e.Outcome} {
		*field = strings.ToValidUTF8(*field, "?")
	}
	return e
}

// Record is one entry in the chain of one host.
type Record struct {
	// When counts milliseconds since 1970-01-01 UTC by the clock of the host.
	When dfclock.Millis
	Host string
	// Number counts the records of one incarnation from 1 without holes.
	Number uint64
	Entry
	// Dropped is the number of records that a gap stands for.
	Dropped uint64 `json:",omitempty"`
	// Previous is the hash of the record before, or the origin of the chain.
	Previous string
	// Hash is the SHA-256 of Previous and the canonical record, in hex.
	Hash string
}

// Origin returns the hash that the first record of an incarnation follows.
func Origin(host, incarnation string) string {
	return digest("audit/" + host + "/" + incarnation)
}

// sealed returns the record with its hash.
func (r Record) sealed(previous string) (Record, error) {
	r.Previous, r.Hash = previous, ""
	data, err := json.Marshal(r)
	if err != nil {
		return Record{}, eris.Wrap(err, "audit: encode record")
	}
	r.Hash = digest(previous + "\n" + string(data))
	return r, nil
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// encode writes records as one JSON object a line.
func encode(records []Record) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return nil, eris.Wrap(err, "audit: encode segment")
		}
	}
	return buffer.Bytes(), nil
}

// Decode reads the records of a segment without verifying them.
func Decode(data []byte) ([]Record, error) {
	var records []Record
	for _, line := range bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n")) {
		var record Record
		if err := json.Unmarshal(line, &record); err != nil {
			return records, eris.Wrapf(err, "audit: record %d of the segment", len(records)+1)
		}
		records = append(records, record)
	}
	return records, nil
}

// Filter selects records; empty fields select all.
type Filter struct {
	Service string
	Who     string
	Kind    Kind
	// Since and Until bound When; Until is exclusive and zero is no bound.
	Since dfclock.Millis
	Until dfclock.Millis
}

// Matches reports whether the filter selects the record. Gaps are selected by
// time alone, because dropped records may have matched.
func (f Filter) Matches(record Record) bool {
	if record.When < f.Since || f.Until > 0 && record.When >= f.Until {
		return false
	}
	if record.Kind == KindGap {
		return true
	}
	return (f.Service == "" || f.Service == record.Service) &&
		(f.Who == "" || f.Who == record.Who) &&
		(f.Kind == "" || f.Kind == record.Kind)
}

// Select returns the records that the filter selects, in their order.
func (f Filter) Select(records []Record) []Record {
	var selected []Record
	for _, record := range records {
		if f.Matches(record) {
			selected = append(selected, record)
		}
	}
	return selected
}
