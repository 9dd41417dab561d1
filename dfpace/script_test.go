package dfpace

import (
	"bufio"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfreport"
)

// script runs one case of testdata/pace.txt.
type script struct {
	t    *testing.T
	pace *Pace
	now  dfclock.Millis
}

func newScript(t *testing.T) *script {
	return &script{t: t, pace: New(Gradient{}, func() float64 { return 0 })}
}

func (s *script) number(words []string, i, absent int) int {
	if i >= len(words) {
		return absent
	}
	n, err := strconv.Atoi(words[i])
	require.NoError(s.t, err)
	return n
}

func (s *script) run(line string) {
	words := strings.Fields(line)
	if s.record(words) || s.change(words) {
		return
	}
	s.expect(line, words)
}

// record runs a line that records answers.
func (s *script) record(words []string) bool {
	id := dffleet.ID(words[len(words)-1])
	if len(words) > 1 {
		id = dffleet.ID(words[1])
	}
	switch words[0] {
	case "good":
		for range s.number(words, 3, 1) {
			s.pace.RecordGood(s.now, id, dfclock.Millis(s.number(words, 2, 0)))
		}
	case "fail":
		for range s.number(words, 2, 1) {
			s.pace.RecordFailure(s.now, id)
		}
	case "lose":
		for range s.number(words, 2, 1) {
			s.pace.RecordLoss(s.now, id)
		}
	case "report":
		counts := dfreport.Counts{Good: s.number(words, 2, 0), Failed: s.number(words, 3, 0), Lost: s.number(words, 4, 0)}
		began := s.now - dfclock.Millis(s.number(words, 5, 0))
		s.pace.RecordReport(s.now, id, []dfreport.Observation{{BeganAt: began, Counts: counts}})
	case "full":
		s.pace.RecordOverload(s.now, id)
	case "other", "cancel":
		s.pace.Cancel(id)
	default:
		return false
	}
	return true
}

// change runs a line that changes the setting.
func (s *script) change(words []string) bool {
	switch words[0] {
	case "guards":
	case "put":
		s.pace.Put(dffleet.ID(words[1]), s.number(words, 2, 0))
	case "hosts":
		s.pace.SetHosts(s.number(words, 1, 0))
	case "leader":
		s.pace.SetLeader(dffleet.ID(words[1]))
	case "at":
		s.now = dfclock.Millis(s.number(words, 1, 0))
	case "admit":
		for range s.number(words, 2, 1) {
			s.pace.Admit(s.now, dffleet.ID(words[1]))
		}
	case "start":
		cause := map[string]Cause{"started": Started, "recovered": Recovered, "promoted": Promoted}[words[2]]
		require.NotZero(s.t, cause)
		s.pace.Start(s.now, dffleet.ID(words[1]), cause)
	default:
		return false
	}
	return true
}

func (s *script) expect(line string, words []string) {
	id := dffleet.ID(words[1])
	switch words[0] {
	case "aside":
		require.Equal(s.t, words[2] == "true", s.pace.IsAside(s.now, id), line)
	case "trial":
		require.Equal(s.t, words[2] == "true", s.pace.IsTrial(s.now, id), line)
	case "delay":
		require.Equal(s.t, dfclock.Millis(s.number(words, 2, 0)), s.pace.AvailableIn(s.now, id), line)
	case "limit":
		s.expectLimit(line, id, words[2:])
	case "events":
		names := []string{}
		for _, event := range s.pace.Events() {
			names = append(names, reflect.TypeOf(event).Name())
		}
		if words[1] == "none" {
			require.Empty(s.t, names, line)
			return
		}
		require.Equal(s.t, words[1:], names, line)
	default:
		require.Fail(s.t, "unknown line", line)
	}
}

func (s *script) expectLimit(line string, id dffleet.ID, bound []string) {
	limit, ok := s.pace.Limit(id)
	if bound[0] == "none" {
		require.False(s.t, ok, "%s: %v", line, limit)
		return
	}
	require.True(s.t, ok, line)
	value, err := strconv.ParseFloat(bound[1], 64)
	require.NoError(s.t, err)
	if bound[0] == "below" {
		require.Less(s.t, limit, value, line)
		return
	}
	require.Greater(s.t, limit, value, line)
}

// Runs the cases of testdata/pace.txt, each of which names the failure that it guards
// against.
func TestScripts(t *testing.T) {
	file, err := os.Open("testdata/pace.txt")
	require.NoError(t, err)
	defer file.Close()
	cases := map[string][]string{}
	name := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if strings.HasPrefix(line, "case ") {
			name = strings.TrimPrefix(line, "case ")
			continue
		}
		if name != "" && line != "" && !strings.HasPrefix(line, "#") {
			cases[name] = append(cases[name], line)
		}
	}
	for name, lines := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			for _, line := range lines {
				s.run(line)
			}
		})
	}
}
