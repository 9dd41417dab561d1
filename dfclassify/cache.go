package dfclassify

import (
	"hash/maphash"
	"strings"
	"sync"
	"sync/atomic"
)

// Classifier classifies texts and remembers the results. It is safe for
// concurrent use.
type Classifier struct {
	seed   maphash.Seed
	shards [shards]shard
}

// shard is one part of the cache with the replacement rule "clock": the hand
// passes over entries that were used since its last visit.
type shard struct {
	mutex sync.RWMutex
	// index has the place of each text in slots.
	index map[string]int
	slots []slot
	hand  int
	// bytes is the sum of the texts' lengths; bytes <= limit.
	bytes int
	limit int
}

type slot struct {
	text      string
	statement *Statement
	used      atomic.Bool
}

// New returns a classifier that remembers about the given number of texts; zero
// chooses the default.
func New(capacity int) *Classifier {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	c := &Classifier{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].index = map[string]int{}
		c.shards[i].slots = make([]slot, (capacity+shards-1)/shards)
		c.shards[i].limit = maxCachedBytes / shards
	}
	return c
}

// Classify returns the classification of a text. A hit does not allocate.
func (c *Classifier) Classify(text string) *Statement {
	if len(text) > MaxCachedText {
		return Parse(text)
	}
	s := &c.shards[maphash.String(c.seed, text)%shards]
	if statement := s.find(text); statement != nil {
		return statement
	}
	statement := Parse(text)
	s.add(strings.Clone(text), statement)
	return statement
}

func (s *shard) find(text string) *Statement {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	at, found := s.index[text]
	if !found {
		return nil
	}
	if !s.slots[at].used.Load() {
		s.slots[at].used.Store(true)
	}
	return s.slots[at].statement
}

func (s *shard) add(text string, statement *Statement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.index[text]; found {
		return
	}
	at := s.advance()
	s.clear(at)
	for s.bytes+len(text) > s.limit {
		s.clear(s.advance())
	}
	s.slots[at].text = text
	s.slots[at].statement = statement
	s.index[text] = at
	s.bytes += len(text)
}

// advance moves the hand to a slot that is free or was not used lately.
func (s *shard) advance() int {
	for {
		at := s.hand
		s.hand = (s.hand + 1) % len(s.slots)
		if !s.slots[at].used.Swap(false) {
			return at
		}
	}
}

func (s *shard) clear(at int) {
	if s.slots[at].statement == nil {
		return
	}
	delete(s.index, s.slots[at].text)
	s.bytes -= len(s.slots[at].text)
	s.slots[at].text = ""
	s.slots[at].statement = nil
	s.slots[at].used.Store(false)
}
