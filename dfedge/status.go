package dfedge

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"dragonflygrade/dfadmission"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfquota"
)

// ownerLogInterval bounds the log lines about changed owners of limits.
const ownerLogInterval = dfclock.Second

// limitStatus is what operators see of the limits at this host. e.quota.mu guards it.
type limitStatus struct {
	// usage has the operations of the last window by label.
	usage map[string]*dfquota.Usage
	// limits has the limits by label. Those of the others are summed up.
	limits map[string]dfquota.Limit
	// owners has the owners of the named organisations as logged at ownersAt.
	owners   map[string]string
	ownersAt dfclock.Millis
	// refusalsAt is when refusals were last logged.
	refusalsAt dfclock.Millis
}

func newLimitStatus() limitStatus {
	return limitStatus{usage: map[string]*dfquota.Usage{}, owners: map[string]string{}}
}

// limitWindow returns the window of the limits.
func (e *Edge) limitWindow() dfclock.Millis {
	if window := e.options.LimitTolerance.Window; window > 0 {
		return window
	}
	return dfquota.DefaultTolerance().Window
}

// recordUsage counts an operation in the last window. e.quota.mu must be held.
func (e *Edge) recordUsage(organisation string, admitted bool) {
	q := e.quota
	if !q.named[organisation] {
		organisation = otherOrganisations
	}
	usage := q.status.usage[organisation]
	if usage == nil {
		usage = dfquota.NewUsage(e.limitWindow())
		q.status.usage[organisation] = usage
	}
	usage.Record(e.options.Now(), admitted)
}

// logLimits logs the named organisations whose owner changed, and the refusals of the
// last window. e.quota.mu must be held.
func (e *Edge) logLimits(now dfclock.Millis) {
	q := e.quota
	if now-q.status.ownersAt >= ownerLogInterval {
		q.status.ownersAt = now
		for _, name := range slices.Sorted(maps.Keys(q.named)) {
			owner, _ := q.host.OwnerOf(name)
			if before, known := q.status.owners[name]; known && before != owner {
				e.log.Info().Str("Organisation", name).Str("Before", before).Str("Owner", owner).Msg("quota: owner of a limit changed")
			}
			q.status.owners[name] = owner
		}
	}
	if now-q.status.refusalsAt < e.limitWindow() {
		return
	}
	q.status.refusalsAt = now
	for _, name := range slices.Sorted(maps.Keys(q.status.usage)) {
		if used, refused := q.status.usage[name].Within(now); refused > 0 {
			e.log.Info().Str("Organisation", name).Float64("Limit", q.status.limits[name].Rate).Int("Used", used).Int("Refused", refused).
				Str("Owner", q.status.owners[name]).Msg("quota: operations refused")
		}
	}
}

// adoptStatus drops what is known of organisations that have no metrics of their own any
// more, and sums up the limits. e.quota.mu must be held.
func (q *quota) adoptStatus(limits map[string]dfquota.Limit) {
	q.status.limits = map[string]dfquota.Limit{}
	for name, limit := range limits {
		if !q.named[name] {
			name = otherOrganisations
		}
		sum := q.status.limits[name]
		sum.Rate += limit.Rate
		sum.Burst += limit.Burst
		q.status.limits[name] = sum
	}
	for name := range q.status.usage {
		if _, ok := q.status.limits[name]; !ok {
			delete(q.status.usage, name)
		}
	}
	for name := range q.status.owners {
		if !q.named[name] {
			delete(q.status.owners, name)
		}
	}
}

// status returns the metrics of the limits and the upstreams. They are not written to the
// client directly, because a slow one would hold the lock that requests need.
func (e *Edge) status() []byte {
	var buffer bytes.Buffer
	e.writeLimits(&buffer)
	e.writeUpstreams(&buffer)
	return buffer.Bytes()
}

// writeLimits writes the metrics of the limits.
func (e *Edge) writeLimits(w io.Writer) {
	q := e.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	now := e.options.Now()
	for _, name := range slices.Sorted(maps.Keys(q.status.limits)) {
		limit := q.status.limits[name]
		label := fmt.Sprintf("{organisation=%q}", name)
		metrics.WriteGaugeFloat64(w, "dragonflygrade_edge_quota_limit"+label, limit.Rate)
		metrics.WriteGaugeFloat64(w, "dragonflygrade_edge_quota_burst"+label, limit.Burst)
		used, refused := 0, 0
		if usage := q.status.usage[name]; usage != nil {
			used, refused = usage.Within(now)
		}
		metrics.WriteGaugeUint64(w, "dragonflygrade_edge_quota_window_used"+label, uint64(used))
		metrics.WriteGaugeUint64(w, "dragonflygrade_edge_quota_window_refused"+label, uint64(refused))
		if !q.named[name] {
			continue
		}
		if owner, ok := q.host.OwnerOf(name); ok {
			metrics.WriteGaugeUint64(w, fmt.Sprintf("dragonflygrade_edge_quota_owner{organisation=%q,owner=%q}", name, owner), 1)
		}
	}
}

// upstreamStatus is what operators see of an upstream.
type upstreamStatus struct {
	service string
	id      dffleet.ID
	pool    *dfconnection.Pool
	// isAside is true if the upstream is set aside for the remaining time.
	isAside   bool
	remaining dfclock.Millis
}

// upstreamStatuses returns the status of all upstreams by service and ID.
func (e *Edge) upstreamStatuses() []upstreamStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	var statuses []upstreamStatus
	for _, name := range slices.Sorted(maps.Keys(e.services)) {
		s := e.services[name]
		for _, id := range slices.Sorted(maps.Keys(s.pools)) {
			remaining, ok := s.placer.AsideFor(now, id)
			statuses = append(statuses, upstreamStatus{name, id, s.pools[id], ok, remaining})
		}
	}
	return statuses
}

// writeUpstreams writes the metrics of the upstreams. Limits of the pace have gauges.
func (e *Edge) writeUpstreams(w io.Writer) {
	for _, status := range e.upstreamStatuses() {
		label := fmt.Sprintf("{service=%q,upstream=%q}", status.service, status.id)
		if status.isAside {
			metrics.WriteGaugeFloat64(w, "dragonflygrade_edge_pace_aside_seconds"+label, float64(status.remaining)/float64(dfclock.Second))
		}
		if admission, ok := status.pool.Admission(); ok {
			writeAdmission(w, label, admission)
		}
	}
}

func writeAdmission(w io.Writer, label string, admission dfadmission.Status) {
	metrics.WriteGaugeUint64(w, "dragonflygrade_edge_admission_queued"+label, uint64(max(0, admission.Queued)))
	metrics.WriteGaugeUint64(w, "dragonflygrade_edge_admission_running"+label, uint64(max(0, admission.Running)))
	metrics.WriteGaugeUint64(w, "dragonflygrade_edge_admission_limit"+label, uint64(max(0, admission.Limit)))
}
