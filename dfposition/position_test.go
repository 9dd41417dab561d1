package dfposition

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLocate guards against serving a read from a log that lacks the caller's write, and
// against treating a discarded write as one that may still arrive.
func TestLocate(t *testing.T) {
	file, err := os.Open("testdata/locate.txt")
	require.NoError(t, err)
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		require.Len(t, fields, 4, line)
		history, err := ParseHistory(fields[0])
		require.NoError(t, err, line)
		end, err := ParsePosition("0:" + fields[1])
		require.NoError(t, err, line)
		want, err := ParsePosition(fields[2])
		require.NoError(t, err, line)
		require.Equal(t, fields[3], history.Locate(end.Offset, want).String(), line)
	}
	require.NoError(t, scanner.Err())
}

// TestParseHistoryErrors guards against accepting histories that are malformed or out of
// order.
func TestParseHistoryErrors(t *testing.T) {
	for _, text := range []string{"2:0,1:5", "1:5,2:4", "1", "1:x", "1:0,,2:1"} {
		_, err := ParseHistory(text)
		require.Error(t, err, text)
	}
}

// TestWithTruncation guards against keeping terms whose entries were truncated.
func TestWithTruncation(t *testing.T) {
	history, err := ParseHistory("1:0,2:100,4:250")
	require.NoError(t, err)
	require.Equal(t, "1:0,2:100", history.WithTruncation(249).String())
	require.Equal(t, "1:0,2:100,4:250", history.WithTruncation(250).String())
}
