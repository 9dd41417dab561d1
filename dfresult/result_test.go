package dfresult

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCodesAreDocumented guards against codes that are missing from docs/RESULTS.md and
// against documented SQLSTATEs or outcomes that differ from the program's.
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

// TestUnknownCodeHasNoOutcome guards against treating an undefined code as done or not
// run.
func TestUnknownCodeHasNoOutcome(t *testing.T) {
	require.NotEqual(t, NotRun, Code(9999).Outcome())
	require.NotEqual(t, Done, Code(9999).Outcome())
}

// TestCodesInChains guards against wrapped errors that lose their code, and against
// errors without a code that are matched as if they had one.
func TestCodesInChains(t *testing.T) {
	refused := NewError(QueueFull, "busy")
	wrapped := fmt.Errorf("upstream: %w", refused)
	plain := errors.New("reset")
	require.Same(t, refused, FromError(wrapped, Internal))
	require.Equal(t, NewError(Internal, "reset"), FromError(plain, Internal))
	require.True(t, HasCode(wrapped, ConnectionLimit, QueueFull))
	require.False(t, HasCode(wrapped, ConnectionLimit))
	require.False(t, HasCode(plain, Internal))
	require.False(t, HasCode(nil, QueueFull))
}
