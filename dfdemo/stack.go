// Package dfdemo runs hosts and stand-ins in one process, with the delays and
// limits of one of the users' deployments, and drives them with load and faults.
package dfdemo

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"text/template"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfconfig"
	"dragonflygrade/dfgroup"
	"dragonflygrade/dfhost"
	"dragonflygrade/dflink"
	"dragonflygrade/dfload"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfport"
	"dragonflygrade/dfpublish"
	"dragonflygrade/dfstandin"
	"dragonflygrade/dfstandinplatform"
)

// callerSite is the site of the callers in the network of links.
const callerSite = "callers"

// Credentials of the demo; nothing outside of the process accepts them.
const (
	demoUser       = "clerk"
	demoPassword   = "clerk-password"
	demoCredential = "env:DEMO_CLERK" //nolint:gosec // a reference, not a secret
	upstreamUser   = "dragonflygrade"
	demoTokenKey   = "demo-token-key-0123456789" //nolint:gosec // nothing outside of the process accepts it
)

// Deployment is one of the users' deployments.
type Deployment struct {
	Name string
	dfstandin.Deployment
	// CatalogueMaxAge and TicketMaxAge are the declared staleness of reads.
	CatalogueMaxAge dfclock.Millis
	TicketMaxAge    dfclock.Millis
	// Jitter is the upper bound of the extra delay between data centres.
	Jitter dfclock.Millis
}

// NewDeployment returns the deployment with the name.
func NewDeployment(name string) (Deployment, error) {
	switch name {
	case "consortium":
		return Deployment{Name: name, Deployment: dfstandin.Consortium(), CatalogueMaxAge: 10 * dfclock.Second, TicketMaxAge: 2 * dfclock.Second, Jitter: 1}, nil
	case "kovacik":
		return Deployment{Name: name, Deployment: dfstandin.Kovacik(), CatalogueMaxAge: 30 * dfclock.Second, TicketMaxAge: 2 * dfclock.Second, Jitter: 1}, nil
	}
	return Deployment{}, eris.Errorf("deployment %q is not known: use consortium or kovacik", name)
}

// Group is one database with its upstreams.
type Group struct {
	Service   string
	Upstreams []*dfstandin.Upstream
}

// Stack is a running deployment.
type Stack struct {
	deployment Deployment
	options    Options
	network    *dflink.Network
	store      *dfstandinplatform.Store
	groups     []*Group
	hosts      []*dfhost.Host
	settings   []dfhost.Settings
	// retired has the figures of hosts that were replaced.
	retired []dfhost.Figures
	// cut counts the requests that planned stops cut.
	cut int
	// publications counts the publications of the demo itself.
	publications int
	// origin is when the stack was started.
	origin time.Time
}

