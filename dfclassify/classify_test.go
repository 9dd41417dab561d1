package dfclassify

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfunit"
)

// describe formats a classification like the first columns of
// testdata/statements.txt.
func describe(s *Statement) string {
	class, idempotent, setting, tables := "read", "no", "-", "-"
	if s.Class == dfunit.ClassWrite {
		class = "write"
	}
	if s.Idempotent {
		idempotent = "yes"
	}
	if found, ok := s.Setting(); ok {
		setting = strings.ReplaceAll(fmt.Sprintf("%s:%s=%s", found.Verb, found.Name, found.Value), " ", "_")
	}
	if len(s.Tables) > 0 {
		tables = strings.Join(s.Tables, ",")
	}
	return fmt.Sprintf("%s %s %s %s %s %s", class, s.Control, s.Effects, idempotent, setting, tables)
}

func readCases(t testing.TB) [][2]string {
	file, err := os.Open("testdata/statements.txt")
	require.NoError(t, err)
	defer file.Close()
	var cases [][2]string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if line := scanner.Text(); !strings.HasPrefix(line, "#") {
			want, text, found := strings.Cut(line, " | ")
			require.True(t, found, line)
			cases = append(cases, [2]string{want, text})
		}
	}
	require.NoError(t, scanner.Err())
	return cases
}

// TestScript guards against classifying a write as a read, which would be sent to a
// replica, and against missing a change of session state.
func TestScript(t *testing.T) {
	cases := readCases(t)
	require.GreaterOrEqual(t, len(cases), 80)
	for _, c := range cases {
		assert.Equal(t, c[0], describe(Parse(c[1])), c[1])
	}
}

// TestLongTextIsAWrite guards against parsing texts of unbounded length, and
// against a crash on deeply nested expressions.
func TestLongTextIsAWrite(t *testing.T) {
	require.Equal(t, dfunit.ClassWrite, Parse("SELECT '"+strings.Repeat("x", MaxTextBytes)+"'").Class)
	deep := Parse("SELECT " + strings.Repeat("(", 20000) + "1" + strings.Repeat(")", 20000))
	require.NotNil(t, deep)
}

// TestFingerprint guards against fingerprints that differ between statements that
// differ only in constants.
func TestFingerprint(t *testing.T) {
	one := Parse("SELECT * FROM items WHERE id = 5")
	require.NotZero(t, one.Fingerprint)
	require.Equal(t, one.Fingerprint, Parse("select *  from items where id=$1").Fingerprint)
	require.NotEqual(t, one.Fingerprint, Parse("SELECT * FROM orders WHERE id = 5").Fingerprint)
}

// TestCacheIsBounded guards against unbounded growth of the cache, and against
// returning the classification of another text.
func TestCacheIsBounded(t *testing.T) {
	c := New(64)
	for i := range 1000 {
		text := fmt.Sprintf("SELECT * FROM t%d", i)
		require.Equal(t, []string{fmt.Sprintf("t%d", i)}, c.Classify(text).Tables)
	}
	count, bytes := 0, 0
	for i := range c.shards {
		count += len(c.shards[i].index)
		for text := range c.shards[i].index {
			bytes += len(text)
		}
	}
	require.LessOrEqual(t, count, 64)
	require.Positive(t, bytes)
	s := &shard{index: map[string]int{}, entries: make([]entry, 10), maxBytes: 100}
	for i := range 50 {
		s.insert(strings.Repeat("x", 30)+fmt.Sprint(i), &Statement{})
		require.LessOrEqual(t, s.bytes, s.maxBytes)
	}
}

// TestHitDoesNotAllocate guards against allocations for every statement.
func TestHitDoesNotAllocate(t *testing.T) {
	c := New(0)
	text := "SELECT * FROM orders WHERE id = $1"
	c.Classify(text)
	require.Zero(t, testing.AllocsPerRun(100, func() { c.Classify(text) }))
}

// TestConcurrentUse guards against data races between cache hits and evictions.
func TestConcurrentUse(t *testing.T) {
	c := New(32)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 300 {
				name := fmt.Sprintf("t%d", (i*7+worker)%60)
				if got := c.Classify("TABLE " + name).Tables; len(got) != 1 || got[0] != name {
					t.Errorf("%s: %v", name, got)
				}
			}
		})
	}
	group.Wait()
}

func BenchmarkHit(b *testing.B) {
	c := New(0)
	text := "SELECT o.id, i.name FROM orders o JOIN items i ON i.o = o.id WHERE o.id = $1"
	c.Classify(text)
	b.ReportAllocs()
	for b.Loop() {
		c.Classify(text)
	}
}

func BenchmarkMiss(b *testing.B) {
	text := "SELECT o.id, i.name FROM orders o JOIN items i ON i.o = o.id WHERE o.id = $1"
	b.ReportAllocs()
	for b.Loop() {
		Parse(text)
	}
}
