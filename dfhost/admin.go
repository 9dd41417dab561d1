package dfhost

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclassify"
	"dragonflygrade/dfcontrol"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfholder"
	"dragonflygrade/dfupstream"
)

// adminTimeout bounds the reading of an operator's request.
const adminTimeout = 5 * time.Second

// Status is one host as operators see it.
type Status struct {
	Host        string
	Incarnation string
	DataCentre  string
	Version     uint64
	Draining    bool
	Callers     int
	// LeaseValid is false while the host lease could not be renewed in time.
	LeaseValid bool
	// AuditBuffered counts records that wait for the object store.
	AuditBuffered int
	Services      []string
	// Hosts are the live hosts as this one sees them.
	Hosts []HostStatus
	// Slots are the held slots that this host knows, of all databases.
	Slots  []SlotStatus
	Groups []GroupStatus
}

// HostStatus is one host in the list of another.
type HostStatus struct {
	Host       string
	DataCentre string
	Address    string
	Leaving    bool
}

// SlotStatus is one held slot.
type SlotStatus struct {
	Group dfgroup.ID
	Index int
	Epoch uint64
	Host  string
}

// GroupStatus is one database of which the host holds a slot.
type GroupStatus struct {
	Group dfgroup.ID
	// Slot and Epoch identify the held slot.
	Slot     int
	Epoch    uint64
	Term     uint64
	Primary  dfgroup.UpstreamID
	Complete bool
	Working  int
	// Limit is the connections that the slot may hold to each upstream.
	Limit int
	// Slots and ConnectionLimit are those of the database.
	Slots           int
	ConnectionLimit int
	Upstreams       []UpstreamStatus
}

// UpstreamStatus is one upstream as the host sees it.
type UpstreamStatus struct {
	Upstream    dfgroup.UpstreamID
	DataCentre  string
	Role        dfgroup.Role
	Accepted    uint64
	Flushed     uint64
	Applied     uint64
	Leaving     bool
	Ejected     bool
	ReportAge   int64 `json:"ReportAgeMillis"`
	Connections int
}

func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		h.counters.set.WritePrometheus(w)
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", h.serveReady)
	mux.HandleFunc("GET /status", h.forReaders(h.serveStatus))
	mux.HandleFunc("POST /change", h.serveChange)
	return mux
}

// serveReady answers the balancer: a host takes callers once it has a
// configuration and until it drains.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if h.configuration().Version() == 0 {
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(h.Status()); err != nil {
		h.log.Debug().Err(err).Msg("admin: status not sent")
	}
}

// Status describes the host.
func (h *Host) Status() Status {
	status := Status{
		Host:        h.settings.ID,
		Incarnation: h.incarnation,
		DataCentre:  h.settings.DataCentre,
		Version:     h.configuration().Version(),
		Draining:    h.draining.Load(),
		Callers:     h.wire.Callers(),

		LeaseValid:    h.slots.keeper.valid(),
		AuditBuffered: h.audit.Buffered(),
		Services:      h.configuration().Services(),
	}
	for _, host := range h.members.live() {
		status.Hosts = append(status.Hosts, HostStatus{
			Host: host.ID, DataCentre: host.DataCentre, Address: host.Address, Leaving: host.Leaving,
		})
	}
	status.Slots = h.slots.statuses()
	states := h.slots.states()
	for _, group := range h.configuration().Groups() {
		state, held := states[group]
		if !held {
			continue
		}
		described := groupStatus(h, state)
		database, _ := h.configuration().Database(group)
		described.Slots, described.ConnectionLimit = database.Slots, database.ConnectionLimit
		status.Groups = append(status.Groups, described)
	}
	return status
}

func groupStatus(h *Host, state dfholder.State) GroupStatus {
	view := state.View
	status := GroupStatus{
		Group: view.ID, Slot: state.Slot, Epoch: state.Epoch, Term: uint64(view.Term), Primary: view.Primary,
		Complete: state.Complete, Working: state.InFlight, Limit: state.Limit,
	}
	for _, upstream := range view.Upstreams {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Upstream:    upstream.ID,
			DataCentre:  upstream.DataCentre,
			Role:        upstream.Status.Role,
			Accepted:    uint64(upstream.Status.Accepted),
			Flushed:     uint64(upstream.Status.Flushed),
			Applied:     uint64(upstream.Status.Applied),
			Leaving:     upstream.Leaving,
			Ejected:     upstream.Ejected,
			ReportAge:   int64(h.now().Since(upstream.ReportedAt)),
			Connections: state.Connections[upstream.ID],
		})
	}
	return status
}

// recordControl puts a change in a database group into the audit trail.
func (h *Host) recordControl(event dfcontrol.AuditEvent) {
	kind := dfaudit.KindPromotion
	switch event.Kind {
	case dfcontrol.AuditDiscarded:
		kind = dfaudit.KindDiscarded
	case dfcontrol.AuditLeaving:
		kind = dfaudit.KindUpstream
	}
	h.log.Info().Str("Group", string(event.Group)).Str("Kind", string(event.Kind)).Uint64("Term", uint64(event.Term)).
		Str("Upstream", string(event.Upstream)).Str("Detail", event.Detail).Msg("control: change in a database group")
	h.record(dfaudit.Entry{
		Who: event.Actor, Kind: kind, Service: string(event.Group), To: string(event.Upstream),
		Why: event.Detail, Outcome: string(event.Kind),
	})
}

// leavesBehind tells what a statement leaves in the session of its connection.
func (h *Host) leavesBehind(sql string) dfupstream.State {
	statement := h.classifier.Classify(sql)
	effects := statement.Effects
	if effects.Pins() {
		return dfupstream.Pin
	}
	for _, part := range statement.Parts {
		if part.Effects&dfclassify.EffectSetting != 0 && !replayable(part.Setting) {
			return dfupstream.Pin
		}
	}
	const harmless = dfclassify.EffectCopy | dfclassify.EffectCursor
	if effects&^harmless != 0 {
		return dfupstream.Reset
	}
	return dfupstream.None
}
