package dfedge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"dragonflygrade/dfadmission"
	"dragonflygrade/dfcatalog"
	"dragonflygrade/dfclock"
	"dragonflygrade/dffleet"
	"dragonflygrade/dfmember"
	"dragonflygrade/dfplace"
	"dragonflygrade/dfresult"
	"dragonflygrade/dfsuccession"
)

func scrape(e *Edge) string {
	recorder := httptest.NewRecorder()
	e.serveMetrics(recorder, nil)
	return recorder.Body.String()
}

// Guards against metrics that grow with the number of organisations, that lack the limit,
// the use, the refusals or the owner, and that remain after a later version.
func TestMetricsOfLimits(t *testing.T) {
	var organisations []dfcatalog.Organisation
	for i := range 13 {
		organisations = append(organisations, dfcatalog.Organisation{Name: fmt.Sprintf("org-%02d", i), Rate: float64(100 - i), Burst: 2})
	}
	e := newQuotaHosts(t, dfcatalog.New(1, nil, nil, 0).WithOrganisations(organisations), 1)[0]
	request := func(organisation string) *dfresult.Error {
		return e.admitOperation(&routeRequest{organisation: organisation, targetLatency: 50, deadline: e.options.Now().Add(dfclock.Second)})
	}
	require.Eventually(t, func() bool { return request("org-00") == nil && request("org-12") == nil }, 10*time.Second, 10*time.Millisecond)
	for range 400 {
		_ = request("org-11")
	}
	text := scrape(e)
	require.Contains(t, text, `dragonflygrade_edge_quota_limit{organisation="org-00"} 100`)
	require.Contains(t, text, `dragonflygrade_edge_quota_burst{organisation="org-09"} 2`)
	require.Contains(t, text, `dragonflygrade_edge_quota_limit{organisation="(others)"} 267`)
	require.Contains(t, text, `dragonflygrade_edge_quota_owner{organisation="org-09",owner="h0"} 1`)
	require.Regexp(t, `dragonflygrade_edge_quota_window_used\{organisation="org-00"\} [1-9]`, text)
	require.Regexp(t, `dragonflygrade_edge_quota_window_refused\{organisation="\(others\)"\} [1-9]`, text)
	require.NotContains(t, text, `"org-1`)
	e.mu.Lock()
	e.catalog = dfcatalog.New(2, nil, nil, 0).WithOrganisations(organisations[:1])
	e.mu.Unlock()
	require.Eventually(t, func() bool {
		text := scrape(e)
		return !strings.Contains(text, `quota_limit{organisation="(others)"}`) && !strings.Contains(text, `owner{organisation="org-09"`)
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against upstreams whose queue and whose time aside operators do not see.
func TestMetricsOfUpstreams(t *testing.T) {
	n := newCarrierNetwork(t, 6, newCatalog(1))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var e *Edge
	var admission dfadmission.Status
	for _, host := range n.hosts {
		require.NotContains(t, scrape(host), `dragonflygrade_edge_admission_`)
		host.tick(ctx)
		if status, ok := host.services["orders"].pools["u"].Admission(); ok {
			e, admission = host, status
		}
	}
	require.NotNil(t, e, "one of the hosts is a carrier")
	s := e.services["orders"]
	// The tick may have started a status query, which runs for a moment.
	require.Eventually(t, func() bool {
		return strings.Contains(scrape(e), `dragonflygrade_edge_admission_running{service="orders",upstream="u"} 0`)
	}, time.Second, time.Millisecond)
	text := scrape(e)
	require.Contains(t, text, `dragonflygrade_edge_admission_queued{service="orders",upstream="u"} 0`)
	require.Contains(t, text, fmt.Sprintf(`dragonflygrade_edge_admission_limit{service="orders",upstream="u"} %d`, admission.Limit))
	require.NotContains(t, text, "dragonflygrade_edge_pace_aside_seconds")
	e.mu.Lock()
	s.placer = dfplace.New()
	now := e.options.Now()
	for range 200 {
		for _, id := range []dffleet.ID{"u", "v", "w"} {
			s.placer.Put(id, true, 4)
			s.placer.RecordAnswer(now, id, 10)
		}
		s.placer.RecordStatementFailure(now, "u")
	}
	e.mu.Unlock()
	require.Regexp(t, `dragonflygrade_edge_pace_aside_seconds\{service="orders",upstream="u"\} [0-9.]+`, scrape(e))
}

// Guards against refusals and changed owners that no line tells, and against lines for
// each refusal.
func TestLogLinesOfLimits(t *testing.T) {
	var output strings.Builder
	now := 10 * dfclock.Second
	e, err := New(Options{
		Self: dfmember.Host{ID: "h0", DataCentre: "north", Address: "h0:3"}, CallerAddress: "h0:1", ReadyAddress: "h0:2", GracePeriod: dfclock.Second,
		Platform: absentStore{}, Fencing: dfsuccession.PlatformFences{}, Dialect: noDialect{},
		Dial: func(context.Context, string) (net.Conn, error) { return nil, io.EOF },
		Now:  func() dfclock.Millis { return now },
	}, &log.Logger{Writer: &log.IOWriter{Writer: &output}})
	require.NoError(t, err)
	// logged returns the messages of a second, with ticks of 50 ms.
	logged := func() []string {
		output.Reset()
		for end := now + dfclock.Second; now < end; now += 50 {
			e.logLimits(now)
		}
		return regexp.MustCompile(`"(Owner|Used|Refused|message)":"?([^,"}]*)`).FindAllString(output.String(), -1)
	}
	e.adoptLimits(now, dfcatalog.New(1, nil, nil, 0).WithOrganisations([]dfcatalog.Organisation{{Name: "a", Rate: 10, Burst: 1}}))
	e.quota.host.SetHosts([]dfmember.Host{{ID: "h0"}})
	require.Empty(t, logged())
	e.quota.host.SetHosts([]dfmember.Host{{ID: "h1"}})
	require.Equal(t, []string{`"Owner":"h1`, `"message":"quota: owner of a limit changed`}, logged())
	for i := range 40 {
		e.recordUsage("a", i%4 == 0)
	}
	var lines []string
	for range 6 {
		lines = append(lines, logged()...)
	}
	require.Equal(t, []string{`"Used":10`, `"Refused":30`, `"Owner":"h1`, `"message":"quota: operations refused`}, lines)
	for range 6 {
		require.Empty(t, logged())
	}
}
