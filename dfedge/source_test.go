package dfedge

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfconnection"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfforward"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfposition"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfstatement"
	"dragonflygrade/dfsuccession"
)

// carrierNetwork connects hosts of two data centres and one upstream in "south". Its
// connections are in memory.
type carrierNetwork struct {
	mu   sync.Mutex
	dead map[string]bool
	// hosts are the edges by ID.
	hosts map[string]*Edge
	// ran has the writes that the upstream ran, as the identity that the connection was
	// opened with and the organisation of the write.
	ran []string
}

// recordingTransport is a connection to the upstream. It answers each statement.
type recordingTransport struct {
	network  *carrierNetwork
	identity string
	pending  []dfstatement.Call
	offset   dfposition.Offset
	state    dfstatement.State
}

func (f *recordingTransport) Send(calls []dfstatement.Call) error {
	f.pending = append(f.pending, calls...)
	return nil
}

func (f *recordingTransport) Receive() (dfstatement.Answer, error) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	next := f.pending[0]
	f.pending = f.pending[1:]
	f.offset++
	answer := dfstatement.Answer{Position: dfposition.Position{Term: 1, Offset: f.offset}}
	switch s := next.Statement.(type) {
	case dfstatement.Begin:
		f.state = dfstatement.InTransaction
	case dfstatement.Rollback:
		f.state = dfstatement.Idle
	case dfstatement.Status:
		answer.Rows = []string{"primary"}
	case dfstatement.Write:
		f.network.ran = append(f.network.ran, f.identity+" "+s.Item)
		answer.Proof = fmt.Sprintf("proof %d", f.offset)
	case dfstatement.Read:
		answer.Proof = fmt.Sprintf("proof %d", f.offset)
	}
	answer.State = f.state
	return answer, nil
}

func (f *recordingTransport) Report(dfstatement.Answer) (dfstatement.Report, error) {
	return dfstatement.Report{Primary: true}, nil
}

func (*recordingTransport) Pending() bool { return false }

func (f *recordingTransport) Deadline(time.Time) error { return nil }

func (f *recordingTransport) Close() error { return nil }

// fakePlatform is a platform that is not used.
type fakePlatform struct {
	dfplatform.Table
	dfplatform.Feeds
	dfplatform.Orders
}

func (fakePlatform) Era() uint64 { return 0 }

// Accept implements Dialect.
func (n *carrierNetwork) Accept(net.Conn) Caller { return nil }

// Open implements Dialect.
func (n *carrierNetwork) Open(_ net.Conn, _, identity, _ string) (dfconnection.Transport, error) {
	return &recordingTransport{network: n, identity: identity, state: dfstatement.Idle}, nil
}

// dial connects to the upstream or to the forwarding port of a host.
func (n *carrierNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	if address == "upstream:1" {
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}
	id, _, _ := strings.Cut(address, ":")
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[id] {
		return nil, eris.New("connection refused")
	}
	go dfforward.NewHandler(n.hosts[id], BootTime).Serve(far)
	return near, nil
}

// kill makes a host refuse connections.
func (n *carrierNetwork) kill(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[id] = true
}

func (n *carrierNetwork) statements() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.ran...)
}

