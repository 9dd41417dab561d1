// Package dfcatalog has the desired state that hosts serve from: which database
// names exist, which upstream service stands behind each, and how stale its
// reads may be. Versions are adopted upwards only.
package dfcatalog

import "dragonflygrade/dfclock"

// Freshness tells what a read must contain.
type Freshness interface{ freshness() }

// Strong reads see every commit acknowledged before they arrived.
type Strong struct{}

// Bounded reads may miss commits that are not older than MaxAge.
type Bounded struct{ MaxAge dfclock.Millis }

// OwnWrites reads are Bounded and also see every commit of their own session.
type OwnWrites struct{ MaxAge dfclock.Millis }

func (Strong) freshness()    {}
func (Bounded) freshness()   {}
func (OwnWrites) freshness() {}

// Route tells how one database name is served. It is never modified.
type Route struct {
	// Database is the name that callers connect to; it is unique in a catalog.
	Database string
	// Service names the group of upstreams.
	Service   string
	Freshness Freshness
	// Timeout bounds one statement; it is positive.
	Timeout dfclock.Millis
	// Aim is the latency that callers expect of a whole operation, or zero.
	Aim dfclock.Millis
	// Priority orders admission; lower values go first.
	Priority int
}

// Service is one group of upstreams.
type Service struct {
	Name string
	// ConnectionLimit bounds the connections of all hosts to one upstream.
	ConnectionLimit int
	// SyncReplicas is how many replicas have a commit before it is acknowledged.
	SyncReplicas int
}

// Catalog is one version of the desired state. The zero value is version 0
// without routes.
type Catalog struct {
	version  uint64
	routes   map[string]Route
	services map[string]Service
	// transactionIdle is how long a transaction may rest, or zero for no bound.
	transactionIdle dfclock.Millis
}

// New returns a catalog of a version.
func New(version uint64, routes []Route, services []Service, transactionIdle dfclock.Millis) Catalog {
	catalog := Catalog{
		version:         version,
		routes:          make(map[string]Route, len(routes)),
		services:        make(map[string]Service, len(services)),
		transactionIdle: transactionIdle,
	}
	for _, route := range routes {
		catalog.routes[route.Database] = route
	}
	for _, service := range services {
		catalog.services[service.Name] = service
	}
	return catalog
}

// Version returns the version, 0 before any was adopted.
func (c Catalog) Version() uint64 {
	return c.version
}

// Route returns the route of a database name.
func (c Catalog) Route(database string) (Route, bool) {
	route, ok := c.routes[database]
	return route, ok
}

// Service returns the service with the name.
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

// Routes counts the routes.
func (c Catalog) Routes() int {
	return len(c.routes)
}

// TransactionIdle returns how long a transaction may rest, or zero.
func (c Catalog) TransactionIdle() dfclock.Millis {
	return c.transactionIdle
}

// Supersedes reports whether the catalog may replace another one in force.
func (c Catalog) Supersedes(inForce Catalog) bool {
	return c.version > inForce.version
}
