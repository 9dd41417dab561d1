package dfconfig

import (
	"fmt"
	"strings"

	"dragonflygrade/dfbudget"
	"dragonflygrade/dfgroup"
)

// File is a service file as read from disk.
type File struct {
	// Name is the path that diagnostics refer to.
	Name string
	Data []byte
}

// Parse reads service files, each with one service. It returns the services in the
// order of the files, or the diagnostics of all files if there are any.
func Parse(files []File) ([]Service, Diagnostics) {
	var diagnostics Diagnostics
	var services []Service
	p := newParser()
	for _, file := range files {
		source := parseSource(file.Name, file.Data)
		if source.values != nil {
			root := &table{source: source, values: source.values}
			services = append(services, p.parseService(root))
		}
		diagnostics = append(diagnostics, source.diagnostics...)
	}
	if len(diagnostics) > 0 {
		return nil, diagnostics.sorted()
	}
	return services, nil
}

// parser parses the files of one publication. It maps each value that must be
// unique over all files to the location of its first use.
type parser struct {
	serviceNames      map[string]string
	upstreamIDs       map[string]string
	upstreamAddresses map[string]string
}

func newParser() *parser {
	return &parser{make(map[string]string), make(map[string]string), make(map[string]string)}
}

// checkUnique reports a value that is already in use, and records the location of a
// new one. Empty values, which stand for invalid ones, are not checked.
func checkUnique(used map[string]string, t *table, key, value, suggestion string) {
	if value == "" {
		return
	}
	if location, ok := used[value]; ok {
		t.report(key, fmt.Sprintf("%q is already used at %s", value, location), suggestion)
		return
	}
	used[value] = fmt.Sprintf("%s:%d", t.source.name, t.source.lineOf(t.keyPath(key)))
}

func (p *parser) parseService(t *table) Service {
	var service Service
	service.Name = t.requiredName("Service", "rod-orders")
	checkUnique(p.serviceNames, t, "Service", service.Name, "give each service its own name")
	service.Owner, _ = t.requiredString("Owner", "workshop desk")
	service.SessionMaxAge = t.duration("SessionMaxAge", maxDuration, DefaultSessionMaxAge, "5s")
	service.Databases = p.parseDatabases(t)
	service.Callers = parseCallers(t)
	service.Reads = parseReadRules(t)
	for _, entry := range t.tableArray("NoRepeat") {
		service.NoRepeat = append(service.NoRepeat, parsePattern(entry))
		entry.reportUnknownKeys()
	}
	deadlines := t.nestedTable("Deadlines")
	service.Deadlines.Read = deadlines.duration("Read", maxDeadline, DefaultReadDeadline, "2s")
	service.Deadlines.Write = deadlines.duration("Write", maxDeadline, DefaultWriteDeadline, "10s")
	deadlines.reportUnknownKeys()
	priorities := t.nestedTable("Priorities")
	service.Priorities.Read = priorities.integer("Read", 0, maxPriority, DefaultReadPriority)
	service.Priorities.Write = priorities.integer("Write", 0, maxPriority, DefaultWritePriority)
	priorities.reportUnknownKeys()
	t.reportUnknownKeys()
	return service
}

func (p *parser) parseDatabases(t *table) []Database {
	var databases []Database
	used := make(map[string]string)
	entries := t.tableArray("Databases")
	if len(entries) == 0 {
		t.report("Databases", "the service has no database", "add an entry [[Databases]]")
	}
	for _, entry := range entries {
		var database Database
		database.Name = entry.requiredName("Name", "orders")
		checkUnique(used, entry, "Name", database.Name, "give each database of the service its own name")
		if !entry.has("Slots") {
			entry.report("Slots", "is missing", "write Slots = 3, the number of hosts that may hold connections at once")
		}
		if !entry.has("ConnectionLimit") {
			entry.report("ConnectionLimit", "is missing", "write ConnectionLimit = 20, the connections that each upstream admits")
		}
		database.Slots = entry.integer("Slots", 1, maxSlots, 1)
		database.ConnectionLimit = entry.integer("ConnectionLimit", 1, maxConnections, maxConnections)
		if needed := database.Slots + dfbudget.Reserve; database.ConnectionLimit < needed {
			entry.report("ConnectionLimit",
				fmt.Sprintf("%d is too small for %d slots and a reserve of %d", database.ConnectionLimit, database.Slots, dfbudget.Reserve),
				fmt.Sprintf("write at least %d, or fewer slots", needed))
		}
		database.Upstreams = p.parseUpstreams(entry)
		entry.reportUnknownKeys()
		databases = append(databases, database)
	}
	return databases
}

