package dfverify

import (
	"fmt"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
)

// Place is where an entry or a value stands in a file.
type Place struct {
	// Line starts at 1.
	Line int
	// Key is the path of the key in the terms of the file.
	Key string
}

// List is a list of a draft.
type List int

// The lists of a draft.
const (
	Routes List = iota
	Services
	Organisations
)

// Field is a value of an entry of a draft.
type Field int

// The fields that findings are about.
const (
	// Entry stands for the entry as a whole.
	Entry Field = iota
	Name
	ServiceName
	Kind
	MaxAge
	Timeout
	ConnectionLimit
	Keys
	Rate
	Burst
)

// Route is a route of a draft.
type Route struct {
	dfcatalog.Route
	// KindKnown is false if the kind of the route is missing or unknown. Its reads are
	// strong then.
	KindKnown bool
}

// Organisation is an organisation of a draft.
type Organisation struct {
	dfcatalog.Organisation
	// KeyIndexes has the place of each of the organisation's keys in the file.
	KeyIndexes []int
	// UnusableKeys has the places of keys that no caller can send.
	UnusableKeys []int
	// NameUsable is false if upstreams cannot be told the name.
	NameUsable bool
}

// Draft is a desired state as it stands in a file, including entries that a catalog
// would drop. It is immutable.
type Draft struct {
	File                   string
	Version                uint64
	Routes                 []Route
	Services               []dfcatalog.Service
	Organisations          []Organisation
	TransactionIdleTimeout dfclock.Millis
	// Refusal is why a host refuses the document, or empty. It contains no keys.
	Refusal string
	// Locate returns where an entry or a value stands. A value that is missing stands
	// where its entry does.
	Locate func(list List, index int, field Field) Place
}

// Bounds are what the files do not state. Zero values are not checked.
type Bounds struct {
	// ReplicationLag is the usual lag of replicas.
	ReplicationLag dfclock.Millis
	// CallerTime is the time after which callers give up.
	CallerTime dfclock.Millis
}

// draftCheck collects the findings about a draft.
type draftCheck struct {
	draft    Draft
	bounds   Bounds
	findings []Finding
}

// CheckDraft returns the findings about a draft.
func CheckDraft(draft Draft, bounds Bounds) []Finding {
	c := &draftCheck{draft: draft, bounds: bounds}
	if draft.Version == 0 {
		c.reportAt(Error, Place{1, ""}, "the version is missing or 0", "write a version above the one in force")
	}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkKeys()
	if draft.Refusal != "" && NewReport(1).WithFindings(c.findings).Errors == 0 {
		c.reportAt(Error, Place{1, ""}, draft.Refusal, "hosts refuse the document")
	}
	return c.findings
}

// CheckSuccession returns the findings about a draft that is to replace another one.
func CheckSuccession(from, to Draft) []Finding {
	c := &draftCheck{draft: to}
	if to.Version > 0 && to.Version <= from.Version && len(Difference(from, to)) > 0 {
		c.reportAt(Error, Place{1, ""}, fmt.Sprintf("version %d does not replace version %d, which is in force", to.Version, from.Version),
			fmt.Sprintf("write version %d", from.Version+1))
	}
	return c.findings
}

func (c *draftCheck) reportAt(severity Severity, place Place, message, suggestion string) {
	c.findings = append(c.findings, Finding{severity, dfconfig.Diagnostic{
		File: c.draft.File, Line: place.Line, Key: place.Key, Message: message, Suggestion: suggestion,
	}})
}

func (c *draftCheck) report(severity Severity, list List, index int, field Field, message, suggestion string) {
	c.reportAt(severity, c.draft.Locate(list, index, field), message, suggestion)
}

func (c *draftCheck) checkRoutes() {
	services := map[string]bool{}
	for _, service := range c.draft.Services {
		services[service.Name] = true
	}
	last := map[string]int{}
	for i, route := range c.draft.Routes {
		last[route.Database] = i
	}
	for i, route := range c.draft.Routes {
		if hidden := last[route.Database]; hidden != i {
			c.report(Warning, Routes, i, Name, fmt.Sprintf("the route of %q is hidden by the one at line %d, which callers get", route.Database,
				c.draft.Locate(Routes, hidden, Name).Line), "remove one of the two")
		}
		if route.Database == "" {
			c.report(Warning, Routes, i, Name, "the route has no database, so no caller can reach it", "write the name that callers connect to")
		}
		if !services[route.Service] {
			c.report(Warning, Routes, i, ServiceName, fmt.Sprintf("service %q is not declared, so it has no connection limit", route.Service),
				"declare the service, or correct the name")
		}
		if !route.KindKnown {
			c.report(Warning, Routes, i, Kind, "the kind of the route is not known, so its reads go to the leader", "write a known kind")
		}
		if route.Timeout <= 0 {
			c.report(Error, Routes, i, Timeout, "statements have no time to run", "write a time above 0")
		}
		if limit := c.bounds.CallerTime; limit > 0 && route.Timeout > limit {
			c.report(Warning, Routes, i, Timeout, fmt.Sprintf("%s is above the time of the callers, %s", route.Timeout, limit),
				fmt.Sprintf("write at most %s", limit))
		}
		c.checkAge(i, route)
	}
}

