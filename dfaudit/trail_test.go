package dfaudit

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfplatform"
)

// memory is an object store that can be down and can lose answers.
type memory struct {
	objects map[string][]byte
	down    bool
	lost    bool
	era     uint64
}

func (m *memory) Era() uint64 { return m.era }

func (m *memory) Put(_ context.Context, name string, data []byte) error {
	if m.down {
		return eris.Wrap(dfplatform.ErrUnavailable, "put")
	}
	if known, ok := m.objects[name]; ok && string(known) != string(data) {
		return eris.Wrap(dfplatform.ErrConflict, "put")
	}
	m.objects[name] = data
	if m.lost {
		return eris.Wrap(dfplatform.ErrUnavailable, "put")
	}
	return nil
}

func (m *memory) Fetch(_ context.Context, name string) ([]byte, error) {
	return m.objects[name], nil
}

func (m *memory) Names(_ context.Context, prefix string) ([]string, error) {
	var names []string
	for name := range m.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// stored returns a writer whose store has the given number of records.
func stored(t *testing.T, records int) (*memory, *Writer) {
	t.Helper()
	store := &memory{objects: make(map[string][]byte)}
	now := dfclock.Millis(0)
	writer := NewWriter(NewTrail("h1", "i1"), store,
		func() dfclock.Millis { now += 10; return now },
		func(context.Context, dfclock.Millis) error { return nil })
	for i := range records {
		require.NoError(t, writer.Add(Entry{Who: "ada", Kind: KindPublication, Service: "rod", To: fmt.Sprint(i), Outcome: "accepted"}))
		if i%3 == 2 {
			require.NoError(t, writer.Flush(context.Background()))
		}
	}
	require.NoError(t, writer.Flush(context.Background()))
	return store, writer
}

func read(t *testing.T, store *memory) Chain {
	t.Helper()
	chains, err := Read(context.Background(), store, "h1")
	require.NoError(t, err)
	require.Len(t, chains, 1)
	return chains[0]
}

// TestVerify guards against records that are removed or changed unnoticed.
// Each case puts one fault into the store.
func TestVerify(t *testing.T) {
	third := SegmentName("h1", "i1", 3)
	cases := []struct {
		name  string
		fault func(objects map[string][]byte)
		want  string
		kept  int
	}{
		{"none", func(map[string][]byte) {}, "", 12},
		{"segment removed", func(o map[string][]byte) { delete(o, third) }, "segment 3 of h1/i1 is missing", 6},
		{"first segment removed", func(o map[string][]byte) { delete(o, SegmentName("h1", "i1", 1)) }, "record 1 and later", 0},
		{"record removed", func(o map[string][]byte) {
			lines := strings.SplitAfter(string(o[third]), "\n")
			o[third] = []byte(lines[0] + lines[2])
		}, "record 8 of h1/i1 is missing", 7},
		{"record altered", func(o map[string][]byte) {
			o[third] = []byte(strings.Replace(string(o[third]), `"To":"7"`, `"To":"9"`, 1))
		}, "record 8 of h1/i1 was altered", 7},
		{"record altered with its own hash renewed", func(o map[string][]byte) {
			records, _ := Decode(o[third])
			records[1].To = "9"
			records[1], _ = records[1].sealed(records[1].Previous)
			o[third], _ = encode(records)
		}, "record 9 of h1/i1 was altered", 8},
		{"segment cut", func(o map[string][]byte) { o[third] = o[third][:len(o[third])-9] }, "record 9 of h1/i1 was altered", 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store, _ := stored(t, 12)
			c.fault(store.objects)
			chain := read(t, store)
			require.Len(t, chain.Records, c.kept)
			if c.want == "" {
				require.NoError(t, chain.Fault)
				return
			}
			require.ErrorContains(t, chain.Fault, c.want)
		})
	}
}

// TestOutage guards against records lost without a mark while the store is
// down, and against a changed segment after a lost answer.
func TestOutage(t *testing.T) {
	store, writer := stored(t, 3)
	store.lost = true
	require.NoError(t, writer.Add(Entry{Who: "ada", Kind: KindSlot, Outcome: "lost answer"}))
	require.Error(t, writer.Flush(context.Background()))
	store.lost, store.down = false, true
	for range maxBuffered + 100 {
		require.NoError(t, writer.Add(Entry{Who: "ada", Kind: KindSlot, Outcome: "taken \xff"}))
	}
	require.Error(t, writer.Flush(context.Background()))
	store.down = false
	require.NoError(t, writer.Close(context.Background(), "drained"))
	chain := read(t, store)
	require.NoError(t, chain.Fault)
	require.True(t, chain.Closed)
	gaps := Filter{Kind: KindGap}.Select(chain.Records)
	require.Len(t, gaps, 1)
	require.Equal(t, uint64(3+1+maxBuffered+100), uint64(len(chain.Records))-2+gaps[0].Dropped)
}

// TestFlushes guards against segments that are counted twice when a flush runs
// beside the writer.
func TestFlushes(t *testing.T) {
	store, writer := stored(t, 3)
	var flushes sync.WaitGroup
	for range 8 {
		flushes.Go(func() {
			assert.NoError(t, writer.Add(Entry{Who: "ada", Kind: KindSlot, Outcome: "taken"}))
			assert.NoError(t, writer.Flush(context.Background()))
		})
	}
	flushes.Wait()
	chain := read(t, store)
	require.NoError(t, chain.Fault)
	require.Len(t, chain.Records, 11)
}

// TestFilter guards against records that a search misses.
func TestFilter(t *testing.T) {
	record := Record{When: 50, Entry: Entry{Who: "ada", Kind: KindSlot, Service: "rod"}}
	require.True(t, Filter{}.Matches(record))
	require.True(t, Filter{Service: "rod", Who: "ada", Kind: KindSlot, Since: 50, Until: 51}.Matches(record))
	for _, filter := range []Filter{{Service: "cork"}, {Who: "bo"}, {Kind: KindHost}, {Since: 51}, {Until: 50}} {
		require.False(t, filter.Matches(record))
	}
}

// Guards against a hole in the trail after the store came back from an older copy, and
// against segments that are stored again and again.
func TestLostSegmentsAreStoredAgain(t *testing.T) {
	store := &memory{objects: make(map[string][]byte), era: 1}
	now, puts := dfclock.Millis(0), 0
	writer := NewWriter(NewTrail("h1", "i1"), store, func() dfclock.Millis { return now }, nil)
	add := func() {
		now += dfclock.Second
		require.NoError(t, writer.Add(Entry{Who: "ada", Kind: KindPublication, Outcome: "accepted"}))
		require.NoError(t, writer.Flush(context.Background()))
	}
	for range 5 {
		add()
	}
	for sequence := uint64(3); sequence <= 5; sequence++ {
		delete(store.objects, SegmentName("h1", "i1", sequence))
	}
	store.era = 2
	add()
	require.NoError(t, read(t, store).Fault)
	require.Len(t, read(t, store).Records, 6)
	for {
		stored, err := writer.write(context.Background(), false)
		require.NoError(t, err)
		if !stored {
			break
		}
		puts++
	}
	require.Zero(t, puts)
}
