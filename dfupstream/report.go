package dfupstream

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"dragonflygrade/dfclock"
)

var (
	silentRequests = metrics.NewCounter(`dragonflygrade_silent_connections_total{found="request"}`)
	silentSuspects = metrics.NewCounter(`dragonflygrade_silent_connections_total{found="probe"}`)
	suspectsProbed = metrics.NewCounter(`dragonflygrade_suspects_probed_total`)
)

// failureLog logs the first failed opening and then a summary at intervals.
type failureLog struct {
	mu sync.Mutex
	// logged is true after the first line; loggedAt is the time of the last.
	logged   bool
	loggedAt dfclock.Millis
	// count has the failures since the last line.
	count int
}

// note counts a failure and reports whether it was logged.
func (f *failureLog) note(now dfclock.Millis, address, reason string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if f.logged && now.Since(f.loggedAt) < failureLogPeriod {
		return false
	}
	log.Warn().Str("upstream", address).Int("count", f.count).Str("reason", reason).Msg("pool: opening failed")
	f.logged, f.loggedAt, f.count = true, now, 0
	return true
}
