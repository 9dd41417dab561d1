package dfoutcome

import (
	"container/list"

	"dragonflygrade/dfclock"
)

const (
	// Retention is how long an answer is kept for a repeat. It covers the
	// retries of a caller; later repeats meet the key in the database.
	Retention = 10 * dfclock.Minute
	// MaxRecords bounds the answers kept; the oldest are dropped first.
	MaxRecords = 4096
	// MaxAnswer is the size in bytes up to which an answer is kept.
	MaxAnswer = 16 * 1024
)

// Key names a request that a caller may repeat.
type Key struct {
	Service string
	Caller  string
	// Text is the idempotency key that the caller chose; it is not empty.
	Text string
}

// record is an answer with its age.
type record struct {
	key    Key
	at     dfclock.Millis
	answer []byte
}

// Records keeps the answers of acknowledged requests that carried a key. It
// lives in memory only: the proof that survives a host is the key's row, which
// was written in the same transaction.
type Records struct {
	// order has the oldest record in front; entries has the same records by key.
	order   *list.List
	entries map[Key]*list.Element
}

// NewRecords returns an empty store.
func NewRecords() *Records {
	return &Records{order: list.New(), entries: map[Key]*list.Element{}}
}

// Keep stores the answer of an acknowledged request. The first answer of a key
// stays; an answer above MaxAnswer is not kept.
func (r *Records) Keep(now dfclock.Millis, key Key, answer []byte) {
	r.expire(now)
	if _, found := r.entries[key]; found || len(answer) > MaxAnswer {
		return
	}
	if r.order.Len() >= MaxRecords {
		r.drop(r.order.Front())
	}
	kept := record{key: key, at: now, answer: append([]byte(nil), answer...)}
	r.entries[key] = r.order.PushBack(kept)
}

// Answer returns the first answer of a key. The caller must not modify it.
func (r *Records) Answer(now dfclock.Millis, key Key) ([]byte, bool) {
	r.expire(now)
	element, found := r.entries[key]
	if !found {
		return nil, false
	}
	return element.Value.(record).answer, true
}

// Len returns the number of answers kept.
func (r *Records) Len() int {
	return r.order.Len()
}

func (r *Records) expire(now dfclock.Millis) {
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		if !now.Reached(front.Value.(record).at.Add(Retention)) {
			return
		}
		r.drop(front)
	}
}

func (r *Records) drop(element *list.Element) {
	delete(r.entries, element.Value.(record).key)
	r.order.Remove(element)
}