// newCarrierNetwork returns hosts of the data centres north and south that know each
// other. The connection limit of the upstream leaves 6 usable connections.
func newCarrierNetwork(t *testing.T, perDataCentre int, catalog dfcatalog.Catalog) *carrierNetwork {
	t.Helper()
	n := &carrierNetwork{dead: map[string]bool{}, hosts: map[string]*Edge{}}
	var members []dfmember.Host
	for _, dataCentre := range []string{"north", "south"} {
		for i := range perDataCentre {
			id := fmt.Sprintf("%s%d", dataCentre, i)
			members = append(members, dfmember.Host{ID: id, DataCentre: dataCentre, Address: id + ":1"})
		}
	}
	for _, self := range members {
		e, err := New(Options{
			Self: self, CallerAddress: self.ID + ":2", ReadyAddress: self.ID + ":3", ForwardPort: 4,
			GracePeriod: 1000, DrainTimeout: 1000, Platform: fakePlatform{}, Fencing: dfsuccession.PlatformFences{},
			Dialect: n, Dial: n.dial, Now: BootTime,
		}, &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		require.NoError(t, err)
		now := BootTime()
		for _, other := range members {
			e.neighbours.Add(now, other)
		}
		e.catalog = catalog
		e.fleet.Put(now, dffleet.Upstream{
			ID: "u", Born: 1, Service: "orders", Address: "upstream:1", DataCentre: "south", Slots: 4, Primary: true, Version: 1,
		})
		e.reconcile()
		n.hosts[self.ID] = e
		t.Cleanup(func() { e.services["orders"].pools["u"].Close() })
	}
	return n
}

func newCatalog(organisations int) dfcatalog.Catalog {
	routes := []dfcatalog.Route{{Database: "orders", Service: "orders", Freshness: dfcatalog.Strong{}, Timeout: 1000}}
	catalog := dfcatalog.New(1, routes, []dfcatalog.Service{{Name: "orders", ConnectionLimit: 10}}, 1000)
	var all []dfcatalog.Organisation
	for i := range organisations {
		all = append(all, dfcatalog.Organisation{Name: organisationName(i)})
	}
	return catalog.WithOrganisations(all)
}

func organisationName(number int) string {
	return fmt.Sprintf("organisation-%d", number)
}

func (n *carrierNetwork) request(host, organisation string) *routeRequest {
	e := n.hosts[host]
	return &routeRequest{
		service: e.services["orders"], freshness: dfcatalog.Strong{}, organisation: organisation,
		arrivedAt: BootTime(), deadline: BootTime().Add(1000),
	}
}

// route selects a connection as a statement of the organisation does.
func (n *carrierNetwork) route(host string, req *routeRequest) connRoute {
	e := n.hosts[host]
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connRouteTo(BootTime(), req, "u")
}

func (n *carrierNetwork) session(host string) *session {
	route := dfcatalog.Route{Service: "orders", Timeout: 1000}
	return &session{edge: n.hosts[host], route: route, sessionState: dfconnection.NewSessionState()}
}

// write runs a write of the organisation at a host. The item is its name.
func (n *carrierNetwork) write(host, organisation string) dfstatement.Answer {
	call := dfstatement.Call{ID: "i", Text: "t", Statement: dfstatement.Write{Item: organisation}}
	return n.hosts[host].executeWrite(n.session(host), n.request(host, organisation), call)
}

// read runs a read of the organisation at a host.
func (n *carrierNetwork) read(host, organisation string) dfstatement.Answer {
	call := dfstatement.Call{ID: "i", Text: "t", Statement: dfstatement.Read{Item: organisation}}
	return n.hosts[host].executeRead(n.session(host), n.request(host, organisation), call)
}

// Guards against hosts that choose different carriers for an organisation, each of
// which would open a connection for it, and against carriers outside the upstream's
// data centre.
func TestOrganisationsHaveOneCarrier(t *testing.T) {
	n := newCarrierNetwork(t, 6, newCatalog(60))
	count := map[string]int{}
	for i := range 60 {
		chosen := n.route("north0", n.request("north0", organisationName(i))).carrier
		count[chosen]++
		require.True(t, strings.HasPrefix(chosen, "south"))
		for host := range n.hosts {
			require.Equal(t, chosen, n.route(host, n.request(host, organisationName(i))).carrier, "carrier in the view of %s", host)
		}
	}
	require.Len(t, count, dfforward.MaxOrganisationCarriers)
	carriers := 0
	for _, e := range n.hosts {
		plan := e.connectionPlan(BootTime(), e.services["orders"], "u")
		require.Equal(t, 2, e.connectionLimit(BootTime(), e.services["orders"], "u", plan))
		switch e.connectionUse(BootTime(), e.services["orders"], "u", plan) {
		case dfconnection.UseOrganisationCarrier:
			carriers++
		default:
			require.Equal(t, dfconnection.UseNone, e.connectionUse(BootTime(), e.services["orders"], "u", plan))
		}
	}
	require.Equal(t, dfforward.MaxOrganisationCarriers, carriers)
}

// Guards against a statement that fails because its organisation's carrier has no
// connection, and against waiting the full time at each carrier.
func TestNextCarrierByRank(t *testing.T) {
	n := newCarrierNetwork(t, 6, newCatalog(1))
	req := n.request("north0", organisationName(0))
	ranked := dfmember.Rank("u/"+organisationName(0), n.hosts["north0"].neighbours.CarriersIn(BootTime(), "u", "south", 3))
	wait := n.route("north0", req).acquireTimeout
	for i, host := range ranked {
		to := target{connRoute: n.route("north0", req), upstream: "u"}
		require.Equal(t, host.ID, to.carrier)
		require.Equal(t, i < 2, to.hasNext)
		if i > 0 {
			wait += to.acquireTimeout
		}
		require.True(t, req.recordRefusal(to, dfresult.NewError(dfresult.NoConnection, "none")))
		require.Equal(t, i < 2, req.asksNextCarrier(to))
	}
	require.LessOrEqual(t, wait, maxAcquireWait, "all carriers together")
	require.Equal(t, ranked[0].ID, n.route("north0", req).carrier, "a later attempt starts with the first again")
	refused := dfresult.NewError(dfresult.NoConnection, "upstream does not answer").WithRetryAfter(200)
	require.False(t, req.recordRefusal(target{connRoute: n.route("north0", req), upstream: "u"}, refused), "the upstream is the cause")
}

// Guards against statements of one organisation on a connection that was opened for
// another, at the upstream that they all reach through the same carriers.
func TestConnectionsBelongToOrganisations(t *testing.T) {
	n := newCarrierNetwork(t, 6, newCatalog(8))
	var running sync.WaitGroup
	for host := range n.hosts {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := range 40 {
				n.write(host, organisationName((i+len(host))%8))
			}
		}()
	}
	running.Wait()
	ran := n.statements()
	require.Greater(t, len(ran), len(n.hosts)*40/2, "most writes found a connection")
	for _, statement := range ran {
		identity, organisation, _ := strings.Cut(statement, " ")
		require.Equal(t, organisation, identity)
	}
}

