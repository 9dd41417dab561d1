package dfcli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dragonflygrade/dfhost"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfstandinplatform"
)

const operatorKey = "operator-key-0123456789"

// system is a platform with one host; its upstreams do not answer.
type system struct {
	store    *dfstandinplatform.Store
	platform string
	host     *dfhost.Host
}

func newSystem(t *testing.T) system {
	t.Helper()
	store := dfstandinplatform.NewStore(dfstandinplatform.Options{})
	server, err := dfstandinplatform.Serve(store, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	platform, err := dialPlatform(server.Address(), nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = platform.Close() })
	host, err := dfhost.New(dfhost.Settings{
		ID: "host-1", DataCentre: "Catania", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		AdminAddress: "127.0.0.1:0", TokenKey: "token-key-0123456789", OperatorKey: operatorKey,
		DrainTimeout: time.Second, MaxCallers: 10, Platform: platform,
	})
	require.NoError(t, err)
	require.NoError(t, host.Start(context.Background()))
	t.Cleanup(host.Kill)
	store.SetMember(dfplatform.Member{
		ID: "host-1", Kind: dfplatform.KindHost, DataCentre: "Catania", Address: host.PeerAddress(),
	}, false)
	return system{store: store, platform: server.Address(), host: host}
}

// command runs a command line and returns its output and exit code.
func (s system) command(arguments ...string) (string, int) {
	var out bytes.Buffer
	env := &environment{ctx: context.Background(), in: strings.NewReader("n\n"), out: &out}
	code := run(env, append(arguments, "--platform-address", s.platform))
	return out.String(), code
}

// file writes a service file with an owner and returns its path.
func file(t *testing.T, service, owner string) string {
	t.Helper()
	example, err := os.ReadFile("../examples/consortium/cork.toml")
	require.NoError(t, err)
	text := strings.Replace(string(example), "cork-orders", service, 1)
	text = strings.Replace(text, "base workshops", owner, 1)
	path := filepath.Join(t.TempDir(), service+".toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestPublishResults guards against exit codes that hide what became of a
// publication, and against a publication that nobody confirmed.
func TestPublishResults(t *testing.T) {
	s := newSystem(t)
	good := file(t, "cork-orders", "first")
	out, code := s.command("publish", good)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "cork-orders added")
	out, code = s.command("publish", good, "--yes", "--wait", "--operator", "ada", "--operator-key", operatorKey)
	require.Equal(t, exitOK, code, out)
	require.Contains(t, out, "version 1 is in force at every host")
	out, code = s.command("publish", good, "--yes")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "no change to version 1")
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("Service = 1\n"), 0o600))
	_, code = s.command("publish", bad, "--yes")
	require.Equal(t, exitUsage, code)
	_, code = s.command("publish", file(t, "cork-orders", "second"), "--yes", "--wait", "--wait-timeout", "300ms")
	require.Equal(t, exitWaiting, code, "the host refuses its status without the operator key")
	s.store.SetFaults(dfstandinplatform.Faults{Outage: dfstandinplatform.OutageRefused})
	_, code = s.command("publish", good, "--yes")
	require.Equal(t, exitUnavailable, code)
}

// TestCheckNeedsNoPlatform guards against a check that can't run beside the code.
func TestCheckNeedsNoPlatform(t *testing.T) {
	_, code := system{platform: "127.0.0.1:1"}.command("publish", "--check", "../examples")
	require.Equal(t, exitOK, code)
}

