package dfhost

import (
	"maps"
	"slices"
	"strings"

	"dragonflygrade/dfwire"
)

// ownParameters are startup parameters that the host deals with itself.
var ownParameters = []string{parameterApplication, "client_encoding", "replication"}

// defaultValues has, in the form of plain, values of settings
// that drivers send at each startup although they change nothing. A setting
// costs a reset when its connection is returned.
var defaultValues = map[string][]string{
	"datestyle":                   {"iso", "iso,mdy"},
	"intervalstyle":               {"postgres"},
	"timezone":                    {"utc"},
	"standard_conforming_strings": {"on"},
	// Each positive value asks for the shortest exact text.
	"extra_float_digits":            {"1", "2", "3"},
	"search_path":                   {`"$user",public`},
	"statement_timeout":             {"0"},
	"lock_timeout":                  {"0"},
	"default_transaction_read_only": {"off"},
}

// startupSettings returns the settings of a startup message that the session has
// to set at upstreams, in a fixed order.
func startupSettings(parameters map[string]string) []setting {
	var settings []setting
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value := parameters[name]
		if isOwnParameter(name) || slices.Contains(defaultValues[name], plain(value)) {
			continue
		}
		settings = append(settings, setting{name: name, value: value})
	}
	return settings
}

func isOwnParameter(name string) bool {
	return slices.Contains(ownParameters, name) || strings.HasPrefix(name, "_pq_.") || strings.HasPrefix(name, parameterPrefix)
}

// plain returns a value in lower case and without white space. A value with quotes, in
// which both count, keeps them except for the blank behind a comma.
func plain(value string) string {
	if strings.Contains(value, `"`) {
		return strings.ReplaceAll(value, `", `, `",`)
	}
	return strings.ToLower(strings.Join(strings.Fields(value), ""))
}

var _ dfwire.Greeter = (*session)(nil)

// Greeting returns what the caller is told at its startup.
func (s *session) Greeting() map[string]string {
	greeting := make(map[string]string, len(s.settings.initial)+1)
	for _, setting := range s.settings.initial {
		greeting[setting.name] = setting.value
	}
	if s.version != "" {
		greeting[parameterVersion] = s.version
	}
	return greeting
}
