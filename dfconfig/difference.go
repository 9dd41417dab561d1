package dfconfig

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
)

// Difference updates an index to version To. It applies to all versions in [From, To],
// or to any version if it is whole, in which case it has all services.
type Difference struct {
	From uint64
	// To is the resulting version.
	To       uint64
	Author   string
	Attempt  string
	Previous string
	// Whole means that the difference replaces the index instead of changing it.
	Whole bool
	// Changed maps the services added or changed after From to content addresses.
	Changed map[string]string
	// Removed has the names of the services removed after From.
	Removed []string
	// Digest is the digest of the resulting index.
	Digest string
	// Documents has the changed documents by content address, or some of them if all
	// would exceed the payload limit.
	Documents map[string]string
}

// NewDifference returns the difference between two versions, without documents.
func NewDifference(from, to Index) Difference {
	return History{}.WithIndex(from).WithIndex(to).Difference(from.Version)
}

// Apply returns the resulting index. It fails if the difference does not cover the
// version of the index, or if the result does not match the digest.
func (d Difference) Apply(index Index) (Index, error) {
	if !d.Whole && (index.Version < d.From || index.Version > d.To) {
		return Index{}, eris.Errorf("config: difference %d to %d does not apply to version %d", d.From, d.To, index.Version)
	}
	if d.Whole {
		index = Index{}
	}
	next := index.clone()
	for _, name := range d.Removed {
		delete(next.Services, name)
	}
	for name, address := range d.Changed {
		next.Services[name] = address
	}
	next.Version, next.Author, next.Attempt, next.Previous = d.To, d.Author, d.Attempt, d.Previous
	if next.Digest() != d.Digest {
		return Index{}, eris.Errorf("config: difference to version %d does not match its digest", d.To)
	}
	return next, nil
}

// Encode returns the payload that is sent to peers and stored at the platform. Half of
// the documents, those with the highest addresses, are dropped until the payload is
// within the limit.
func (d Difference) Encode() ([]byte, error) {
	for {
		payload, err := encodeCompressed(d)
		if err != nil {
			return nil, err
		}
		if len(payload) <= maxPayloadBytes {
			return payload, nil
		}
		if len(d.Documents) == 0 {
			return nil, eris.Errorf("config: difference to version %d has %d bytes, limit %d", d.To, len(payload), maxPayloadBytes)
		}
		d.Documents = firstHalf(d.Documents)
	}
}

// firstHalf returns the half of the documents with the lowest addresses.
func firstHalf(documents map[string]string) map[string]string {
	addresses := make([]string, 0, len(documents))
	for address := range documents {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	kept := make(map[string]string, len(addresses)/2)
	for _, address := range addresses[:len(addresses)/2] {
		kept[address] = documents[address]
	}
	return kept
}

// deflateWriters are reused, because each allocates about 1 MB of tables.
var deflateWriters = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return writer
}}

func encodeCompressed(d Difference) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "config: encode difference")
	}
	var buffer bytes.Buffer
	writer := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(writer)
	writer.Reset(&buffer)
	if _, err := writer.Write(data); err != nil {
		return nil, eris.Wrap(err, "config: compress difference")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "config: compress difference")
	}
	return buffer.Bytes(), nil
}

// DecodeDifference decodes and validates a payload.
func DecodeDifference(payload []byte) (Difference, error) {
	if len(payload) > maxPayloadBytes {
		return Difference{}, eris.Errorf("config: payload of %d bytes exceeds the limit of %d", len(payload), maxPayloadBytes)
	}
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(payload)), maxDecompressedBytes+1)
	data, err := io.ReadAll(reader)
	if err != nil {
		return Difference{}, eris.Wrap(err, "config: decompress difference")
	}
	if len(data) > maxDecompressedBytes {
		return Difference{}, eris.Errorf("config: payload exceeds %d bytes after decompression", maxDecompressedBytes)
	}
	var difference Difference
	if err := json.Unmarshal(data, &difference); err != nil {
		return Difference{}, eris.Wrap(err, "config: decode difference")
	}
	return difference, difference.validate()
}

func (d Difference) validate() error {
	if d.To == 0 || d.From > d.To || d.Attempt == "" || !isContentAddress(d.Digest) {
		return eris.Errorf("config: difference %d to %d is malformed", d.From, d.To)
	}
	if len(d.Changed)+len(d.Removed) > maxServices || len(d.Documents) > maxServices {
		return eris.Errorf("config: difference to version %d has too many services", d.To)
	}
	for name, address := range d.Changed {
		if !isName(name) || !isContentAddress(address) {
			return eris.Errorf("config: difference to version %d has a malformed entry for service %q", d.To, name)
		}
	}
	return nil
}

// History is an index with the latest changes that led to it. It is immutable.
type History struct {
	index Index
	// changes are consecutive. Each starts at the version where the previous one
	// ends, and the last one ends at the index.
	changes []versionChange
}

// versionChange has the names of the services that changed between a version and a
// later one.
type versionChange struct {
	from     uint64
	services []string
}

// Index returns the newest index.
func (h History) Index() Index {
	return h.index
}

// WithIndex returns the history extended by a newer index.
func (h History) WithIndex(index Index) History {
	changes := append([]versionChange(nil), h.changes...)
	if h.index.Version > 0 {
		changes = append(changes, versionChange{h.index.Version, changedServices(h.index, index)})
	}
	if len(changes) > maxHistoryVersions {
		changes = changes[len(changes)-maxHistoryVersions:]
	}
	return History{index: index, changes: changes}
}

// changedServices returns the names of the services that differ between two indexes.
func changedServices(a, b Index) []string {
	var names []string
	for name, address := range a.Services {
		if b.Services[name] != address {
			names = append(names, name)
		}
	}
	for name := range b.Services {
		if _, ok := a.Services[name]; !ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Difference returns the changes since a version, without documents. It is a whole
// difference if the history does not reach back to the version.
func (h History) Difference(from uint64) Difference {
	index := h.index
	difference := Difference{
		From: from, To: index.Version, Author: index.Author, Attempt: index.Attempt,
		Previous: index.Previous, Changed: make(map[string]string), Digest: index.Digest(),
	}
	first := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].from > from }) - 1
	if first < 0 {
		difference.Whole = true
		difference.From = 0
		for name, address := range index.Services {
			difference.Changed[name] = address
		}
		return difference
	}
	// The change may start below the requested version, if this host skipped that
	// version.
	difference.From = h.changes[first].from
	removed := make(map[string]bool)
	for _, change := range h.changes[first:] {
		for _, name := range change.services {
			if address, ok := index.Services[name]; ok {
				difference.Changed[name] = address
			} else {
				removed[name] = true
			}
		}
	}
	for name := range removed {
		difference.Removed = append(difference.Removed, name)
	}
	sort.Strings(difference.Removed)
	return difference
}
