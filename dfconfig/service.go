// Package dfconfig has the configuration of services: the parser of service
// files, the immutable snapshot that hosts serve from, differences between
// versions, and the adoption of newer versions.
package dfconfig

import (
	"dragonflygrade/dfbudget"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
)

// Service is one service as its file declares it. It is never modified.
type Service struct {
	// Name is unique within the system and has no slash.
	Name  string
	Owner string
	// Databases is not empty; the names are unique within the service.
	Databases []Database
	// Callers is not empty; the users are unique within the service.
	Callers []Caller
	Reads   []ReadRule
	// SessionMaxAge bounds the age of reads without a rule; it is positive.
	SessionMaxAge dfclock.Millis
	// NoRepeat has patterns of requests that run at most once.
	NoRepeat   []Pattern
	Deadlines  Deadlines
	Priorities Priorities
}

// Database is one database group of a service.
type Database struct {
	Name string
	// Slots is at least 1.
	Slots int
	// ConnectionLimit applies to each upstream; it admits at least one
	// connection per slot beside the reserve.
	ConnectionLimit int
	// Upstreams is not empty; identities and addresses are unique.
	Upstreams []Upstream
}

// Share returns the connections that one slot may hold to each upstream, or 0
// if the limit does not admit the slots.
func (d Database) Share() int {
	budget, err := dfbudget.New(d.ConnectionLimit, d.Slots)
	if err != nil {
		return 0
	}
	return budget.Share()
}

// Upstream is one database server.
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

// ReadRule states the freshness and priority of the reads that it matches.
type ReadRule struct {
	Pattern
	// MaxAge is zero if the rule states none; it is zero on a strong rule.
	MaxAge dfclock.Millis
	Strong bool
	// Priority is negative if the rule states none.
	Priority int
}

// Deadlines bound requests that carry no deadline of their own.
type Deadlines struct {
	Read  dfclock.Millis
	Write dfclock.Millis
}

// Priorities order admission; lower values go first.
type Priorities struct {
	Read  int
	Write int
}

// Group returns the group identity of a database of the service.
func (s Service) Group(database string) dfgroup.ID {
	return dfgroup.ID(s.Name + "/" + database)
}

// Database returns the database with the name.
func (s Service) Database(name string) (Database, bool) {
	for _, database := range s.Databases {
		if database.Name == name {
			return database, true
		}
	}
	return Database{}, false
}

// Caller returns the caller with the user name.
func (s Service) Caller(user string) (Caller, bool) {
	for _, caller := range s.Callers {
		if caller.User == user {
			return caller, true
		}
	}
	return Caller{}, false
}

// Freshness is what applies to one read.
type Freshness struct {
	// MaxAge is positive.
	MaxAge   dfclock.Millis
	Strong   bool
	Priority int
}

// Freshness returns what the rules state for a read. A strong rule wins over
// any age, and of several ages the shortest holds. The lowest priority value
// of the matching rules holds.
func (s Service) Freshness(query Query) Freshness {
	result := Freshness{MaxAge: s.SessionMaxAge, Priority: s.Priorities.Read}
	aged, ordered := false, false
	for _, rule := range s.Reads {
		if !rule.matches(query, !rule.Strong) {
			continue
		}
		result.Strong = result.Strong || rule.Strong
		if rule.MaxAge > 0 && (!aged || rule.MaxAge < result.MaxAge) {
			result.MaxAge, aged = rule.MaxAge, true
		}
		if rule.Priority >= 0 && (!ordered || rule.Priority < result.Priority) {
			result.Priority, ordered = rule.Priority, true
		}
	}
	return result
}

// Repeats reports whether the request may be repeated, that is whether no
// NoRepeat pattern matches it.
func (s Service) Repeats(query Query) bool {
	for _, pattern := range s.NoRepeat {
		if pattern.matches(query, false) {
			return false
		}
	}
	return true
}
