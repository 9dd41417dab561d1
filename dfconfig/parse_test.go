package dfconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readFiles returns all files that the pattern matches.
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

// TestExamples guards against example files that the parser refuses.
func TestExamples(t *testing.T) {
	for _, user := range []string{"consortium", "kovacik"} {
		services, faults := Parse(readFiles(t, "../examples/"+user+"/*.toml"))
		require.Empty(t, faults.String())
		require.Len(t, services, 3)
	}
}

// TestFaults guards against faults that are missed, reported one at a time, or
// placed at the wrong line. Each directory of testdata/faults is one
// publication with the expected faults in expected.txt.
func TestFaults(t *testing.T) {
	cases, err := filepath.Glob("testdata/faults/*")
	require.NoError(t, err)
	require.NotEmpty(t, cases)
	for _, dir := range cases {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join(dir, "expected.txt"))
			require.NoError(t, err)
			services, faults := Parse(readFiles(t, filepath.Join(dir, "*.toml")))
			require.Nil(t, services)
			require.Equal(t, strings.TrimSpace(string(want)), faults.String())
		})
	}
}
