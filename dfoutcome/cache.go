package dfoutcome

import (
	"container/list"

	"dragonflygrade/dfclock"
)

const (
	// Retention is how long an answer is kept. It covers the retries of a caller;
	// later repeats find the key's row in the database.
	Retention = 10 * dfclock.Minute
	// MaxCachedAnswers bounds the cached answers; the oldest are evicted first.
	MaxCachedAnswers = 4096
	// MaxAnswerBytes bounds the size of a cached answer.
	MaxAnswerBytes = 16 * 1024
)

// Key identifies a request that a caller may repeat.
type Key struct {
	Service string
	Caller  string
	// Text is the idempotency key chosen by the caller. It is not empty.
	Text string
}

// cachedAnswer is an answer and the instant when it was stored.
type cachedAnswer struct {
	key      Key
	storedAt dfclock.Millis
	answer   []byte
}

// AnswerCache holds the answers of acknowledged requests that carried an idempotency
// key. It is in memory only: the durable record is the key's row in the database, which
// was written in the same transaction.
type AnswerCache struct {
	// order has the cached answers from the oldest to the newest. entries has the
	// same elements by key.
	order   *list.List
	entries map[Key]*list.Element
}

// NewAnswerCache returns an empty cache.
func NewAnswerCache() *AnswerCache {
	return &AnswerCache{order: list.New(), entries: map[Key]*list.Element{}}
}

// Put stores a copy of the answer of an acknowledged request unless the key already
// has an answer or the answer exceeds MaxAnswerBytes.
func (c *AnswerCache) Put(now dfclock.Millis, key Key, answer []byte) {
	c.expire(now)
	if _, found := c.entries[key]; found || len(answer) > MaxAnswerBytes {
		return
	}
	if c.order.Len() >= MaxCachedAnswers {
		c.evict(c.order.Front())
	}
	cached := cachedAnswer{key: key, storedAt: now, answer: append([]byte(nil), answer...)}
	c.entries[key] = c.order.PushBack(cached)
}

// Get returns the answer of a key. The caller must not modify it.
func (c *AnswerCache) Get(now dfclock.Millis, key Key) ([]byte, bool) {
	c.expire(now)
	element, found := c.entries[key]
	if !found {
		return nil, false
	}
	return element.Value.(cachedAnswer).answer, true
}

// Len returns the number of cached answers.
func (c *AnswerCache) Len() int {
	return c.order.Len()
}

func (c *AnswerCache) expire(now dfclock.Millis) {
	for front := c.order.Front(); front != nil; front = c.order.Front() {
		if !now.Reached(front.Value.(cachedAnswer).storedAt.Add(Retention)) {
			return
		}
		c.evict(front)
	}
}

func (c *AnswerCache) evict(element *list.Element) {
	delete(c.entries, element.Value.(cachedAnswer).key)
	c.order.Remove(element)
}