func (p *parser) parseUpstreams(t *table) []Upstream {
	entries := t.tableArray("Upstreams")
	if len(entries) == 0 || len(entries) > maxUpstreams {
		t.report("Upstreams", fmt.Sprintf("the database has %d upstreams", len(entries)),
			fmt.Sprintf("write 1 to %d entries [[Databases.Upstreams]]", maxUpstreams))
	}
	var upstreams []Upstream
	for _, entry := range entries {
		var upstream Upstream
		id := entry.requiredName("ID", "orders-1")
		checkUnique(p.upstreamIDs, entry, "ID", id, "give each upstream its own identity")
		upstream.ID = dfgroup.UpstreamID(id)
		upstream.DataCentre = entry.requiredName("DataCentre", "Catania")
		address, ok := entry.requiredString("Address", "10.0.0.1:5432")
		if ok && !isIPPort(address) {
			entry.report("Address", fmt.Sprintf("%q is not an IP address with a port", address),
				`write an address such as "10.0.0.1:5432" or "[fd00::1]:5432"`)
			address = ""
		}
		checkUnique(p.upstreamAddresses, entry, "Address", address, "give each upstream its own address")
		upstream.Address = address
		entry.reportUnknownKeys()
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

func parseCallers(t *table) []Caller {
	var callers []Caller
	used := make(map[string]string)
	entries := t.tableArray("Callers")
	if len(entries) == 0 {
		t.report("Callers", "the service has no caller", "add an entry [[Callers]]")
	}
	for _, entry := range entries {
		var caller Caller
		caller.User = entry.requiredName("User", "shop")
		checkUnique(used, entry, "User", caller.User, "list each user once")
		caller.CredentialRef, _ = entry.requiredString("CredentialRef", "env:SHOP_PASSWORD")
		if caller.CredentialRef != "" && !isCredentialRef(caller.CredentialRef) {
			// The value may be a secret, so the message must not contain it.
			entry.report("CredentialRef", "is not a reference to a credential",
				`write "env:NAME" for an environment variable or "file:PATH#KEY" for a key in a file, never the secret`)
		}
		entry.reportUnknownKeys()
		callers = append(callers, caller)
	}
	return callers
}

func parseReadRules(t *table) []ReadRule {
	var rules []ReadRule
	for _, entry := range t.tableArray("Reads") {
		rule := ReadRule{Pattern: parsePattern(entry)}
		rule.MaxAge = entry.duration("MaxAge", maxDuration, 0, "30s")
		rule.Strong = entry.boolean("Strong")
		rule.Priority = entry.integer("Priority", 0, maxPriority, -1)
		if rule.Strong && entry.has("MaxAge") {
			entry.report("MaxAge", "a strong read has no age", "remove MaxAge, or remove Strong")
		}
		if !entry.has("MaxAge") && !entry.has("Strong") && !entry.has("Priority") {
			entry.report("MaxAge", "the rule states nothing", `write MaxAge = "30s", Strong = true or Priority = 5`)
		}
		entry.reportUnknownKeys()
		rules = append(rules, rule)
	}
	return rules
}

// parsePattern reads the keys of a statement pattern, of which exactly one must be
// present.
func parsePattern(t *table) Pattern {
	var result Pattern
	for _, name := range t.stringList("Tables", "catalogue") {
		result.Tables = append(result.Tables, normalizeTableName(name))
	}
	result.Statement, _ = t.optionalString("Statement", "SELECT title FROM catalogue")
	result.Statement = normalizeStatement(result.Statement)
	result.Fingerprint, _ = t.optionalString("Fingerprint", "a0c1d2e3f4a5b6c7")
	result.Fingerprint = strings.ToLower(result.Fingerprint)
	if result.Fingerprint != "" && strings.Trim(result.Fingerprint, "0123456789abcdef") != "" {
		t.report("Fingerprint", fmt.Sprintf("%q is not a fingerprint", result.Fingerprint),
			"write the hex digits that the status command shows for the statement")
	}
	count := 0
	for _, key := range []string{"Tables", "Statement", "Fingerprint"} {
		if t.has(key) {
			count++
		}
	}
	if count != 1 {
		t.source.report(t.path, fmt.Sprintf("the pattern has %d of the keys Tables, Statement and Fingerprint", count),
			`write one of them, such as Tables = ["catalogue"]`)
	}
	return result
}
