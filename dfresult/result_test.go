package dfresult

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCodesAreDocumented guards against codes that operators can't look up,
// and against a page that states another SQLSTATE or outcome than the program.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/RESULTS.md")
	require.NoError(t, err)
	for _, code := range Codes() {
		row := fmt.Sprintf("| DF%04d | %s | %s |", code, code.SQLState(), code.Outcome())
		require.Contains(t, string(page), row)
		require.Len(t, code.SQLState(), 5, "code %d", code)
	}
	require.Equal(t, len(Codes()), strings.Count(string(page), "\n| DF"))
}

// TestUnknownCodeHasNoOutcome guards against treating an unlisted code as not run.
func TestUnknownCodeHasNoOutcome(t *testing.T) {
	require.NotEqual(t, NotRun, Code(9999).Outcome())
	require.NotEqual(t, Done, Code(9999).Outcome())
}
