package dfexplain

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// TestExplain plays testdata/explain.txt.
func TestExplain(t *testing.T) {
	data, err := os.ReadFile("testdata/explain.txt")
	require.NoError(t, err)
	for _, text := range strings.Split(string(data), "\ncase ")[1:] {
		name, script, _ := strings.Cut(text, "\n")
		t.Run(name, func(t *testing.T) { playCase(t, strings.Split(script, "\n")) })
	}
}

func playCase(t *testing.T, script []string) {
	t.Helper()
	var at time.Time
	var explanation Explanation
	var failure error
	var texts []string
	unreadable := 0
	for _, line := range script {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "", "#":
		case "at":
			since, err := time.ParseDuration(rest + "s")
			require.NoError(t, err)
			at = time.Unix(0, 0).Add(since).UTC()
		case "log":
			host, fields, _ := strings.Cut(rest, " ")
			texts = append(texts, fmt.Sprintf(`0.5 %s {"time":%q,%s}`, host, at.Format(time.RFC3339Nano), fields))
		case "text":
			texts = append(texts, rest)
			unreadable++
		case "explain":
			var logs Log
			require.NoError(t, logs.Read(strings.NewReader(strings.Join(texts, "\n")), "", rest))
			require.Equal(t, unreadable, logs.Unreadable)
			explanation, failure = logs.Explain(rest)
		case "unknown":
			require.ErrorIs(t, failure, ErrNotFound)
		case "lines":
			require.NoError(t, failure)
			count, err := strconv.Atoi(rest)
			require.NoError(t, err)
			require.Len(t, explanation.Lines, count)
		case "cause":
			require.Equal(t, rest, explanation.Cause)
		default:
			require.Failf(t, "unknown line", "%s", line)
		}
	}
}

// Guards against a host without a name where logs are read from files that are
// named otherwise.
func TestHostNamesItself(t *testing.T) {
	var logs Log
	text := `{"time":"2026-01-10T14:43:49Z","level":"info","Host":"h7","message":"edge: start"}
{"time":"2026-01-10T14:43:50Z","level":"warn","Request":"a","Code":1001,"message":"request: refused"}`
	require.NoError(t, logs.Read(strings.NewReader(text), "file", "a"))
	explanation, err := logs.Explain("a")
	require.NoError(t, err)
	require.Equal(t, "h7", explanation.Lines[len(explanation.Lines)-1].Host)
}

// Guards against lines that are lost because the log escapes bytes of the request's name.
func TestEscapedRequest(t *testing.T) {
	for _, request := range []string{"a\r", "a\nb", `a"b`, `a\b`, "a<b>&", "é", "a\x00", "\x01\x1b", "\u2028", "a\x7f", "\xff\xfe"} {
		var text bytes.Buffer
		logger := log.Logger{Writer: &log.IOWriter{Writer: &text}, TimeFormat: time.RFC3339Nano}
		logger.Warn().Str("Request", request).Int("Code", 1001).Msg("request: refused")
		logger.Warn().Str("Request", "other").Int("Code", 1001).Msg("request: refused")
		var logs Log
		require.NoError(t, logs.Read(&text, "h", request))
		explanation, err := logs.Explain(request)
		require.NoError(t, err, "%q", request)
		require.Len(t, explanation.Lines, 1, "%q", request)
	}
}

// Guards against lines that are lost behind one that is longer than hosts write.
func TestLongLine(t *testing.T) {
	var logs Log
	text := strings.Repeat("x", 2*maxLine) + "\r\n" +
		`{"time":"2026-01-10T14:43:50Z","level":"warn","Request":"a","Code":1001,"message":"request: refused"}` + "\r\n"
	require.NoError(t, logs.Read(strings.NewReader(text), "h", "a"))
	require.Equal(t, 1, logs.Unreadable)
	explanation, err := logs.Explain("a")
	require.NoError(t, err)
	require.Len(t, explanation.Lines, 1)
}
