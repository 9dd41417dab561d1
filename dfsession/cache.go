package dfsession

import "dragonflygrade/dfposition"

const noEntry = int32(-1)

// cacheEntry is the last known position of one caller in the list of entries,
// which is ordered by last update.
type cacheEntry struct {
	caller       Caller
	position     dfposition.Position
	older, newer int32
}

// positionCache holds the positions of the callers that wrote most recently.
type positionCache struct {
	// limit is at least 1; len(entries) <= limit.
	limit    int
	entries  []cacheEntry
	byCaller map[Caller]int32
	oldest   int32
	newest   int32
	// evicted is at or above every evicted position.
	evicted dfposition.Position
}

func newPositionCache(limit int) positionCache {
	return positionCache{limit: max(1, limit), byCaller: map[Caller]int32{}, oldest: noEntry, newest: noEntry}
}

// advance records a position of a caller. The known position never decreases.
func (c *positionCache) advance(caller Caller, position dfposition.Position) {
	i, found := c.byCaller[caller]
	if found {
		if c.entries[i].position.Less(position) {
			c.entries[i].position = position
		}
		c.unlink(i)
		c.link(i)
		return
	}
	if len(c.entries) < c.limit {
		i = int32(len(c.entries))
		c.entries = append(c.entries, cacheEntry{})
	} else {
		i = c.evictOldest()
	}
	// The caller may have been evicted with a higher position, and this may be a
	// late notification of an older write.
	position = position.Max(c.evicted)
	c.entries[i] = cacheEntry{caller: caller, position: position, older: noEntry, newer: noEntry}
	c.byCaller[caller] = i
	c.link(i)
}

// evictOldest removes the least recently updated caller and returns its index.
func (c *positionCache) evictOldest() int32 {
	i := c.oldest
	oldest := c.entries[i]
	c.evicted = c.evicted.Max(oldest.position)
	c.unlink(i)
	delete(c.byCaller, oldest.caller)
	return i
}

// lookup returns the caller's position, or the highest evicted one if the caller
// is not in the cache.
func (c *positionCache) lookup(caller Caller) dfposition.Position {
	if i, found := c.byCaller[caller]; found {
		return c.entries[i].position
	}
	return c.evicted
}

func (c *positionCache) link(i int32) {
	c.entries[i].older, c.entries[i].newer = c.newest, noEntry
	if c.newest != noEntry {
		c.entries[c.newest].newer = i
	} else {
		c.oldest = i
	}
	c.newest = i
}

func (c *positionCache) unlink(i int32) {
	entry := c.entries[i]
	if entry.older != noEntry {
		c.entries[entry.older].newer = entry.newer
	} else {
		c.oldest = entry.newer
	}
	if entry.newer != noEntry {
		c.entries[entry.newer].older = entry.older
	} else {
		c.newest = entry.older
	}
}
