package dfresult

import (
	"errors"
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

// Guards against failures that lose their code because they were wrapped, and
// against errors without a code that pass for one.
func TestCodesInChains(t *testing.T) {
	refused := NewError(QueueFull, "busy")
	wrapped := fmt.Errorf("upstream: %w", refused)
	plain := errors.New("reset")
	require.Same(t, refused, From(wrapped, Internal))
	require.Equal(t, NewError(Internal, "reset"), From(plain, Internal))
	require.True(t, HasCode(wrapped, ConnectionLimit, QueueFull))
	require.False(t, HasCode(wrapped, ConnectionLimit))
	require.False(t, HasCode(plain, Internal))
	require.False(t, HasCode(nil, QueueFull))
}
