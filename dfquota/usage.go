package dfquota

import "dragonflygrade/dfclock"

// usageBuckets is the number of parts of a window that are counted apart.
const usageBuckets = 10

// usageBucket counts the operations of one part of the time.
type usageBucket struct {
	// part is the number of the part since the start of the clock.
	part          dfclock.Millis
	used, refused int
}

// Usage counts the operations of an organisation at one host in the window before now,
// rounded up to a tenth of the window. It is not safe for concurrent use.
type Usage struct {
	// span is the length of a part of the window. It is positive.
	span    dfclock.Millis
	buckets [usageBuckets + 1]usageBucket
}

// NewUsage returns a count of zero.
func NewUsage(window dfclock.Millis) *Usage {
	return &Usage{span: max(1, window/usageBuckets)}
}

// Record counts an operation that was admitted or refused.
func (u *Usage) Record(now dfclock.Millis, admitted bool) {
	part := now / u.span
	b := &u.buckets[part%(usageBuckets+1)]
	if b.part != part {
		*b = usageBucket{part: part}
	}
	if admitted {
		b.used++
		return
	}
	b.refused++
}

// Within returns how many operations were admitted and refused in the window.
func (u *Usage) Within(now dfclock.Millis) (used, refused int) {
	for _, b := range u.buckets {
		if now/u.span-b.part <= usageBuckets {
			used += b.used
			refused += b.refused
		}
	}
	return used, refused
}

// OwnerOf returns the ID of the host that this host asks for tokens of an organisation.
// ok is false if it reaches none.
func (h *Host) OwnerOf(organisation string) (id string, ok bool) {
	host, ok := h.target(organisation)
	return host.ID, ok
}
