package dfupstream

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"dragonflygrade/dfcheck"
)

// strict makes a failed invariant check panic. Tests set it.
var strict atomic.Bool

var failedChecks = metrics.NewCounter(`dragonflygrade_invariant_failures_total{part="upstream"}`)

// SetStrict makes failed invariant checks panic instead of closing the
// connection. It returns the previous setting.
func SetStrict(on bool) bool {
	return strict.Swap(on)
}

// check reports whether an invariant holds, and counts and logs a failure.
func check(holds bool, text string) bool {
	if holds {
		return true
	}
	failedChecks.Inc()
	dfcheck.Holds(false, "upstream", text)
	if strict.Load() {
		panic("pool: invariant failed: " + text)
	}
	log.Error().Str("invariant", text).Msg("pool: invariant failed, the connection is closed")
	return false
}
