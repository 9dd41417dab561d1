// Package dfcatalog holds the desired state: which database names exist, which
// service each is routed to, and how stale its reads may be. A version is only
// ever replaced by a higher one.
package dfcatalog

import (
	"crypto/sha256"

	"dragonflygrade/dfclock"
)

// Freshness is the consistency guarantee of reads.
type Freshness interface{ freshness() }

// Strong reads see every commit that was acknowledged before they arrived.
type Strong struct{}

// Bounded reads have bounded staleness: they may miss only commits that are no
// older than MaxAge.
type Bounded struct{ MaxAge dfclock.Millis }

// ReadYourWrites reads are like Bounded ones and also see every commit of their
// own session.
type ReadYourWrites struct{ MaxAge dfclock.Millis }

func (Strong) freshness()         {}
func (Bounded) freshness()        {}
func (ReadYourWrites) freshness() {}

// MaxAge returns the maximum staleness of reads that may run at replicas. ok is false for
// reads that only the leader can serve.
func MaxAge(freshness Freshness) (maxAge dfclock.Millis, ok bool) {
	switch f := freshness.(type) {
	case Bounded:
		return f.MaxAge, true
	case ReadYourWrites:
		return f.MaxAge, true
	}
	return 0, false
}

// Route is the configuration of one database name. It is immutable.
type Route struct {
	// Database is the name that callers connect to. It is unique in a catalog.
	Database string
	// Service is the name of the group of upstreams.
	Service   string
	Freshness Freshness
	// Timeout bounds the execution of one statement. It is positive.
	Timeout dfclock.Millis
	// TargetLatency is the latency that callers expect of a whole operation, or
	// zero.
	TargetLatency dfclock.Millis
	// Priority orders admission; lower values are admitted first.
	Priority int
	// AllowAnonymous is true if callers without a known key are accepted.
	AllowAnonymous bool
}

// Service is one group of upstreams.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections of all hosts to one upstream.
	ConnectionLimit int
	// SyncReplicas is the number of replicas that must have a commit before it is
	// acknowledged.
	SyncReplicas int
}

// KeyHash is the SHA-256 hash of an API key. Keys themselves are not kept, so that
// they cannot appear in logs or messages, and a lookup takes the same time for every
// key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key that a caller presented.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// Organisation is a customer whose callers share a limit. It is immutable.
type Organisation struct {
	// Name is what upstreams are told. It is unique in a catalog.
	Name string
	// Keys are the keys that identify callers of the organisation.
	Keys []KeyHash
	// Rate is the number of operations per second that the organisation may run on
	// all hosts together, and Burst the number that it may run at once after a pause.
	// An operation is a transaction, or a statement outside one. If Rate is zero, the
	// organisation has no limit.
	Rate  float64
	Burst float64
	// Priority orders organisations; lower values are more urgent.
	Priority int
}

// Catalog is one version of the desired state. It is immutable. The zero value is
// version 0 without routes.
type Catalog struct {
	version  uint64
	routes   map[string]Route
	services map[string]Service
	// organisations is empty where callers have no keys. owners has the name of the
	// organisation that holds each key.
	organisations map[string]Organisation
	owners        map[KeyHash]string
	// transactionIdleTimeout bounds how long a transaction may be idle. Zero means
	// no bound.
	transactionIdleTimeout dfclock.Millis
}

// New returns a catalog.
func New(version uint64, routes []Route, services []Service, transactionIdleTimeout dfclock.Millis) Catalog {
	catalog := Catalog{
		version:                version,
		routes:                 make(map[string]Route, len(routes)),
		services:               make(map[string]Service, len(services)),
		transactionIdleTimeout: transactionIdleTimeout,
	}
	for _, route := range routes {
		catalog.routes[route.Database] = route
	}
	for _, service := range services {
		catalog.services[service.Name] = service
	}
	return catalog
}

// Version returns the version, or 0 before any was adopted.
func (c Catalog) Version() uint64 {
	return c.version
}

// Route returns the route of a database name.
func (c Catalog) Route(database string) (Route, bool) {
	route, ok := c.routes[database]
	return route, ok
}

// Service returns a service by its name.
func (c Catalog) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// Services returns the names of all services in no particular order.
func (c Catalog) Services() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	return names
}

// RouteCount returns the number of routes.
func (c Catalog) RouteCount() int {
	return len(c.routes)
}

// TransactionIdleTimeout returns how long a transaction may be idle, or zero if
// there is no bound.
func (c Catalog) TransactionIdleTimeout() dfclock.Millis {
	return c.transactionIdleTimeout
}

// Supersedes reports whether the catalog may replace the current one.
func (c Catalog) Supersedes(current Catalog) bool {
	return c.version > current.version
}

// WithOrganisations returns the catalog with organisations, which replace those that
// it has. If two organisations hold the same key, it identifies the first one.
func (c Catalog) WithOrganisations(organisations []Organisation) Catalog {
	c.organisations = make(map[string]Organisation, len(organisations))
	c.owners = map[KeyHash]string{}
	for _, organisation := range organisations {
		c.organisations[organisation.Name] = organisation
		for _, key := range organisation.Keys {
			if _, held := c.owners[key]; !held {
				c.owners[key] = organisation.Name
			}
		}
	}
	return c
}

// HasSyncReplicas reports whether replicas confirm the commits of a service.
func (c Catalog) HasSyncReplicas() bool {
	for _, service := range c.services {
		if service.SyncReplicas > 0 {
			return true
		}
	}
	return false
}

// HasOrganisations reports whether callers are identified by keys.
func (c Catalog) HasOrganisations() bool {
	return len(c.organisations) > 0
}

// Organisation returns an organisation by its name.
func (c Catalog) Organisation(name string) (Organisation, bool) {
	organisation, ok := c.organisations[name]
	return organisation, ok
}

// OrganisationOf returns the organisation that holds a key.
func (c Catalog) OrganisationOf(key KeyHash) (Organisation, bool) {
	owner, held := c.owners[key]
	if !held {
		return Organisation{}, false
	}
	return c.Organisation(owner)
}

// Organisations returns all organisations in no particular order.
func (c Catalog) Organisations() []Organisation {
	organisations := make([]Organisation, 0, len(c.organisations))
	for _, organisation := range c.organisations {
		organisations = append(organisations, organisation)
	}
	return organisations
}
