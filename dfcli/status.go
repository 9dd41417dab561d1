package dfcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhost"
	"dragonflygrade/dfplatform"
)

// StatusCommand shows the whole system at one look.
type StatusCommand struct {
	OperatorFlags
	Watch  bool          `help:"Look again until interrupted."`
	Period time.Duration `help:"Span between two looks." default:"2s"`
	JSON   bool          `help:"Print one JSON object."`
}

// Overview joins the answers of all hosts.
type Overview struct {
	// Versions has the lowest configuration version of each data centre.
	Versions map[string]uint64
	Hosts    []HostOverview
	Services []string
	// Databases are in order of name.
	Databases []DatabaseOverview
	// Unreachable has what gave no answer, with the reason.
	Unreachable map[string]string
}

// HostOverview is one host.
type HostOverview struct {
	Host          string
	DataCentre    string
	Admin         string
	Version       uint64
	Draining      bool
	Callers       int
	LeaseValid    bool
	AuditBuffered int
	// Slots lists the databases of which the host holds a slot.
	Slots []dfgroup.ID
}

// DatabaseOverview is one database.
type DatabaseOverview struct {
	Database dfgroup.ID
	// Term and Primary are of the highest term that a slot holder knows.
	Term    uint64
	Primary dfgroup.UpstreamID
	Slots   int
	// Holders has the host of each held slot by index.
	Holders map[int]string
	// ConnectionLimit is the limit of each upstream.
	ConnectionLimit int
	Upstreams       []UpstreamOverview
}

// UpstreamOverview is one upstream as the holder with the newest report sees it.
type UpstreamOverview struct {
	dfhost.UpstreamStatus
	// Lag is how far the applied position is behind the primary's.
	Lag uint64
	// Connections are those of all holders that answered.
	Connections int
}

// Run prints the state.
func (c *StatusCommand) Run(env *environment) error {
	platform, err := c.platform()
	if err != nil {
		return err
	}
	defer func() { _ = platform.Close() }()
	for {
		if err := c.once(env, platform); err != nil || !c.Watch {
			return err
		}
		select {
		case <-env.ctx.Done():
			return nil
		case <-time.After(c.Period):
		}
	}
}

func (c *StatusCommand) once(env *environment, platform dfplatform.Platform) error {
	overview, err := c.overview(env.ctx, platform)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(env.out).Encode(overview)
	}
	return overview.WriteText(env.out)
}

func (c *StatusCommand) overview(ctx context.Context, platform dfplatform.Platform) (Overview, error) {
	unreachable := make(map[string]string)
	platformCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	members, err := platform.Members(platformCtx)
	if err != nil {
		unreachable["platform"] = err.Error()
	}
	addresses, err := c.adminAddresses(platformCtx, platform)
	if err != nil {
		return Overview{}, err
	}
	answers, err := c.look(ctx, addresses)
	if err != nil {
		return Overview{}, err
	}
	overview := newOverview(answers, unreachable)
	seen := make(map[string]bool)
	for _, host := range overview.Hosts {
		seen[host.Host] = true
	}
	for _, member := range members {
		if member.Kind == dfplatform.KindHost && !seen[member.ID] && len(c.Hosts) == 0 {
			overview.Unreachable["host "+member.ID] = "in the host list, but no status page answers"
		}
	}
	return overview, nil
}

func newOverview(answers []hostAnswer, unreachable map[string]string) Overview {
	overview := Overview{Unreachable: unreachable}
	overview.Versions, _ = versionsByCentre(answers)
	databases := make(map[dfgroup.ID]*DatabaseOverview)
	services := make(map[string]bool)
	for _, answer := range answers {
		if answer.Fault != "" {
			unreachable["host at "+answer.Address] = answer.Fault
			continue
		}
		status := answer.Status
		host := HostOverview{
			Host: status.Host, DataCentre: status.DataCentre, Admin: answer.Address, Version: status.Version,
			Draining: status.Draining, Callers: status.Callers, LeaseValid: status.LeaseValid, AuditBuffered: status.AuditBuffered,
		}
		for _, service := range status.Services {
			services[service] = true
		}
		for _, slot := range status.Slots {
			known(databases, slot.Group).Holders[slot.Index] = slot.Host
		}
		for _, group := range status.Groups {
			host.Slots = append(host.Slots, group.Group)
			known(databases, group.Group).add(group)
		}
		overview.Hosts = append(overview.Hosts, host)
	}
	for service := range services {
		overview.Services = append(overview.Services, service)
	}
	sort.Strings(overview.Services)
	for _, database := range databases {
		overview.Databases = append(overview.Databases, database.finished(unreachable))
	}
	sort.Slice(overview.Databases, func(i, j int) bool { return overview.Databases[i].Database < overview.Databases[j].Database })
	return overview
}

