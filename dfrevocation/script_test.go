package dfrevocation

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfposition"
)

// TestScripts runs every case of testdata/revocation.txt. Each case names the
// failure that it guards against.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/revocation.txt")
	require.NoError(t, err)
	for _, text := range strings.Split(string(data), "\ncase ")[1:] {
		name, body, _ := strings.Cut(text, "\n")
		t.Run(name, func(t *testing.T) {
			var now dfclock.Millis
			var tally *Tally
			var voter Voter
			for _, line := range strings.Split(body, "\n") {
				fields := strings.Fields(line)
				if len(fields) == 0 || fields[0] == "guards" {
					continue
				}
				switch fields[0] {
				case "at":
					now = dfclock.Millis(number(t, fields[1]))
				case "tally":
					tally = NewTally(now, fields[1:])
				case "verdict":
					require.Equal(t, fields[1], []string{"pending", "clear", "failed"}[tally.Verdict(now)], "at %s", now)
				case "claim":
					voter = voter.WithClaim(now, Notice{
						Holder: fields[1], Target: dffleet.ID(strings.Trim(fields[2], "-")), Epoch: uint64(number(t, fields[3])),
						Term: dfposition.Term(number(t, fields[4])),
					})
				case "lowest":
					voter = voter.WithLowestEpoch(uint64(number(t, fields[1])))
				case "released":
					voter, _ = voter.WithNotice(now, Notice{
						Holder: fields[1], Epoch: uint64(number(t, fields[2])), Released: true,
					}, 0)
				case "notice":
					notice := Notice{
						Holder: fields[1], Target: dffleet.ID(fields[2]), Epoch: uint64(number(t, fields[3])),
						Term: dfposition.Term(number(t, fields[4])),
					}
					led := dfposition.Term(number(t, strings.TrimPrefix(fields[5], "led=")))
					var reply Reply
					voter, reply = voter.WithNotice(now, notice, led)
					require.Equal(t, fields[6] == "accepted", reply.Accepted, line)
				default:
					tally.Handle(now, eventOf(t, fields))
				}
			}
		})
	}
}

func number(t *testing.T, text string) int {
	t.Helper()
	value, err := strconv.Atoi(text)
	require.NoError(t, err)
	return value
}

func eventOf(t *testing.T, fields []string) Event {
	t.Helper()
	switch fields[0] {
	case "accepted":
		return Accepted{Host: fields[1]}
	case "gone":
		return Gone{Host: fields[1]}
	case "refused":
		return Refused{}
	case "demoted":
		return Demoted{}
	}
	require.Failf(t, "unknown line", "%s", fields)
	return nil
}
