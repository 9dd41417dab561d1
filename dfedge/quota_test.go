package dfedge

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfneighbour"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfport"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsuccession"
)

var errNoStore = errors.New("the store does not answer")

// absentStore is a platform whose store does not answer.
type absentStore struct{ Platform }

func (absentStore) List(context.Context, string) ([]dfplatform.Row, error) { return nil, errNoStore }

// Guards against owners that never learn of a majority, since contacts do not travel
// between data centres, and against reports that grow where there are no limits.
func TestContactsTravelWhereOrganisationsAre(t *testing.T) {
	catalog := dfcatalog.New(1, nil, nil, 0)
	for _, c := range []dfcatalog.Catalog{catalog, catalog.WithOrganisations([]dfcatalog.Organisation{{Name: "a", Rate: 1}})} {
		e := newQuotaHosts(t, c, 3)[0]
		e.mu.Lock()
		e.neighbours.HandleRequest(e.options.Now(), e.options.Now(), dfmember.Host{ID: "h1", DataCentre: "dc1", Address: "127.0.1.2:1"}, nil)
		e.mu.Unlock()
		report := e.newReport(dfneighbour.Request{}, dfmember.Host{ID: "h2", DataCentre: "dc2", Address: "127.0.1.3:1"}, e.options.Now())
		require.Equal(t, c.HasOrganisations(), len(report.Contacts) > 0)
		require.Equal(t, c.HasOrganisations(), report.QuorumAge >= 0)
	}
}

type noDialect struct{ Dialect }

// newQuotaHosts starts the limits of hosts at 127.0.1.1 and so on, which know each
// other and the organisations, and whose store does not answer.
func newQuotaHosts(t *testing.T, catalog dfcatalog.Catalog, count int) []*Edge {
	t.Helper()
	address, err := dfport.Stable(context.Background(), "127.0.1.1")
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(address)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	hosts := make([]*Edge, count)
	for i := range hosts {
		ip := "127.0.1." + strconv.Itoa(i+1)
		options := Options{
			Self:          dfmember.Host{ID: "h" + strconv.Itoa(i), DataCentre: "dc" + strconv.Itoa(i%3), Address: net.JoinHostPort(ip, "1")},
			CallerAddress: net.JoinHostPort(ip, "1"), ReadyAddress: net.JoinHostPort(ip, "1"), ForwardPort: port - 1,
			GracePeriod: dfclock.Second, Platform: absentStore{}, Fencing: dfsuccession.PlatformFences{},
			Dialect: noDialect{}, Now: BootTime,
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
			},
		}
		hosts[i], err = New(options, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		require.NoError(t, err)
		hosts[i].catalog = catalog
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for _, e := range hosts {
		e.neighbours.MarkComplete()
		for _, other := range hosts {
			e.neighbours.Add(e.options.Now(), other.options.Self)
		}
		go e.quotaLoop(ctx)
	}
	return hosts
}

// pollNeighbours lets hosts poll each other directly, without the loops of a whole host.
func pollNeighbours(ctx context.Context, hosts []*Edge) {
	go func() {
		for ctx.Err() == nil {
			for _, e := range hosts {
				for _, other := range hosts {
					e.mu.Lock()
					e.neighbours.HandleRequest(e.options.Now(), e.options.Now(), other.options.Self, nil)
					e.mu.Unlock()
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// Guards against hosts that count each for itself, against a limit that needs the
// store, and against limits where the organisation has none.
func TestLimitIsSharedByHosts(t *testing.T) {
	catalog := dfcatalog.New(1, nil, nil, 0).WithOrganisations([]dfcatalog.Organisation{
		{Name: "limited", Rate: 20, Burst: 10}, {Name: "free"},
	})
	hosts := newQuotaHosts(t, catalog, 4)
	pollNeighbours(t.Context(), hosts)
	request := func(e *Edge, organisation string) *dfresult.Error {
		return e.admitOperation(&routeRequest{organisation: organisation, targetLatency: 50, deadline: e.options.Now().Add(dfclock.Second)})
	}
	require.Eventually(t, func() bool { return request(hosts[0], "limited") == nil }, 10*time.Second, 50*time.Millisecond)
	for _, e := range hosts {
		require.Eventually(t, func() bool { return request(e, "limited") == nil }, 10*time.Second, 50*time.Millisecond, e.options.Self.ID)
	}
	var refusal *dfresult.Error
	startedAt, admitted := BootTime(), 0
	for i := range 400 {
		require.Nil(t, request(hosts[i%len(hosts)], "free"))
		if failure := request(hosts[i%len(hosts)], "limited"); failure != nil {
			refusal = failure
			continue
		}
		admitted++
	}
	elapsed := float64(BootTime()-startedAt) / float64(dfclock.Second)
	require.LessOrEqual(t, float64(admitted), (20*max(5, elapsed)+10)*1.1+20)
	require.NotNil(t, refusal)
	require.Equal(t, dfresult.OverLimit, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
}
