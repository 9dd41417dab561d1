package dfsession

import "github.com/cespare/xxhash/v2"

// Caller is the hash of a caller name within a service. Names with the same hash
// share positions, which makes their reads fresher than needed, never staler.
type Caller uint64

// CallerOf returns the hash of a service and caller name.
func CallerOf(service, name string) Caller {
	const prime = 0x9e3779b97f4a7c15
	return Caller(xxhash.Sum64String(service)*prime ^ xxhash.Sum64String(name))
}
