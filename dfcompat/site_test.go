package dfcompat

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfdemo"
	"dragonflygrade/dfhost"
	"dragonflygrade/dfstandin"
)

// site is a direct upstream and a stack of hosts without delays.
type site struct {
	stack  *dfdemo.Stack
	direct *dfstandin.Upstream
	// holding and forwarding are addresses of a host that holds a slot of the
	// first service and of one that holds none.
	holding, forwarding string
	service             string
}

// Sizes of the site. Limits are high enough that no caller waits for a
// connection, so that only the path itself is compared.
const (
	siteHosts = 4
	siteSlots = 3
	siteLimit = 400
)

func newSite(tb testing.TB) *site {
	tb.Helper()
	deployment, err := dfdemo.NewDeployment("consortium")
	require.NoError(tb, err)
	deployment.Databases, deployment.Slots, deployment.ConnectionLimit, deployment.ConnectTime = 2, siteSlots, siteLimit, 0
	stack, err := dfdemo.NewStack(tb.Context(), deployment, dfdemo.Options{Deployment: "consortium", Hosts: siteHosts, Seed: 1, Unlinked: true})
	tb.Cleanup(stack.Close)
	require.NoError(tb, err)
	direct, err := dfstandin.Start(dfstandin.Options{
		ID: "direct", DataCentre: "Catania", ConnectionLimit: siteLimit,
		Passwords: map[string]string{"clerk": "clerk-password"},
	})
	require.NoError(tb, err)
	tb.Cleanup(direct.Stop)
	s := &site{stack: stack, direct: direct, service: stack.Targets()[0].Service}
	for _, host := range stack.Hosts() {
		if holds(host.Status().Groups, s.service) {
			s.holding = host.CallerAddress()
		} else {
			s.forwarding = host.CallerAddress()
		}
	}
	require.NotEmpty(tb, s.holding)
	require.NotEmpty(tb, s.forwarding)
	return s
}

// paths are the ways to the databases, the direct one first.
func (s *site) paths() []path {
	return []path{
		{name: "direct", address: s.direct.Address(), service: s.service},
		{name: "holding", address: s.holding, service: s.service},
		{name: "forwarding", address: s.forwarding, service: s.service},
	}
}

// path is one way to a database.
type path struct {
	name    string
	address string
	service string
}

func (p path) url(user, password string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, password, p.address, p.service)
}

func (p path) clerk() string {
	return p.url("clerk", "clerk-password")
}

func (p path) connect(tb testing.TB) *pgconn.PgConn {
	tb.Helper()
	conn, err := pgconn.Connect(tb.Context(), p.clerk())
	require.NoError(tb, err, p.name)
	tb.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// stepTimeout bounds one step of a script.
const stepTimeout = 10 * dfclock.Second

func bounded(conn net.Conn) error {
	return conn.SetDeadline(deadline(stepTimeout))
}

// holds reports whether one of the groups belongs to the service.
func holds(groups []dfhost.GroupStatus, service string) bool {
	for _, group := range groups {
		if strings.HasPrefix(string(group.Group), service+"/") {
			return true
		}
	}
	return false
}
