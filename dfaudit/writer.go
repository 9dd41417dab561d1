package dfaudit

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

// writeInterval is how often the writer looks for a due segment.
const writeInterval = 200 * dfclock.Millisecond

// Store is the object store of a trail. Its era rises each time that it comes back
// from an older copy, without what it acknowledged since.
type Store interface {
	dfplatform.ObjectStore
	Era() uint64
}

// Writer stores the segments of a trail. Its methods may be called by several
// goroutines.
type Writer struct {
	store Store
	now   func() dfclock.Millis
	sleep dfplatform.Sleep

	// writing is held while a segment is stored, so that each is stored once.
	writing sync.Mutex
	// era is the era of the store that the trail knows of, or 0.
	era   uint64
	mu    sync.Mutex
	trail *Trail
}

// NewWriter returns a writer of a trail. The clock counts milliseconds since 1970.
func NewWriter(trail *Trail, store Store, now func() dfclock.Millis, sleep dfplatform.Sleep) *Writer {
	return &Writer{store: store, now: now, sleep: sleep, trail: trail}
}

// Add takes an entry; it never waits for the store.
func (w *Writer) Add(entry Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.trail.Add(w.now(), entry)
}

// Buffered returns the number of records that are not stored yet.
func (w *Writer) Buffered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.trail.Buffered()
}

// Run stores due segments until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		if err := w.sleep(ctx, writeInterval); err != nil {
			return err
		}
		if _, err := w.write(ctx, false); err != nil && ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Close stores everything with a closing record at the end, or fails at the
// first segment that the store does not take.
func (w *Writer) Close(ctx context.Context, why string) error {
	// A full buffer would drop the closing record, so it is emptied first.
	if err := w.Flush(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	err := w.trail.Add(w.now(), Entry{Who: w.trail.host, Kind: KindClosed, Why: why, Outcome: "closed"})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	return w.Flush(ctx)
}

// Flush stores all records, or fails at the first segment that the store does
// not take.
func (w *Writer) Flush(ctx context.Context) error {
	for {
		more, err := w.write(ctx, true)
		if err != nil || !more {
			return err
		}
	}
}

// write stores one segment if one is due.
func (w *Writer) write(ctx context.Context, flush bool) (bool, error) {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.observeEra()
	w.mu.Lock()
	segment, due, err := w.trail.Due(w.now(), flush)
	w.mu.Unlock()
	if err != nil || !due {
		return false, err
	}
	err = w.store.Put(ctx, segment.Name, segment.Data)
	if w.era == 0 {
		w.era = w.store.Era()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.trail.Failed(w.now())
		return false, eris.Wrapf(err, "audit: store %s", segment.Name)
	}
	w.trail.Stored(w.now())
	return true, nil
}

// observeEra tells the trail of a later era. The caller holds writing.
func (w *Writer) observeEra() {
	era := w.store.Era()
	if era <= w.era {
		return
	}
	if w.era > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.trail.Restored()
	}
	w.era = era
}

// Chain is the verified part of one incarnation's trail.
type Chain struct {
	Host        string
	Incarnation string
	Records     []Record
	// Fault names the first missing or altered record, or is nil.
	Fault error
	// Closed is true if the trail ends with an orderly stop.
	Closed bool
}

// Read fetches and verifies all trails, or those of one host.
func Read(ctx context.Context, store dfplatform.ObjectStore, host string) ([]Chain, error) {
	prefix := "audit/"
	if host != "" {
		prefix += host + "/"
	}
	names, err := store.Names(ctx, prefix)
	if err != nil {
		return nil, eris.Wrap(err, "audit: list segments")
	}
	sort.Strings(names)
	var chains []Chain
	for start := 0; start < len(names); {
		end := start
		for end < len(names) && incarnationOf(names[end]) == incarnationOf(names[start]) {
			end++
		}
		chain, err := readChain(ctx, store, names[start:end])
		if err != nil {
			return chains, err
		}
		chains = append(chains, chain)
		start = end
	}
	return chains, nil
}

func readChain(ctx context.Context, store dfplatform.ObjectStore, names []string) (Chain, error) {
	parts := strings.Split(names[0], "/")
	if len(parts) != 4 {
		return Chain{Fault: eris.Errorf("audit: %q is not the name of a segment", names[0])}, nil
	}
	chain := Chain{Host: parts[1], Incarnation: parts[2]}
	var segments [][]byte
	for i, name := range names {
		if name != SegmentName(chain.Host, chain.Incarnation, uint64(i+1)) {
			chain.Fault = eris.Errorf("audit: segment %d of %s/%s is missing", i+1, chain.Host, chain.Incarnation)
			break
		}
		data, err := store.Fetch(ctx, name)
		if err != nil {
			return chain, eris.Wrapf(err, "audit: fetch %s", name)
		}
		segments = append(segments, data)
	}
	records, fault := Verify(chain.Host, chain.Incarnation, segments)
	if fault != nil {
		chain.Fault = fault
	} else if chain.Fault != nil {
		chain.Fault = eris.Wrapf(chain.Fault, "record %d and later", len(records)+1)
	}
	chain.Records, chain.Closed = records, Closed(records)
	return chain, nil
}

func incarnationOf(name string) string {
	return name[:max(strings.LastIndexByte(name, '/'), 0)]
}

// Merge joins the records of several chains by time.
func Merge(chains []Chain) []Record {
	var records []Record
	for _, chain := range chains {
		records = append(records, chain.Records...)
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].When < records[j].When })
	return records
}
