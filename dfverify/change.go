package dfverify

import (
	"fmt"
	"strconv"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfconfig"
)

// Difference returns what differs between two drafts. A key that an organisation gained
// or lost is named by its index in the draft that has it.
func Difference(from, to Draft) []dfconfig.KeyChange {
	before, after := from.values(), to.values()
	var changes []dfconfig.KeyChange
	for key, value := range after {
		if before[key] != value {
			changes = append(changes, dfconfig.KeyChange{Key: key, From: before[key], To: value})
		}
	}
	for key, value := range before {
		if _, ok := after[key]; !ok {
			changes = append(changes, dfconfig.KeyChange{Key: key, From: value})
		}
	}
	keysBefore, keysAfter := from.keys(), to.keys()
	for held, key := range keysAfter {
		if _, ok := keysBefore[held]; !ok {
			changes = append(changes, dfconfig.KeyChange{Key: key, To: "added"})
		}
	}
	for held, key := range keysBefore {
		if _, ok := keysAfter[held]; !ok {
			changes = append(changes, dfconfig.KeyChange{Key: key, From: "held"})
		}
	}
	return NewReport(0).WithChanges(changes).Changes
}

// heldKey is a key at an organisation.
type heldKey struct {
	organisation string
	key          dfcatalog.KeyHash
}

// keys returns the names of the keys by index.
func (d Draft) keys() map[heldKey]string {
	names := map[heldKey]string{}
	for _, organisation := range d.Organisations {
		for i, key := range organisation.Keys {
			names[heldKey{organisation.Name, key}] = fmt.Sprintf("Organisations[%s].Keys[%d]", organisation.Name, organisation.KeyIndexes[i])
		}
	}
	return names
}

// values returns all values but the keys by name. Of entries with the same name, the one
// that is in force counts.
func (d Draft) values() map[string]string {
	values := map[string]string{"Version": strconv.FormatUint(d.Version, 10), "TransactionIdleTimeout": d.TransactionIdleTimeout.String()}
	put := func(list, name, field string, value any) {
		values[fmt.Sprintf("%s[%s].%s", list, name, field)] = fmt.Sprint(value)
	}
	for _, route := range d.Routes {
		kind, maxAge := freshnessText(route.Freshness)
		put("Routes", route.Database, "Service", route.Service)
		put("Routes", route.Database, "Freshness", kind)
		put("Routes", route.Database, "MaxAge", maxAge)
		put("Routes", route.Database, "Timeout", route.Timeout)
		put("Routes", route.Database, "TargetLatency", route.TargetLatency)
		put("Routes", route.Database, "Priority", route.Priority)
		put("Routes", route.Database, "AllowAnonymous", route.AllowAnonymous)
	}
	for _, service := range d.Services {
		put("Services", service.Name, "ConnectionLimit", service.ConnectionLimit)
		put("Services", service.Name, "SyncReplicas", service.SyncReplicas)
	}
	for _, organisation := range d.Organisations {
		put("Organisations", organisation.Name, "Rate", organisation.Rate)
		put("Organisations", organisation.Name, "Burst", organisation.Burst)
		put("Organisations", organisation.Name, "Priority", organisation.Priority)
	}
	return values
}

func freshnessText(freshness dfcatalog.Freshness) (kind, maxAge string) {
	switch f := freshness.(type) {
	case dfcatalog.Bounded:
		return "Bounded", f.MaxAge.String()
	case dfcatalog.ReadYourWrites:
		return "ReadYourWrites", f.MaxAge.String()
	}
	return "Strong", "0ms"
}