// Guards against reports of carriers that do not reach the selection of upstreams, and
// against those of a host that the plan does not name.
func TestReportsReachTheSelection(t *testing.T) {
	n := newCarrierNetwork(t, 6, newCatalog(1))
	e := n.hosts["north0"]
	e.mu.Lock()
	s := e.services["orders"]
	plan := e.connectionPlan(BootTime(), s, "u")
	e.nameCarriers(BootTime(), s, "u", plan)
	e.mu.Unlock()
	for host, carrier := range n.hosts {
		carrier.mu.Lock()
		carrier.services["orders"].pools["u"].SetAdmissionLimit(2, false)
		require.False(t, s.placer.TakesReports("u", host) && strings.HasPrefix(host, "north"))
		carrier.mu.Unlock()
	}
	for range 3 {
		require.True(t, n.write("north0", organisationName(0)).OK())
	}
	require.EqualValues(t, 3, e.counters.reportsReceived.Get())
}

// Guards against a statement that is refused or in doubt because the carrier of its
// organisation died before the statement was sent to it, and against a write that runs
// twice because it was sent to several.
func TestDeadCarrierIsPassedOver(t *testing.T) {
	n := newCarrierNetwork(t, 6, newCatalog(1))
	ranked := func() []dfmember.Host {
		return dfmember.Rank("u/"+organisationName(0), n.hosts["north0"].neighbours.CarriersIn(BootTime(), "u", "south", 3))
	}
	first := ranked()
	n.kill(first[0].ID)
	require.True(t, n.write("north0", organisationName(0)).OK())
	require.NotContains(t, ranked(), first[0])
	require.Equal(t, 1, n.hosts[ranked()[0].ID].services["orders"].pools["u"].Stats().Total(), "the next by rank ran it")
	for _, host := range first {
		n.kill(host.ID)
	}
	require.True(t, n.write("north1", organisationName(0)).OK(), "all carriers died at once")
	require.True(t, n.read("north2", organisationName(0)).OK())
	require.Equal(t, []string{organisationName(0) + " " + organisationName(0), organisationName(0) + " " + organisationName(0)},
		n.statements(), "each write ran once")
}

// Guards against statements that lose a time-out at one host after the other of a data
// centre that is cut off.
func TestCutOffDataCentre(t *testing.T) {
	n := newCarrierNetwork(t, 9, newCatalog(1))
	for id := range n.hosts {
		if strings.HasPrefix(id, "south") {
			n.kill(id)
		}
	}
	e := n.hosts["north0"]
	req := n.request("north0", organisationName(0))
	for range maxLostCarriers {
		to := target{connRoute: n.route("north0", req), upstream: "u"}
		a, err := e.acquire(req, to, 0)
		require.NoError(t, err)
		_, err = e.send(req, a, nil, dfstatement.Call{Statement: dfstatement.Status{}})
		require.Error(t, err)
		require.False(t, a.sent)
		e.abandon(req, a, err)
	}
	require.False(t, req.asksNextCarrier(target{connRoute: connRoute{hasNext: true}, upstream: "u"}), "the read goes elsewhere")
	for i := range 6 {
		e.neighbours.RecordFailure(BootTime(), fmt.Sprintf("south%d:1", i))
	}
	require.True(t, strings.HasPrefix(n.route("north0", req).carrier, "north"))
}

// Guards against another choice of carriers where callers have no keys.
func TestCarriersWithoutOrganisations(t *testing.T) {
	n := newCarrierNetwork(t, 6, newCatalog(0))
	for host, e := range n.hosts {
		s := e.services["orders"]
		plan := e.connectionPlan(BootTime(), s, "u")
		require.Equal(t, dfforward.NewPlan(6, 12, 2), plan)
		carriers := e.neighbours.Carriers(BootTime(), "u", plan.Carriers)
		route := n.route(host, n.request(host, ""))
		require.Empty(t, route.carrier)
		require.Equal(t, maxAcquireWait, route.acquireTimeout)
		_, forwarded := route.source.(carrierSource)
		require.Equal(t, carriers[0].ID != host, forwarded)
		require.Equal(t, e.options.Self.DataCentre, carriers[0].DataCentre)
	}
}