// NewStack starts platform, upstreams and hosts and puts the services in force.
func NewStack(ctx context.Context, deployment Deployment, options Options) (*Stack, error) {
	s := &Stack{
		deployment: deployment,
		options:    options,
		origin:     time.Now(),
		network:    dflink.New(options.Seed),
		store:      dfstandinplatform.NewStore(dfstandinplatform.Options{MemberLag: options.MemberLag, Seed: options.Seed}),
	}
	if options.Delays {
		s.setDelays()
	}
	for i := range deployment.Databases {
		if err := s.startGroup(i); err != nil {
			return s, err
		}
	}
	if err := s.publish(ctx); err != nil {
		return s, err
	}
	for i := range options.Hosts {
		if err := s.startHost(ctx, i); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(ctx)
}

// dialer connects from a data centre.
func (s *Stack) dialer(centre string) dfstandin.Dial {
	if s.options.Unlinked {
		return (&net.Dialer{}).DialContext
	}
	return s.network.Dialer(centre).Dial
}

func (s *Stack) setDelays() {
	s.network.SetDefaultDelay(dflink.Delay{OneWay: s.deployment.BetweenCentres, Jitter: s.deployment.Jitter, Loss: s.options.Loss})
	for _, centre := range s.deployment.DataCentres {
		s.network.SetDelay(callerSite, centre, dflink.Delay{OneWay: s.deployment.ToCallers})
	}
}

func (s *Stack) startGroup(index int) error {
	service := fmt.Sprintf("%s-%d", s.deployment.Name, index+1)
	group := &Group{Service: service}
	s.groups = append(s.groups, group)
	var first dfgroup.UpstreamID
	for i := range s.deployment.UpstreamsPerGroup {
		// The first primary of each database is in another data centre.
		centre := s.deployment.DataCentres[(i+index)%len(s.deployment.DataCentres)]
		options := dfstandin.Options{
			ID:              dfgroup.UpstreamID(service + "-" + strings.ToLower(centre)),
			DataCentre:      centre,
			Following:       first,
			ConnectionLimit: s.deployment.ConnectionLimit,
			ConnectTime:     s.deployment.ConnectTime,
			ApplyDelay:      s.options.Lag,
			Dial:            s.dialer(centre),
		}
		if i == 0 {
			first = options.ID
		}
		upstream, err := dfstandin.Start(options)
		if err != nil {
			return eris.Wrapf(err, "demo: upstream %s", options.ID)
		}
		group.Upstreams = append(group.Upstreams, upstream)
		s.network.Register(centre, upstream.Address())
		s.store.SetMember(dfplatform.Member{
			ID: string(options.ID), Kind: dfplatform.KindUpstream, DataCentre: centre, Address: upstream.Address(),
		}, false)
	}
	for _, upstream := range group.Upstreams {
		upstream.SetPeers(group.peersOf(upstream))
	}
	return nil
}

func (g *Group) peersOf(upstream *dfstandin.Upstream) []dfstandin.Peer {
	var peers []dfstandin.Peer
	for _, other := range g.Upstreams {
		if other != upstream {
			peers = append(peers, other.Peer())
		}
	}
	return peers
}

var serviceFile = template.Must(template.New("service").Parse(`# Generated by the demo.
Service = "{{.Service}}"
Owner = "demo"
SessionMaxAge = "5s"

[Deadlines]
Read = "4s"
Write = "8s"

[Priorities]
Read = 5
Write = 1

[[Databases]]
Name = "orders"
Slots = {{.Slots}}
ConnectionLimit = {{.Limit}}
{{range .Upstreams}}
[[Databases.Upstreams]]
ID = "{{.ID}}"
DataCentre = "{{.DataCentre}}"
Address = "{{.Address}}"
{{end}}
[[Callers]]
User = "{{.User}}"
CredentialRef = "{{.Credential}}"

[[Reads]]
Tables = ["catalogue"]
MaxAge = "{{.CatalogueMaxAge}}"
Priority = 8

[[Reads]]
Tables = ["tickets"]
MaxAge = "{{.TicketMaxAge}}"
Priority = 3
`))

// serviceText renders the service file of a group.
func (s *Stack) serviceText(group *Group) ([]byte, error) {
	var upstreams []dfstandin.Peer
	for _, upstream := range group.Upstreams {
		upstreams = append(upstreams, upstream.Peer())
	}
	var text bytes.Buffer
	err := serviceFile.Execute(&text, map[string]any{
		"Service": group.Service, "Slots": s.deployment.Slots, "Limit": s.deployment.ConnectionLimit,
		"Upstreams": upstreams, "User": demoUser, "Credential": demoCredential,
		"CatalogueMaxAge": dfconfig.FormatDuration(s.deployment.CatalogueMaxAge),
		"TicketMaxAge":    dfconfig.FormatDuration(s.deployment.TicketMaxAge),
	})
	return text.Bytes(), eris.Wrap(err, "demo: service file")
}

// publish puts the services in force as version 1.
func (s *Stack) publish(ctx context.Context) error {
	var files []dfconfig.File
	for _, group := range s.groups {
		text, err := s.serviceText(group)
		if err != nil {
			return err
		}
		files = append(files, dfconfig.File{Name: group.Service + ".toml", Data: text})
	}
	_, err := s.publishFiles(ctx, files)
	return err
}

// publishFiles puts service files in force as the next version.
func (s *Stack) publishFiles(ctx context.Context, files []dfconfig.File) (dfpublish.Published, error) {
	s.publications++
	trail := dfpublish.NewTrail("demo", strconv.Itoa(s.publications))
	publisher, err := dfpublish.New(s.store, dfpublish.Options{
		Author: "demo",
		Random: rand.New(rand.NewPCG(s.options.Seed, uint64(s.publications))),
		Sleep:  dfplatform.Pause,
		Audit:  dfaudit.NewWriter(trail, s.store, unixMillis, dfplatform.Pause),
	})
	if err != nil {
		return dfpublish.Published{}, err
	}
	services, err := publisher.Check(ctx, files)
	if err != nil {
		return dfpublish.Published{}, err
	}
	plan, err := publisher.Plan(ctx, services, nil)
	if err != nil {
		return dfpublish.Published{}, err
	}
	return publisher.Publish(ctx, plan)
}

func unixMillis() dfclock.Millis {
	return dfclock.Millis(time.Now().UnixMilli())
}

func (s *Stack) startHost(ctx context.Context, index int) error {
	centre := s.deployment.DataCentres[index%len(s.deployment.DataCentres)]
	dial := s.dialer(centre)
	var addresses [3]string
	for i := range addresses {
		address, err := dfport.Stable(ctx, "127.0.0.1")
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	settings := dfhost.Settings{
		ID:            fmt.Sprintf("host-%d", index+1),
		DataCentre:    centre,
		CallerAddress: addresses[0],
		PeerAddress:   addresses[1],
		AdminAddress:  addresses[2],
		TokenKey:      demoTokenKey,
		Credentials:   map[string]string{demoCredential: demoPassword},
		UpstreamUser:  upstreamUser,
		DrainTimeout:  dfhost.DefaultDrainTimeout,
		MaxCallers:    dfhost.DefaultMaxCallers,
		Platform:      s.store,
		DialUpstream:  dial,
		LeaseClock:    s.leaseClock(),
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		},
	}
	host, err := dfhost.New(settings)
	if err != nil {
		return err
	}
	if err := host.Start(ctx); err != nil {
		return err
	}
	settings.CallerAddress, settings.PeerAddress, settings.AdminAddress = host.CallerAddress(), host.PeerAddress(), host.AdminAddress()
	s.hosts = append(s.hosts, host)
	s.settings = append(s.settings, settings)
	s.admit(host, settings)
	return nil
}

// leaseClock returns a faster clock of leases, or nil.
func (s *Stack) leaseClock() func() dfclock.Millis {
	if s.options.LeaseRate <= 1 {
		return nil
	}
	return func() dfclock.Millis {
		return dfclock.Second + dfclock.Millis(time.Since(s.origin).Milliseconds()*int64(s.options.LeaseRate))
	}
}

// stopHost stops a host gracefully, as the platform would before it replaces
// the machine, and returns the number of requests that were cut.
func (s *Stack) stopHost(ctx context.Context, index int) int {
	member := dfplatform.Member{
		ID: s.settings[index].ID, Kind: dfplatform.KindHost,
		DataCentre: s.settings[index].DataCentre, Address: s.hosts[index].PeerAddress(), Leaving: true,
	}
	s.store.SetMember(member, false)
	cut := s.hosts[index].Shutdown(ctx)
	s.store.SetMember(member, true)
	s.retired = append(s.retired, s.hosts[index].Figures())
	s.cut += cut
	return cut
}

// killHost ends a host as a crash would.
func (s *Stack) killHost(index int) {
	s.hosts[index].Kill()
	s.retired = append(s.retired, s.hosts[index].Figures())
}

// restartHost starts a new process of a host that was stopped or killed, at the
// same addresses.
func (s *Stack) restartHost(ctx context.Context, index int) error {
	host, err := dfhost.New(s.settings[index])
	if err != nil {
		return err
	}
	if err := host.Start(ctx); err != nil {
		return err
	}
	s.hosts[index] = host
	s.admit(host, s.settings[index])
	return nil
}

// admit makes a host known to links and platform.
func (s *Stack) admit(host *dfhost.Host, settings dfhost.Settings) {
	s.network.Register(settings.DataCentre, host.CallerAddress())
	s.network.Register(settings.DataCentre, host.PeerAddress())
	s.store.SetMember(dfplatform.Member{
		ID: settings.ID, Kind: dfplatform.KindHost, DataCentre: settings.DataCentre, Address: host.PeerAddress(),
	}, false)
}

// readyTimeout bounds the start of a stack.
const readyTimeout = 20 * time.Second

// awaitReady waits until every slot is held.
func (s *Stack) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		held := s.heldSlots()
		if held >= s.deployment.Databases*min(s.deployment.Slots, len(s.hosts)) {
			return s.awaitIntroduced(ctx)
		}
		if time.Now().After(deadline) {
			return eris.Errorf("demo: %d slots held after %s", held, readyTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// introductionTimeout is a little longer than a holder of a slot that was vacant
// waits for holders which it does not know yet.
const introductionTimeout = 6 * time.Second

// awaitIntroduced waits until the slot holders know each other. Until then they
// hold back acknowledgements.
func (s *Stack) awaitIntroduced(ctx context.Context) error {
	deadline := time.Now().Add(introductionTimeout)
	for !s.introduced() && time.Now().Before(deadline) {
		if !wait(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

// introduced reports whether every slot holder has leases from all others.
func (s *Stack) introduced() bool {
	for _, host := range s.hosts {
		for _, group := range host.Status().Groups {
			if !group.Complete {
				return false
			}
		}
	}
	return true
}

// heldSlots counts the slots that hosts serve.
func (s *Stack) heldSlots() int {
	held := 0
	for _, host := range s.hosts {
		held += len(host.Status().Groups)
	}
	return held
}

// Targets lists the services for the load tool.
func (s *Stack) Targets() []dfload.Target {
	var targets []dfload.Target
	for _, group := range s.groups {
		target := dfload.Target{Service: group.Service, User: demoUser, Password: demoPassword}
		for _, host := range s.hosts {
			target.Hosts = append(target.Hosts, host.CallerAddress())
		}
		targets = append(targets, target)
	}
	return targets
}

// Close ends everything.
func (s *Stack) Close() {
	for _, host := range s.hosts {
		host.Kill()
	}
	for _, group := range s.groups {
		for _, upstream := range group.Upstreams {
			upstream.Stop()
		}
	}
	s.network.Close()
}

// Hosts lists the running hosts.
func (s *Stack) Hosts() []*dfhost.Host {
	return s.hosts
}
