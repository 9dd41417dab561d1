package dfhost

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclassify"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfunit"
)

// Guards against settings that a session keeps after DISCARD ALL because of white space
// or comments beside it.
func TestDiscardAllResetsSettings(t *testing.T) {
	reset := []dfclassify.Setting{{Verb: dfclassify.VerbResetAll}}
	for text, want := range map[string][]dfclassify.Setting{
		"DISCARD ALL": reset, "discard all;\n": reset, "DISCARD ALL\r\n": reset, "DISCARD ALL;\t": reset, "\n DISCARD ALL": reset,
		"DISCARD\nALL": reset, "DISCARD  ALL": reset, "DISCARD ALL -- all": reset, "RESET ALL\r\n": reset,
		"DISCARD PLANS": nil, "DISCARD TEMP\r": nil, "SELECT 'discard all'": nil,
	} {
		batch := dfunit.Batch{Messages: []dfunit.Message{{Type: messageQuery, Body: []byte(text + "\x00")}}}
		p := makePlan(dfclassify.New(0), dfconfig.Service{}, batch)
		require.Equal(t, want, p.settings, "%q", text)
	}
}

// Guards against a session value that is lost with the connection because its text is in
// another encoding.
func TestSettingOfOtherEncoding(t *testing.T) {
	for _, value := range []string{"shop", "caf\u00e9", "caf\xe9"} {
		batch := dfunit.Batch{Messages: []dfunit.Message{{Type: messageQuery, Body: []byte("SET search_path = '" + value + "'\x00")}}}
		p := makePlan(dfclassify.New(0), dfconfig.Service{}, batch)
		require.Equal(t, []dfclassify.Setting{{Verb: dfclassify.VerbSet, Name: "search_path", Value: value}}, p.settings, "%q", value)
	}
}
