package dfclassify

import (
	"hash/maphash"
	"strings"
	"sync"
	"sync/atomic"
)

// Classifier classifies query texts and caches the results. It is safe for
// concurrent use.
type Classifier struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard is one part of the cache. It uses the CLOCK replacement policy: the hand
// skips entries that were used since its last pass.
type shard struct {
	mutex sync.RWMutex
	// index maps each text to its position in entries.
	index   map[string]int
	entries []entry
	hand    int
	// bytes is the total length of the texts; bytes <= maxBytes.
	bytes    int
	maxBytes int
}

type entry struct {
	text      string
	statement *Statement
	used      atomic.Bool
}

// New returns a classifier whose cache holds about capacity texts. Zero selects
// DefaultCapacity.
func New(capacity int) *Classifier {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	c := &Classifier{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].index = map[string]int{}
		c.shards[i].entries = make([]entry, (capacity+shardCount-1)/shardCount)
		c.shards[i].maxBytes = maxCacheBytes / shardCount
	}
	return c
}

// Classify returns the classification of a query text. A cache hit does not
// allocate.
func (c *Classifier) Classify(text string) *Statement {
	if len(text) > MaxCachedTextBytes {
		return Parse(text)
	}
	s := &c.shards[maphash.String(c.seed, text)%shardCount]
	if statement := s.lookup(text); statement != nil {
		return statement
	}
	statement := Parse(text)
	s.insert(strings.Clone(text), statement)
	return statement
}

func (s *shard) lookup(text string) *Statement {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	i, found := s.index[text]
	if !found {
		return nil
	}
	if !s.entries[i].used.Load() {
		s.entries[i].used.Store(true)
	}
	return s.entries[i].statement
}

func (s *shard) insert(text string, statement *Statement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.index[text]; found {
		return
	}
	i := s.nextVictim()
	s.remove(i)
	for s.bytes+len(text) > s.maxBytes {
		s.remove(s.nextVictim())
	}
	s.entries[i].text = text
	s.entries[i].statement = statement
	s.index[text] = i
	s.bytes += len(text)
}

// nextVictim advances the hand past recently used entries and returns the index of
// the first entry that is free or may be evicted.
func (s *shard) nextVictim() int {
	for {
		i := s.hand
		s.hand = (s.hand + 1) % len(s.entries)
		if !s.entries[i].used.Swap(false) {
			return i
		}
	}
}

func (s *shard) remove(i int) {
	if s.entries[i].statement == nil {
		return
	}
	delete(s.index, s.entries[i].text)
	s.bytes -= len(s.entries[i].text)
	s.entries[i].text = ""
	s.entries[i].statement = nil
	s.entries[i].used.Store(false)
}
