package dfport

import (
	"context"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that cannot start again because a caller's connection has
// taken their port meanwhile: the port must not be one that outgoing connections
// are given.
func TestStable(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	first, err := strconv.Atoi(strings.Fields(string(data))[0])
	require.NoError(t, err)
	require.Greater(t, first, lastPort)
	address, err := Stable(context.Background(), "127.0.0.1")
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(address)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	require.GreaterOrEqual(t, port, firstPort)
	require.Less(t, port, lastPort)
}

// Guards against a wrong notion of the fault: a dial from the port that it goes
// to connects to itself although nobody listens there.
func TestDialConnectsToItself(t *testing.T) {
	address, err := Stable(context.Background(), "127.0.0.1")
	require.NoError(t, err)
	local, err := net.ResolveTCPAddr("tcp4", address)
	require.NoError(t, err)
	conn, err := (&net.Dialer{LocalAddr: local}).DialContext(context.Background(), "tcp4", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = net.Listen("tcp4", address)
	require.Error(t, err, "the host cannot come back")
}

// Guards against a stopped host's port that another test takes meanwhile.
func TestStoppedHostKeepsItsPort(t *testing.T) {
	address, err := Stable(context.Background(), "127.0.0.1")
	require.NoError(t, err)
	_, text, err := net.SplitHostPort(address)
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	// The garbage collector closes sockets that are not referenced.
	runtime.GC()
	runtime.GC()
	_, err = between(context.Background(), port, port+1, "127.0.0.1")
	require.Error(t, err, "%s was given twice", address)
}

// Guards against hosts that get one port for several addresses of which one is taken.
func TestStablePort(t *testing.T) {
	ips := []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"}
	port, err := StablePort(context.Background(), ips...)
	require.NoError(t, err)
	for _, ip := range ips {
		_, err := between(context.Background(), port, port+1, "127.0.0.1", ip)
		require.Error(t, err, ip)
	}
	_, err = between(context.Background(), port, port+1, "127.0.0.1")
	require.NoError(t, err, "a port that is not given stays free")
}
