package dfcli

import (
	"bytes"
	"context"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheck plays testdata/check.txt. Every key of an organisation in it contains the
// word "s3cr3t", which no output may contain.
func TestCheck(t *testing.T) {
	data, err := os.ReadFile("testdata/check.txt")
	require.NoError(t, err)
	for _, text := range strings.Split("\n"+string(data), "\ncase ")[1:] {
		name, script, _ := strings.Cut(text, "\n")
		t.Run(name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			playCheck(t, strings.Split(script, "\n"))
		})
	}
}

// playCheck runs the lines of one case. Lines with "| " are the content of the last file,
// and lines with "> " the whole output of the last command.
func playCheck(t *testing.T, script []string) {
	t.Helper()
	files := map[string]string{}
	file, output := "", []string(nil)
	for _, line := range script {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "", "guards":
		case "file":
			file = rest
		case "|":
			files[file] += rest + "\n"
			require.NoError(t, os.WriteFile(file, []byte(files[file]), 0o600))
		case "run":
			require.Empty(t, output, "output that is not expected")
			output = runCheck(t, strings.Fields(rest))
		case ">":
			require.NotEmpty(t, output, "missing: %s", rest)
			require.Equal(t, rest, output[0])
			output = output[1:]
		default:
			require.Failf(t, "unknown line", "%s", line)
		}
	}
	require.Empty(t, output, "output that is not expected")
}

// runCheck returns the lines of the output and, as the last one, the exit code.
func runCheck(t *testing.T, arguments []string) []string {
	t.Helper()
	stderr, err := os.CreateTemp(t.TempDir(), "stderr")
	require.NoError(t, err)
	before := os.Stderr
	os.Stderr = stderr
	var out bytes.Buffer
	code := run(&environment{ctx: context.Background(), out: &out}, append([]string{"check"}, arguments...))
	os.Stderr = before
	require.NoError(t, stderr.Close())
	errors, err := os.ReadFile(stderr.Name())
	require.NoError(t, err)
	require.NotContains(t, out.String()+string(errors), "s3cr3t")
	if code == exitOK {
		require.Empty(t, string(errors))
	}
	return append(strings.FieldsFunc(out.String(), func(r rune) bool { return r == '\n' }), "exit "+strconv.Itoa(code))
}
