package dfconfig

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
)

// Guards against entries that are called without effect although the freshness of a read
// changes without them, or whether a request may be repeated. Rules and queries are drawn
// from few tables and statements, so that many match.
func TestHiddenEntriesHaveNoEffect(t *testing.T) {
	tables := []string{"a", "b", "c"}
	statements := []string{"select", "select x", "select xy", "select x from a"}
	hidden := 0
	for seed := range seedCount(t) {
		random := rand.New(rand.NewPCG(seed, 5))
		some := func() []string {
			return slices.DeleteFunc(slices.Clone(tables), func(string) bool { return random.IntN(2) == 0 })
		}
		pattern := func() Pattern {
			switch random.IntN(4) {
			case 0:
				return Pattern{Fingerprint: string(rune('a' + random.IntN(2)))}
			case 1:
				return Pattern{Statement: statements[random.IntN(len(statements))]}
			}
			return Pattern{Tables: append(some(), tables[random.IntN(3)])}
		}
		service := Service{SessionMaxAge: 50, Priorities: Priorities{Read: 5}}
		for range 6 {
			rule := ReadRule{Pattern: pattern(), Priority: random.IntN(4) - 1, Strong: random.IntN(3) == 0}
			if !rule.Strong {
				rule.MaxAge = dfclock.Millis(10 * random.IntN(4))
			}
			service.Reads = append(service.Reads, rule)
			service.NoRepeat = append(service.NoRepeat, pattern())
		}
		for _, entry := range service.Hidden() {
			hidden++
			without := service
			if entry.List == "Reads" {
				without.Reads = slices.Delete(slices.Clone(service.Reads), entry.Index, entry.Index+1)
			} else {
				without.NoRepeat = slices.Delete(slices.Clone(service.NoRepeat), entry.Index, entry.Index+1)
			}
			for range 30 {
				query := Query{Text: statements[random.IntN(len(statements))], Tables: some(), Fingerprint: string(rune('a' + random.IntN(3)))}
				before, after := service.Freshness(query), without.Freshness(query)
				if before.Strong && after.Strong {
					// A strong rule takes precedence over any maximum age.
					before.MaxAge, after.MaxAge = 0, 0
				}
				require.Equal(t, before, after, "seed %d: %+v of %+v at %+v", seed, entry, service, query)
				require.Equal(t, service.MayRepeat(query), without.MayRepeat(query), "seed %d: %+v of %+v at %+v", seed, entry, service, query)
			}
		}
	}
	require.Positive(t, hidden)
}
