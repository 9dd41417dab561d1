package dfack

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfposition"
)

// TestScript guards against acknowledgements without a majority in one term or
// based on reports requested before the commit, and against more than one
// outstanding wait per upstream.
func TestScript(t *testing.T) {
	file, err := os.Open("testdata/gate.txt")
	require.NoError(t, err)
	defer file.Close()
	var gate *Gate
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "" || line[0] == '#' {
			gate = NewGate(DefaultOptions(), []dfgroup.UpstreamID{"a", "b", "c"})
			continue
		}
		input, want, _ := strings.Cut(line, " -> ")
		require.Equal(t, strings.TrimSpace(want), step(t, gate, strings.Fields(input)), line)
	}
}

func step(t *testing.T, gate *Gate, words []string) string {
	at, err := strconv.Atoi(words[0])
	require.NoError(t, err)
	now := dfclock.Millis(at)
	var actions []Action
	switch words[1] {
	case "commit":
		actions = gate.Commit(now, number(t, words[2]), position(t, words[3]))
	case "confirm":
		actions = gate.Confirm(now, number(t, words[2]), position(t, words[3]), dfposition.Term(number(t, words[4])))
	case "report": // arguments: upstream role accepted flushed history askedAt
		history, err := dfposition.ParseHistory(words[6])
		require.NoError(t, err)
		status := dfgroup.Status{
			Upstream: dfgroup.UpstreamID(words[2]), Role: dfgroup.Role(words[3]), History: history,
			Accepted: dfposition.Term(number(t, words[4])), Flushed: dfposition.Offset(number(t, words[5])),
		}
		actions = gate.Report(now, status, dfclock.Millis(number(t, words[7])))
	case "ended":
		actions = gate.WaitEnded(now, dfgroup.UpstreamID(words[2]))
	case "tick":
		actions = gate.Tick(now)
	}
	var texts []string
	for _, action := range actions {
		switch a := action.(type) {
		case Answer:
			texts = append(texts, fmt.Sprintf("%d=%d", a.ID, a.Code))
		case Wait:
			texts = append(texts, fmt.Sprintf("%s@%s", a.Upstream, a.Position))
		}
	}
	return strings.Join(texts, " ")
}

func number(t *testing.T, text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return value
}

func position(t *testing.T, text string) dfposition.Position {
	value, err := dfposition.ParsePosition(text)
	require.NoError(t, err)
	return value
}
