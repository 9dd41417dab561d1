package dfhost

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclassify"
)

// Guards against defaults that cost a reset, and against parameters of the host
// that reach upstreams.
func TestStartupSettings(t *testing.T) {
	require.Equal(t, []setting{{"search_path", "shop"}, {"statement_timeout", "9000"}}, startupSettings(map[string]string{
		"statement_timeout": "9000", "search_path": "shop", "datestyle": "ISO, MDY", "extra_float_digits": "2", "timezone": "UTC",
		"application_name": "a", "client_encoding": "utf8", "_pq_.x": "1", "dragonflygrade.x": "1",
	}))
}

// Guards against a RESET or DISCARD ALL that drops the settings of the startup
// message, which an upstream would restore.
func TestResetRestoresStartup(t *testing.T) {
	first := []setting{{"search_path", "shop"}}
	for _, verb := range []dfclassify.Verb{dfclassify.VerbReset, dfclassify.VerbResetAll} {
		list := newSettingList(first)
		list.changed([]dfclassify.Setting{{Verb: dfclassify.VerbSet, Name: "search_path", Value: "other"}}, false, statusIdle)
		require.Equal(t, []setting{{"search_path", "other"}}, list.values)
		list.changed([]dfclassify.Setting{{Verb: verb, Name: "search_path"}}, false, statusIdle)
		require.Equal(t, first, list.values)
	}
}

// Guards against a value of the startup message that is dropped because it looks like
// the default once white space and case inside its quotes are ignored.
func TestQuotedStartupSettings(t *testing.T) {
	for value, kept := range map[string]bool{
		`"$user", public`: false, `"$user",public`: false, `"$ user", public`: true, `"$USER", public`: true, "\"$user\r\", public": true, `"$user,public"`: true,
	} {
		require.Equal(t, kept, len(startupSettings(map[string]string{"search_path": value})) == 1, "%q", value)
	}
}
