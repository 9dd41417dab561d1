package dfcli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const refusedLine = `{"time":"2026-01-10T14:43:50Z","level":"warn","Request":"a1","Service":"orders","Code":1001,"Why":"full","Last":"BUSY p","message":"request: refused"}`

// Guards against logs that are read from files only or from input only, and
// against an unknown request that ends like a known one.
func TestExplainCommand(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host-7.log")
	require.NoError(t, os.WriteFile(path, []byte(refusedLine+"\nnoise\n"), 0o600))
	for name, arguments := range map[string][]string{"file": {"explain", "a1", path}, "input": {"explain", "a1"}} {
		var out bytes.Buffer
		env := &environment{ctx: t.Context(), in: strings.NewReader(refusedLine), out: &out}
		require.Equal(t, exitOK, run(env, arguments), name)
		require.Contains(t, out.String(), `cause: not run: overload (full); the last upstream that was tried ended with "BUSY p"`)
		require.Equal(t, name == "file", strings.Contains(out.String(), "host-7"))
		require.Equal(t, name == "file", strings.Contains(out.String(), "1 lines of the input"))
	}
	env := &environment{ctx: t.Context(), in: strings.NewReader(refusedLine), out: &bytes.Buffer{}}
	require.Equal(t, exitFailed, run(env, []string{"explain", "a2"}))
}
