package dffresh

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfposition"
)

func at(offset int) dfposition.Position {
	return dfposition.Position{Term: 1, Offset: dfposition.Offset(offset)}
}

// Guards against reads that lack a commit which was acknowledged longer ago than
// their staleness bound, for any sequence of commits and proofs.
func TestNeedCoversCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timeline Timeline
		var now dfclock.Millis
		type commit struct {
			at       dfclock.Millis
			position dfposition.Position
		}
		var commits []commit
		end := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += dfclock.Millis(rapid.IntRange(0, 300).Draw(t, "pause"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				end++
				commits = append(commits, commit{now, at(end)})
			case 1:
				asked := max(0, now-dfclock.Millis(rapid.IntRange(0, 400).Draw(t, "delay")))
				timeline.Add(Proof{At: asked, Position: at(end)})
			case 2:
				age := dfclock.Millis(rapid.IntRange(0, 2500).Draw(t, "age"))
				required, ok := timeline.RequiredProof(now, age)
				if !ok {
					continue
				}
				for _, c := range commits {
					if c.at < now-age && required.Position.Less(c.position) {
						t.Fatalf("read at %d with maximum age %d requires %s and lacks the commit %s of %d", now, age, required.Position, c.position, c.at)
					}
				}
			}
		}
	})
}

// Guards against reads that wait for positions which a promotion discarded.
func TestLowerProofDiscardsHigherOnes(t *testing.T) {
	var timeline Timeline
	timeline.Add(Proof{At: 100, Position: at(50)})
	timeline.Add(Proof{At: 200, Position: at(40)})
	required, ok := timeline.RequiredProof(300, 1000)
	require.True(t, ok)
	require.Equal(t, at(40), required.Position)
}

// Guards against requiring a newer proof than the staleness bound needs, which
// would keep reads from replicas that are fresh enough.
func TestOldestSufficientProofIsRequired(t *testing.T) {
	var timeline Timeline
	for i := 1; i <= 20; i++ {
		timeline.Add(Proof{At: dfclock.Millis(100 * i), Position: at(i)})
	}
	required, ok := timeline.RequiredProof(2000, 1500)
	require.True(t, ok)
	require.Equal(t, at(5), required.Position)
	require.Equal(t, dfclock.Millis(1200), timeline.Lag(2000, at(7)), "the first proof not reached is that of 800")
	require.Zero(t, timeline.Lag(2000, at(20)))
	timeline.Discard()
	_, ok = timeline.RequiredProof(2000, 1500)
	require.False(t, ok)
}