func known(databases map[dfgroup.ID]*DatabaseOverview, group dfgroup.ID) *DatabaseOverview {
	database, found := databases[group]
	if !found {
		database = &DatabaseOverview{Database: group, Holders: make(map[int]string)}
		databases[group] = database
	}
	return database
}

// add joins what one slot holder reports.
func (d *DatabaseOverview) add(group dfhost.GroupStatus) {
	if group.Term >= d.Term && group.Primary != "" {
		d.Term, d.Primary = group.Term, group.Primary
	}
	d.Slots, d.ConnectionLimit = group.Slots, group.ConnectionLimit
	for _, upstream := range group.Upstreams {
		d.addUpstream(upstream)
	}
}

func (d *DatabaseOverview) addUpstream(upstream dfhost.UpstreamStatus) {
	for i := range d.Upstreams {
		present := &d.Upstreams[i]
		if present.Upstream != upstream.Upstream {
			continue
		}
		present.Connections += upstream.Connections
		if upstream.ReportAge < present.ReportAge {
			present.UpstreamStatus = upstream
		}
		return
	}
	d.Upstreams = append(d.Upstreams, UpstreamOverview{UpstreamStatus: upstream, Connections: upstream.Connections})
}

// silentReport is the age of a report from which an upstream counts as not reached.
const silentReport = 3000

// finished fills in the lag and names the upstreams that do not answer.
func (d *DatabaseOverview) finished(unreachable map[string]string) DatabaseOverview {
	var lead uint64
	for _, upstream := range d.Upstreams {
		if upstream.Upstream == d.Primary {
			lead = upstream.Applied
		}
	}
	for i := range d.Upstreams {
		upstream := &d.Upstreams[i]
		if lead > upstream.Applied {
			upstream.Lag = lead - upstream.Applied
		}
		if upstream.ReportAge > silentReport {
			unreachable["upstream "+string(upstream.Upstream)] = fmt.Sprintf("last report %d ms ago", upstream.ReportAge)
		}
	}
	return *d
}

// WriteText prints the overview as tables.
func (o Overview) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("DATA CENTRE\tVERSION")
	for _, centre := range slices.Sorted(maps.Keys(o.Versions)) {
		line("%s\t%d", centre, o.Versions[centre])
	}
	line("\nHOST\tDATA CENTRE\tVERSION\tCALLERS\tLEASE\tSTATE\tSLOTS")
	for _, host := range o.Hosts {
		lease, state := "valid", "serving"
		if !host.LeaseValid {
			lease = "lapsed"
		}
		if host.Draining {
			state = "draining"
		}
		line("%s\t%s\t%d\t%d\t%s\t%s\t%v", host.Host, host.DataCentre, host.Version, host.Callers, lease, state, host.Slots)
	}
	line("\nDATABASE\tTERM\tPRIMARY\tSLOTS HELD\tHOLDERS")
	for _, database := range o.Databases {
		line("%s\t%d\t%s\t%d/%d\t%s", database.Database, database.Term, database.Primary, len(database.Holders), database.Slots, holders(database.Holders))
	}
	line("\nUPSTREAM\tDATA CENTRE\tROLE\tTERM\tFLUSHED\tAPPLIED\tLAG\tREPORT AGE\tCONNECTIONS\tMARKS")
	for _, database := range o.Databases {
		for _, upstream := range database.Upstreams {
			line("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d ms\t%d/%d\t%s", upstream.Upstream, upstream.DataCentre, upstream.Role,
				upstream.Accepted, upstream.Flushed, upstream.Applied, upstream.Lag, upstream.ReportAge,
				upstream.Connections, database.ConnectionLimit, marks(upstream))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Unreachable)) {
		line("\nNOT REACHED: %s: %s", name, o.Unreachable[name])
	}
	return table.Flush()
}

func holders(byIndex map[int]string) string {
	var held []string
	for _, index := range slices.Sorted(maps.Keys(byIndex)) {
		held = append(held, fmt.Sprintf("%d:%s", index, byIndex[index]))
	}
	return strings.Join(held, " ")
}

func marks(upstream UpstreamOverview) string {
	text := ""
	if upstream.Leaving {
		text += "leaving "
	}
	if upstream.Ejected {
		text += "ejected"
	}
	return text
}
