package dfclassify

// Limits of the cache and of the parser.
const (
	// shardCount is the number of shards, which reduce contention on locks.
	shardCount = 16
	// DefaultCapacity is enough for the distinct query texts of a typical service.
	DefaultCapacity = 8192
	// MaxCachedTextBytes is the maximum length of a cached text. Longer texts are
	// mostly bulk inserts with literal values, which are not repeated.
	MaxCachedTextBytes = 8 * 1024
	// maxCacheBytes limits the total length of the cached texts. It keeps the cache a
	// small part of the 128 MB that a host may use for control.
	maxCacheBytes = 16 * 1024 * 1024
	// MaxTextBytes is the maximum length of a text that is parsed. Longer texts are
	// classified as writes.
	MaxTextBytes = 1024 * 1024
)
