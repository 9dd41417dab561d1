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

// Difference leads from any version in [From, To] to version To. A whole
// difference carries all services and applies to every version.
type Difference struct {
	From uint64
	// To is the version that results.
	To       uint64
	Author   string
	Attempt  string
	Previous string
	// Whole replaces the index instead of changing it.
	Whole bool
	// Changed has the address of each service added or changed after From.
	Changed map[string]string
	// Removed has the names of services removed after From.
	Removed []string
	// Digest is the digest of the resulting index.
	Digest string
	// Documents has service documents by address, as far as the bound allows.
	Documents map[string]string
}

// NewDifference returns the difference between two versions, without documents.
func NewDifference(from, to Index) Difference {
	return History{}.WithIndex(from).WithIndex(to).Difference(from.Version)
}

// Apply returns the index that results. It fails if the difference does not
// lead from the version of the index or the result does not match the digest.
func (d Difference) Apply(index Index) (Index, error) {
	if !d.Whole && (index.Version < d.From || index.Version > d.To) {
		return Index{}, eris.Errorf("config: difference %d to %d does not apply to version %d", d.From, d.To, index.Version)
	}
	if d.Whole {
		index = Index{}
	}
	next := index.copied()
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

// Encode returns a payload for a peer. Documents are left out, the largest
// addresses first, until the payload is within the bound.
func (d Difference) Encode() ([]byte, error) {
	for {
		payload, err := deflated(d)
		if err != nil {
			return nil, err
		}
		if len(payload) <= maxPayloadBytes {
			return payload, nil
		}
		if len(d.Documents) == 0 {
			return nil, eris.Errorf("config: difference to version %d has %d bytes", d.To, len(payload))
		}
		d.Documents = halved(d.Documents)
	}
}

func halved(documents map[string]string) map[string]string {
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

// writers are reused, because each holds about 1 MB of tables.
var writers = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return writer
}}

func deflated(d Difference) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "config: encode difference")
	}
	var buffer bytes.Buffer
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&buffer)
	if _, err := writer.Write(data); err != nil {
		return nil, eris.Wrap(err, "config: compress difference")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "config: compress difference")
	}
	return buffer.Bytes(), nil
}

// DecodeDifference reads a payload from a peer.
func DecodeDifference(payload []byte) (Difference, error) {
	if len(payload) > maxPayloadBytes {
		return Difference{}, eris.Errorf("config: a payload of %d bytes is above the bound", len(payload))
	}
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(payload)), maxInflatedBytes+1)
	data, err := io.ReadAll(reader)
	if err != nil {
		return Difference{}, eris.Wrap(err, "config: decompress difference")
	}
	if len(data) > maxInflatedBytes {
		return Difference{}, eris.New("config: a payload inflates above the bound")
	}
	var difference Difference
	if err := json.Unmarshal(data, &difference); err != nil {
		return Difference{}, eris.Wrap(err, "config: decode difference")
	}
	return difference, difference.check()
}

func (d Difference) check() error {
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

// History is an index with the steps that led to it. It is immutable.
type History struct {
	index Index
	// steps are consecutive: each starts at the version where the one before ends.
	steps []step
}

// step has the names of the services that differ between two versions.
type step struct {
	from  uint64
	names []string
}

// Index returns the newest index.
func (h History) Index() Index {
	return h.index
}

// WithIndex returns the history with a newer index.
func (h History) WithIndex(index Index) History {
	steps := append([]step(nil), h.steps...)
	if h.index.Version > 0 {
		steps = append(steps, step{h.index.Version, differing(h.index, index)})
	}
	if len(steps) > maxSteps {
		steps = steps[len(steps)-maxSteps:]
	}
	return History{index: index, steps: steps}
}

func differing(a, b Index) []string {
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

// Difference returns what a host at the given version lacks, without documents.
func (h History) Difference(from uint64) Difference {
	index := h.index
	difference := Difference{
		From: from, To: index.Version, Author: index.Author, Attempt: index.Attempt,
		Previous: index.Previous, Changed: make(map[string]string), Digest: index.Digest(),
	}
	first := sort.Search(len(h.steps), func(i int) bool { return h.steps[i].from > from }) - 1
	if first < 0 {
		difference.Whole = true
		difference.From = 0
		for name, address := range index.Services {
			difference.Changed[name] = address
		}
		return difference
	}
	// The step may start below the asked version, if this host skipped it.
	difference.From = h.steps[first].from
	removed := make(map[string]bool)
	for _, step := range h.steps[first:] {
		for _, name := range step.names {
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
