// Package dfconfig implements the configuration of services: the parser of service
// files, the immutable snapshots that hosts serve from, the differences between
// versions, and the adoption of newer versions.
package dfconfig

import (
	"dragonflygrade/dfbudget"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// Service is a service as declared by its file. It is immutable.
type Service struct {
	// Name is unique within the system and has no slash.
	Name  string
	Owner string
	// Databases is not empty. Names are unique within the service.
	Databases []Database
	// Callers is not empty. Users are unique within the service.
	Callers []Caller
	Reads   []ReadRule
	// SessionMaxAge is the maximum data age of reads without a rule. It is positive.
	SessionMaxAge dfclock.Millis
	// NoRepeat matches requests that must run at most once.
	NoRepeat   []Pattern
	Deadlines  Deadlines
	Priorities Priorities
}

// Database is a database group of a service.
type Database struct {
	Name string
	// Slots is the number of hosts that may hold connections at the same time. It
	// is at least 1.
	Slots int
	// ConnectionLimit applies to each upstream. It covers at least one connection
	// per slot and the reserve.
	ConnectionLimit int
	// Upstreams is not empty. IDs and addresses are unique.
	Upstreams []Upstream
}

// Share returns the number of connections that one slot may hold to each upstream,
// or 0 if the limit is too low for the number of slots.
func (d Database) Share() int {
	budget, err := dfbudget.New(d.ConnectionLimit, d.Slots)
	if err != nil {
		return 0
	}
	return budget.Share()
}

// Upstream is a database server.
type Upstream struct {
	ID         dfgroup.UpstreamID
	DataCentre string
	// Address is "ip:port".
	Address string
}

// Caller is a user that may use the service.
type Caller struct {
	User string
	// CredentialRef is "env:NAME" or "file:PATH#KEY", never a secret.
	CredentialRef string
}

// ReadRule defines the freshness and priority of matching reads.
type ReadRule struct {
	Pattern
	// MaxAge is 0 if the rule does not set it. It is always 0 for a strong rule.
	MaxAge dfclock.Millis
	Strong bool
	// Priority is negative if the rule does not set it.
	Priority int
}

// Deadlines are the time limits of requests that carry no deadline.
type Deadlines struct {
	Read  dfclock.Millis
	Write dfclock.Millis
}

// Priorities define the order of admission. Lower values are admitted first.
type Priorities struct {
	Read  int
	Write int
}

// Group returns the group ID of a database of the service.
func (s Service) Group(database string) dfgroup.ID {
	return dfgroup.ID(s.Name + "/" + database)
}

// Database returns a database by name.
func (s Service) Database(name string) (Database, bool) {
	for _, database := range s.Databases {
		if database.Name == name {
			return database, true
		}
	}
	return Database{}, false
}

// Caller returns a caller by user name.
func (s Service) Caller(user string) (Caller, bool) {
	for _, caller := range s.Callers {
		if caller.User == user {
			return caller, true
		}
	}
	return Caller{}, false
}

// Freshness has the freshness requirements and the priority of a read.
type Freshness struct {
	// MaxAge is positive.
	MaxAge   dfclock.Millis
	Strong   bool
	Priority int
}

// Freshness combines the rules that match a read. A strong rule takes precedence over
// any maximum age. Of several maximum ages the shortest applies, and of several
// priorities the lowest value.
func (s Service) Freshness(query Query) Freshness {
	result := Freshness{MaxAge: s.SessionMaxAge, Priority: s.Priorities.Read}
	hasMaxAge, hasPriority := false, false
	for _, rule := range s.Reads {
		if !rule.matches(query, !rule.Strong) {
			continue
		}
		result.Strong = result.Strong || rule.Strong
		if rule.MaxAge > 0 && (!hasMaxAge || rule.MaxAge < result.MaxAge) {
			result.MaxAge, hasMaxAge = rule.MaxAge, true
		}
		if rule.Priority >= 0 && (!hasPriority || rule.Priority < result.Priority) {
			result.Priority, hasPriority = rule.Priority, true
		}
	}
	return result
}

// MayRepeat reports whether a request may run again, which is the case if no NoRepeat
// pattern matches it.
func (s Service) MayRepeat(query Query) bool {
	for _, pattern := range s.NoRepeat {
		if pattern.matches(query, false) {
			return false
		}
	}
	return true
}
