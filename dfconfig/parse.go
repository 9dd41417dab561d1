package dfconfig

import (
	"fmt"
	"strings"

	"dragonflygrade/dfbudget"
	"dragonflygrade/dfgroup"
)

// File is a service file as read from disk.
type File struct {
	// Name is the path that faults refer to.
	Name string
	Data []byte
}

// Parse reads service files, one service each. It reports all faults of all
// files; without faults it returns the services in the order of the files.
func Parse(files []File) ([]Service, Faults) {
	var faults Faults
	var services []Service
	seen := newNames()
	for _, file := range files {
		doc := load(file.Name, file.Data)
		if doc.values != nil {
			root := &table{document: doc, values: doc.values}
			services = append(services, seen.service(root))
		}
		faults = append(faults, doc.faults...)
	}
	if len(faults) > 0 {
		return nil, faults.sorted()
	}
	return services, nil
}

// names are what must be unique over all files, with the place of its first use.
type names struct {
	services   map[string]string
	identities map[string]string
	addresses  map[string]string
}

func newNames() *names {
	return &names{make(map[string]string), make(map[string]string), make(map[string]string)}
}

// unique reports a value that is already in use.
func unique(used map[string]string, t *table, key, value, instead string) {
	if value == "" {
		return
	}
	if place, ok := used[value]; ok {
		t.fault(key, fmt.Sprintf("%q is already used at %s", value, place), instead)
		return
	}
	used[value] = fmt.Sprintf("%s:%d", t.document.file, t.document.line(t.at(key)))
}

func (n *names) service(t *table) Service {
	var service Service
	service.Name = t.name("Service", "rod-orders")
	unique(n.services, t, "Service", service.Name, "give each service its own name")
	service.Owner, _ = t.required("Owner", "workshop desk")
	service.SessionMaxAge = t.span("SessionMaxAge", maxSpan, DefaultSessionMaxAge, "5s")
	service.Databases = n.databases(t)
	service.Callers = callers(t)
	service.Reads = reads(t)
	for _, entry := range t.tables("NoRepeat") {
		service.NoRepeat = append(service.NoRepeat, pattern(entry))
		entry.done()
	}
	deadlines := t.table("Deadlines")
	service.Deadlines.Read = deadlines.span("Read", maxDeadline, DefaultReadDeadline, "2s")
	service.Deadlines.Write = deadlines.span("Write", maxDeadline, DefaultWriteDeadline, "10s")
	deadlines.done()
	priorities := t.table("Priorities")
	service.Priorities.Read = priorities.integer("Read", 0, maxPriority, DefaultReadPriority)
	service.Priorities.Write = priorities.integer("Write", 0, maxPriority, DefaultWritePriority)
	priorities.done()
	t.done()
	return service
}

func (n *names) databases(t *table) []Database {
	var databases []Database
	used := make(map[string]string)
	entries := t.tables("Databases")
	if len(entries) == 0 {
		t.fault("Databases", "the service has no database", "add an entry [[Databases]]")
	}
	for _, entry := range entries {
		var database Database
		database.Name = entry.name("Name", "orders")
		unique(used, entry, "Name", database.Name, "give each database of the service its own name")
		if !entry.has("Slots") {
			entry.fault("Slots", "is missing", "write Slots = 3, the number of hosts that may hold connections at once")
		}
		if !entry.has("ConnectionLimit") {
			entry.fault("ConnectionLimit", "is missing", "write ConnectionLimit = 20, the connections that each upstream admits")
		}
		database.Slots = entry.integer("Slots", 1, maxSlots, 1)
		database.ConnectionLimit = entry.integer("ConnectionLimit", 1, maxConnections, maxConnections)
		if needed := database.Slots + dfbudget.Reserve; database.ConnectionLimit < needed {
			entry.fault("ConnectionLimit",
				fmt.Sprintf("%d is too small for %d slots and a reserve of %d", database.ConnectionLimit, database.Slots, dfbudget.Reserve),
				fmt.Sprintf("write at least %d, or fewer slots", needed))
		}
		database.Upstreams = n.upstreams(entry)
		entry.done()
		databases = append(databases, database)
	}
	return databases
}