// checkAge reports a bound that reads at replicas cannot keep.
func (c *draftCheck) checkAge(i int, route Route) {
	maxAge, bounded := dfcatalog.MaxAge(route.Freshness)
	if !bounded {
		return
	}
	lag := c.bounds.ReplicationLag
	switch {
	case maxAge <= 0:
		c.report(Warning, Routes, i, MaxAge, "the maximum staleness is 0, so no replica can serve a read", "write a time above the replication lag")
	case maxAge < lag:
		c.report(Warning, Routes, i, MaxAge, fmt.Sprintf("the maximum staleness of %s is below the replication lag of %s", maxAge, lag),
			fmt.Sprintf("write at least %s", lag))
	}
}

func (c *draftCheck) checkServices() {
	routed := map[string]bool{}
	for _, route := range c.draft.Routes {
		routed[route.Service] = true
	}
	last := map[string]int{}
	for i, service := range c.draft.Services {
		last[service.Name] = i
	}
	for i, service := range c.draft.Services {
		if hidden := last[service.Name]; hidden != i {
			c.report(Warning, Services, i, Name, fmt.Sprintf("service %q is hidden by the one at line %d, which is in force", service.Name,
				c.draft.Locate(Services, hidden, Name).Line), "remove one of the two")
		}
		if !routed[service.Name] {
			c.report(Warning, Services, i, Name, fmt.Sprintf("no route leads to service %q", service.Name), "add a route, or remove the service")
		}
		if service.ConnectionLimit < 1 {
			c.report(Warning, Services, i, ConnectionLimit, "the upstreams accept no connection", "write the connections that each upstream accepts")
		}
	}
}

func (c *draftCheck) checkOrganisations() {
	first := map[string]int{}
	for i, organisation := range c.draft.Organisations {
		if !organisation.NameUsable {
			c.report(Error, Organisations, i, Name, fmt.Sprintf("the name %q is not one word", organisation.Name), "write a name without white space")
			continue
		}
		if at, known := first[organisation.Name]; known {
			c.report(Error, Organisations, i, Name, fmt.Sprintf("organisation %s is already listed at line %d", organisation.Name,
				c.draft.Locate(Organisations, at, Name).Line), "list each organisation once")
		} else {
			first[organisation.Name] = i
		}
		c.checkLimit(i, organisation)
	}
}

func (c *draftCheck) checkLimit(i int, organisation Organisation) {
	name := organisation.Name
	switch {
	case organisation.Rate < 0:
		c.report(Error, Organisations, i, Rate, fmt.Sprintf("the limit of organisation %s is negative", name), "write operations per second, or 0 for none")
	case organisation.Burst < 0:
		c.report(Error, Organisations, i, Burst, fmt.Sprintf("the burst of organisation %s is negative", name), "write at least 1")
	case organisation.Rate > 0 && organisation.Burst < 1:
		c.report(Warning, Organisations, i, Burst, fmt.Sprintf("the burst of organisation %s is below one operation", name), "write at least 1")
	case organisation.Rate == 0 && organisation.Burst > 0:
		c.report(Warning, Organisations, i, Burst, fmt.Sprintf("organisation %s has a burst but no limit, so nothing is limited", name),
			"write operations per second, or remove the burst")
	}
}

// checkKeys reports organisations that no caller belongs to, and keys that do not
// identify the callers that they seem to.
func (c *draftCheck) checkKeys() {
	type holder struct{ organisation, index int }
	holders := map[dfcatalog.KeyHash]holder{}
	for i, organisation := range c.draft.Organisations {
		if len(organisation.Keys) == 0 {
			c.report(Warning, Organisations, i, Keys, fmt.Sprintf("organisation %s has no key, so no caller belongs to it", organisation.Name),
				"add a key, or remove the organisation")
		}
		for _, index := range organisation.UnusableKeys {
			c.report(Warning, Organisations, i, Keys, fmt.Sprintf("key %d of organisation %s is empty or has white space, so no caller can send it", index, organisation.Name),
				"remove the key")
		}
		for at, key := range organisation.Keys {
			index := organisation.KeyIndexes[at]
			by, held := holders[key]
			if !held {
				holders[key] = holder{i, index}
				continue
			}
			if by.organisation == i {
				c.report(Warning, Organisations, i, Keys, fmt.Sprintf("key %d of organisation %s is the same as key %d", index, organisation.Name, by.index),
					"list each key once")
				continue
			}
			c.report(Warning, Organisations, i, Keys, fmt.Sprintf("key %d of organisation %s is key %d of organisation %s, which its callers count as",
				index, organisation.Name, by.index, c.draft.Organisations[by.organisation].Name), "give each key to one organisation")
		}
	}
}
