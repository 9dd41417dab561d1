package dfclassify

// Bounds of the cache.
const (
	// shards keeps readers of different texts from sharing a lock.
	shards = 16
	// DefaultCapacity holds the distinct statements of an ordinary service.
	DefaultCapacity = 8192
	// MaxCachedText is the longest text that is cached. Longer ones are mostly
	// bulk inserts with literal values, which do not come again.
	MaxCachedText = 8 * 1024
	// maxCachedBytes bounds the texts in the cache, so that it stays a small
	// part of a host's 128 MB for control.
	maxCachedBytes = 16 * 1024 * 1024
	// MaxText is the longest text that is parsed. Longer text is a write.
	MaxText = 1024 * 1024
)
