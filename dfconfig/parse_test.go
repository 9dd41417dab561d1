package dfconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readFiles returns the files that match a glob pattern.
func readFiles(t *testing.T, pattern string) []File {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	files := make([]File, len(paths))
	for i, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		files[i] = File{filepath.Base(path), data}
	}
	return files
}

// TestExamples guards against example files that the parser rejects.
func TestExamples(t *testing.T) {
	for _, user := range []string{"consortium", "kovacik"} {
		services, diagnostics := Parse(readFiles(t, "../examples/"+user+"/*.toml"))
		require.Empty(t, diagnostics.String())
		require.Len(t, services, 3)
	}
}

// TestDiagnostics guards against diagnostics that are missing, reported one at a time
// or given the wrong line. Each directory of testdata/diagnostics has the files of one
// publication and the expected diagnostics in expected.txt.
func TestDiagnostics(t *testing.T) {
	cases, err := filepath.Glob("testdata/diagnostics/*")
	require.NoError(t, err)
	require.NotEmpty(t, cases)
	for _, dir := range cases {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join(dir, "expected.txt"))
			require.NoError(t, err)
			services, diagnostics := Parse(readFiles(t, filepath.Join(dir, "*.toml")))
			require.Nil(t, services)
			require.Equal(t, strings.TrimSpace(string(want)), diagnostics.String())
		})
	}
}