// TestRacingPublications guards against two publications of one service that
// both win, and against publications of different services that stop each other.
func TestRacingPublications(t *testing.T) {
	s := newSystem(t)
	_, code := s.command("publish", file(t, "cork-orders", "before"), "--yes")
	require.Equal(t, exitOK, code)
	const racers = 4
	same, different := make([]int, racers), make([]int, racers)
	var racing sync.WaitGroup
	for i := range racers {
		owner := string(rune('a' + i))
		contested, own := file(t, "cork-orders", owner), file(t, "service-"+owner, owner)
		racing.Go(func() { _, same[i] = s.command("publish", contested, "--yes", "--operator", owner) })
		racing.Go(func() { _, different[i] = s.command("publish", own, "--yes", "--operator", owner) })
	}
	racing.Wait()
	require.Equal(t, []int{exitOK, exitOK, exitOK, exitOK}, different)
	won := 0
	for _, code := range same {
		require.Contains(t, []int{exitOK, exitConflict}, code)
		if code == exitOK {
			won++
		}
	}
	// Racers that planned after another's publication replace it knowingly.
	require.Positive(t, won)
	out, code := s.command("audit", "--kind", "publication", "--service", "cork-orders", "--json")
	require.Equal(t, exitOK, code)
	require.Equal(t, 1+racers, strings.Count(out, "\n"))
	require.Equal(t, 1+won, strings.Count(out, "accepted as version"))
}

// TestStatus guards against a look that leaves out what can't be reached.
func TestStatus(t *testing.T) {
	s := newSystem(t)
	_, code := s.command("publish", file(t, "cork-orders", "first"), "--yes")
	require.Equal(t, exitOK, code)
	require.Eventually(t, func() bool { return len(s.host.Status().Groups) == 1 }, 20*time.Second, 10*time.Millisecond)
	var overview Overview
	out, code := s.command("status", "--json", "--operator-key", operatorKey)
	require.Equal(t, exitOK, code)
	require.NoError(t, json.Unmarshal([]byte(out), &overview))
	require.Equal(t, map[string]uint64{"Catania": 1}, overview.Versions)
	require.Len(t, overview.Databases, 1)
	require.Equal(t, map[int]string{0: "host-1"}, overview.Databases[0].Holders)
	require.Len(t, overview.Databases[0].Upstreams, 3)
	require.True(t, overview.Hosts[0].LeaseValid)
	out, code = s.command("status", "--hosts", s.host.AdminAddress()+",127.0.0.1:1", "--operator-key", operatorKey)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "NOT REACHED: host at 127.0.0.1:1")
	require.Contains(t, out, "cork-orders/orders")
}

// TestOperators guards against changes by unknown people, and against changes
// that the audit trail does not name a person for.
func TestOperators(t *testing.T) {
	s := newSystem(t)
	_, code := s.command("publish", file(t, "cork-orders", "first"), "--yes")
	require.Equal(t, exitOK, code)
	require.Eventually(t, func() bool { return len(s.host.Status().Groups) == 1 }, 20*time.Second, 10*time.Millisecond)
	for _, key := range []string{"", "wrong"} {
		flags := OperatorFlags{Operator: "mallory", OperatorKey: key}
		client := &http.Client{Timeout: time.Second}
		_, err := flags.send(context.Background(), client, http.MethodPost, "http://"+s.host.AdminAddress()+"/change?group=cork-orders/orders", nil)
		require.ErrorContains(t, err, "401")
	}
	// Without upstreams the change fails, and the attempt is recorded.
	_, code = s.command("change", "cork-orders/orders", "--operator", "ada", "--operator-key", operatorKey)
	require.Equal(t, exitFailed, code)
	require.NoError(t, s.host.FlushAudit(context.Background()))
	out, code := s.command("audit", "--who", "ada", "--kind", "promotion")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "asked for by an operator")
}

// TestBrokenChain guards against a trail with a missing record that passes.
func TestBrokenChain(t *testing.T) {
	s := newSystem(t)
	require.NoError(t, s.host.FlushAudit(context.Background()))
	_, code := s.command("audit")
	require.Equal(t, exitOK, code)
	require.NoError(t, s.store.Put(context.Background(), "audit/host-9/1/000000000002", []byte("{}\n")))
	_, code = s.command("audit")
	require.Equal(t, exitViolation, code)
}

// TestCompletion guards against commands and flags that the script leaves out.
func TestCompletion(t *testing.T) {
	var out bytes.Buffer
	require.Equal(t, exitOK, run(&environment{ctx: context.Background(), out: &out}, []string{"completion"}))
	for _, word := range []string{"--wait-timeout", "standin", "upstream", "--operator-key"} {
		require.Contains(t, out.String(), word)
	}
}
