package dfsuccession

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

// script is the state of one case.
type script struct {
	now         dfclock.Millis
	observation Observation
	coordinator *Coordinator
}

// TestScripts runs every case of testdata/succession.txt. Each case names the
// failure that it guards against.
func TestScripts(t *testing.T) {
	file, err := os.Open("testdata/succession.txt")
	require.NoError(t, err)
	defer file.Close()
	cases := map[string][]string{}
	var names []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		switch name, is := strings.CutPrefix(line, "case "); {
		case line == "" || strings.HasPrefix(line, "#") || strings.HasPrefix(line, "guards "):
		case is:
			names = append(names, name)
		default:
			require.NotEmpty(t, names, "line before the first case: %s", line)
			last := names[len(names)-1]
			cases[last] = append(cases[last], line)
		}
	}
	require.NoError(t, scanner.Err())
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			s := &script{coordinator: New(0, PlatformFences{})}
			for _, line := range cases[name] {
				s.run(t, line)
			}
		})
	}
}

func (s *script) run(t *testing.T, line string) {
	t.Helper()
	fields := strings.Fields(line)
	words, values := fields[1:], map[string]string{}
	var plain []string
	for _, word := range words {
		if key, value, ok := strings.Cut(word, "="); ok {
			values[key] = value
			continue
		}
		plain = append(plain, word)
		values[word] = "true"
	}
	switch fields[0] {
	case "at":
		s.now = dfclock.Millis(number(t, plain[0]))
	case "observe":
		s.observation = observationOf(t, values)
		s.coordinator.observe(s.now, s.observation)
	case "step":
		require.Equal(t, strings.Join(words, " "), describe(s.coordinator.Step(s.now, s.observation)), "at %s", s.now)
	case "unresponsive":
		require.Equal(t, plain[0], strconv.FormatBool(s.coordinator.Unresponsive()), "at %s", s.now)
	case "livenesscutoff":
		require.Equal(t, plain[0], strconv.Itoa(int(s.coordinator.LivenessCutoff())), "at %s", s.now)
	case "suspected":
		require.Equal(t, plain[0], strconv.FormatBool(s.coordinator.Suspected()), "at %s", s.now)
	default:
		s.coordinator.Handle(s.now, eventOf(t, fields[0], plain, values))
	}
}

func number(t *testing.T, text string) int {
	t.Helper()
	value, err := strconv.Atoi(text)
	require.NoError(t, err)
	return value
}

func observationOf(t *testing.T, values map[string]string) Observation {
	t.Helper()
	count := func(key string) int {
		if values[key] == "" {
			return 0
		}
		return number(t, values[key])
	}
	observation := Observation{
		Leader: dffleet.ID(values["leader"]), LeaderLeaving: values["leaving"] != "", AwaitingLeader: values["awaiting"] != "",
		DelegatesProbes: values["delegates"] != "", SuspectedByProber: values["suspectedbyprober"] != "",
		ExpectedDelay: dfclock.Millis(count("delay")), SyncReplicas: count("sync"), WritesHeld: values["held"] != "",
		Rank: count("rank"), AliveVotes: count("alivevotes"), DeadVotes: count("deadvotes"),
	}
	for _, id := range strings.Split(values["candidates"], ",") {
		observation.Candidates = append(observation.Candidates, dffleet.ID(id))
	}
	// The other upstreams are the leader, the draining ones and some without a name.
	listed := append([]dffleet.ID{observation.Leader}, observation.Candidates...)
	if values["draining"] != "" {
		for _, id := range strings.Split(values["draining"], ",") {
			listed = append(listed, dffleet.ID(id))
		}
	}
	slices.Sort(listed)
	for _, id := range slices.Compact(listed) {
		if id != "" {
			observation.Upstreams = append(observation.Upstreams, Upstream{ID: id})
		}
	}
	for n := len(observation.Upstreams); n < count("upstreams"); n++ {
		observation.Upstreams = append(observation.Upstreams, Upstream{ID: dffleet.ID(fmt.Sprint("other", n))})
	}
	return observation
}

func eventOf(t *testing.T, kind string, plain []string, values map[string]string) Event {
	t.Helper()
	var id dffleet.ID
	if len(plain) > 0 {
		id = dffleet.ID(plain[0])
	}
	switch kind {
	case "answered":
		return Answered{ID: id}
	case "connectionfailed":
		return ConnectionFailed{ID: id}
	case "probefailed":
		return ProbeFailed{ID: id, SentAt: sent(t, values)}
	case "status":
		received, err := dfposition.ParsePosition(values["received"])
		require.NoError(t, err)
		return StatusReceived{
			ID: id, Primary: values["primary"] != "", Probe: values["probe"] != "",
			Received: received, AskedAt: sent(t, values),
		}
	case "queryended":
		return QueryEnded{}
	case "claimed":
		return Claimed{Epoch: uint64(number(t, plain[0]))}
	case "claimfailed":
		return ClaimFailed{Claimed: id}
	case "revoked":
		return Revoked{}
	case "revokefailed":
		return RevokeFailed{}
	case "promoteaccepted":
		return PromoteAccepted{}
	case "promotedeclined":
		return PromoteDeclined{}
	case "promoteunanswered":
		return PromoteUnanswered{}
	case "promoterefused":
		return PromoteRefused{}
	}
	require.Failf(t, "unknown line", "%s", kind)
	return nil
}

func sent(t *testing.T, values map[string]string) dfclock.Millis {
	t.Helper()
	if values["sent"] == "" {
		return 0
	}
	return dfclock.Millis(number(t, values["sent"]))
}

func describe(action Action) string {
	switch a := action.(type) {
	case NoAction:
		return "none"
	case Probe:
		if a.Timeout != probeTimeout {
			return fmt.Sprintf("probe %s timeout=%d", a.ID, a.Timeout)
		}
		return "probe " + string(a.ID)
	case QueryAll:
		return "queryall"
	case Claim:
		return "claim " + string(a.Target)
	case Revoke:
		return fmt.Sprintf("revoke %s %d", a.Replaced, a.Epoch)
	case Release:
		return fmt.Sprintf("release %d", a.Epoch)
	case Promote:
		return fmt.Sprintf("promote %s %d", a.Target, a.Epoch)
	}
	return "unknown"
}