func (n *names) upstreams(t *table) []Upstream {
	entries := t.tables("Upstreams")
	if len(entries) == 0 || len(entries) > maxUpstreams {
		t.fault("Upstreams", fmt.Sprintf("the database has %d upstreams", len(entries)),
			fmt.Sprintf("write 1 to %d entries [[Databases.Upstreams]]", maxUpstreams))
	}
	var upstreams []Upstream
	for _, entry := range entries {
		var upstream Upstream
		id := entry.name("ID", "orders-1")
		unique(n.identities, entry, "ID", id, "give each upstream its own identity")
		upstream.ID = dfgroup.UpstreamID(id)
		upstream.DataCentre = entry.name("DataCentre", "Catania")
		address, ok := entry.required("Address", "10.0.0.1:5432")
		if ok && !isAddress(address) {
			entry.fault("Address", fmt.Sprintf("%q is not an IP address with a port", address),
				`write an address such as "10.0.0.1:5432" or "[fd00::1]:5432"`)
			address = ""
		}
		unique(n.addresses, entry, "Address", address, "give each upstream its own address")
		upstream.Address = address
		entry.done()
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

func callers(t *table) []Caller {
	var callers []Caller
	used := make(map[string]string)
	entries := t.tables("Callers")
	if len(entries) == 0 {
		t.fault("Callers", "the service has no caller", "add an entry [[Callers]]")
	}
	for _, entry := range entries {
		var caller Caller
		caller.User = entry.name("User", "shop")
		unique(used, entry, "User", caller.User, "list each user once")
		caller.CredentialRef, _ = entry.required("CredentialRef", "env:SHOP_PASSWORD")
		if caller.CredentialRef != "" && !isReference(caller.CredentialRef) {
			// The value may be a secret, so the fault does not repeat it.
			entry.fault("CredentialRef", "is not a reference to a credential",
				`write "env:NAME" for an environment variable or "file:PATH#KEY" for a key in a file, never the secret`)
		}
		entry.done()
		callers = append(callers, caller)
	}
	return callers
}

func reads(t *table) []ReadRule {
	var rules []ReadRule
	for _, entry := range t.tables("Reads") {
		rule := ReadRule{Pattern: pattern(entry)}
		rule.MaxAge = entry.span("MaxAge", maxSpan, 0, "30s")
		rule.Strong = entry.flag("Strong")
		rule.Priority = entry.integer("Priority", 0, maxPriority, -1)
		if rule.Strong && entry.has("MaxAge") {
			entry.fault("MaxAge", "a strong read has no age", "remove MaxAge, or remove Strong")
		}
		if !entry.has("MaxAge") && !entry.has("Strong") && !entry.has("Priority") {
			entry.fault("MaxAge", "the rule states nothing", `write MaxAge = "30s", Strong = true or Priority = 5`)
		}
		entry.done()
		rules = append(rules, rule)
	}
	return rules
}

// pattern reads the keys that select statements.
func pattern(t *table) Pattern {
	var result Pattern
	for _, name := range t.texts("Tables", "catalogue") {
		result.Tables = append(result.Tables, tableName(name))
	}
	result.Statement, _ = t.text("Statement", "SELECT title FROM catalogue")
	result.Statement = normalized(result.Statement)
	result.Fingerprint, _ = t.text("Fingerprint", "a0c1d2e3f4a5b6c7")
	result.Fingerprint = strings.ToLower(result.Fingerprint)
	if result.Fingerprint != "" && strings.Trim(result.Fingerprint, "0123456789abcdef") != "" {
		t.fault("Fingerprint", fmt.Sprintf("%q is not a fingerprint", result.Fingerprint),
			"write the hex digits that the status command shows for the statement")
	}
	count := 0
	for _, key := range []string{"Tables", "Statement", "Fingerprint"} {
		if t.has(key) {
			count++
		}
	}
	if count != 1 {
		t.document.fault(t.path, fmt.Sprintf("the pattern has %d of the keys Tables, Statement and Fingerprint", count),
			`write one of them, such as Tables = ["catalogue"]`)
	}
	return result
}
