package dfhost

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpeer"
	"dragonflygrade/dfplatform"
)

// Settings are what a host learns at start. They don't change while it runs.
type Settings struct {
	// ID names the host in the host list, in slots and in the audit trail.
	ID         string
	DataCentre string

	// CallerAddress, PeerAddress and AdminAddress are "ip:port" to listen on.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// AdvertisedPeerAddress is what peers dial; empty means PeerAddress.
	AdvertisedPeerAddress string

	// TokenKey signs session tokens; PreviousTokenKey is accepted during rotation.
	TokenKey         string
	PreviousTokenKey string

	// Credentials resolves the references of service files.
	Credentials map[string]string
	// ControlPassword belongs to the user of control connections.
	ControlPassword string
	// UpstreamUser and UpstreamPassword open shared connections.
	UpstreamUser     string
	UpstreamPassword string

	// CallerTLS is nil when callers connect without encryption.
	CallerTLS  *tls.Config
	RequireTLS bool
	// PeerServerTLS and PeerClientTLS are both nil or both set.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config

	DrainTimeout time.Duration
	MaxCallers   int

	// Seeds are "ip:port" of other hosts' peer addresses, asked while the
	// platform's host list can't be read; they may be empty.
	Seeds []string
	// OperatorKey lets operators change state at the admin address; empty
	// allows no changes.
	OperatorKey string
	// AdminTLS is nil when the admin address is not encrypted.
	AdminTLS *tls.Config

	// DialUpstream and DialPeer replace the network dialer.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	DialPeer     dfpeer.DialFunc
	Platform     dfplatform.Platform
	// LeaseClock replaces the clock of leases and slots; nil takes the host's.
	LeaseClock func() dfclock.Millis
}

// dialTimeout bounds a connection to an upstream.
const dialTimeout = 2 * time.Second

func (s Settings) withDefaults() Settings {
	if s.DialUpstream == nil {
		s.DialUpstream = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return s
}

// Defaults and limits of settings.
const (
	DefaultDrainTimeout = 20 * time.Second
	DefaultMaxCallers   = 10_000
	minKeyBytes         = 16
	maxDrainTimeout     = 10 * time.Minute
)

// Check returns an error that names every fault.
func (s Settings) Check() error {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if s.ID == "" {
		fault("id is empty: give the host's name in the host list")
	}
	if s.DataCentre == "" {
		fault("data centre is empty: give the data centre of this host")
	}
	for name, address := range map[string]string{
		"caller address": s.CallerAddress, "peer address": s.PeerAddress, "admin address": s.AdminAddress,
	} {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			fault("%s %q: write it as ip:port, for example 127.0.0.1:6432", name, address)
		}
	}
	if len(s.TokenKey) < minKeyBytes {
		fault("token key has %d bytes: use at least %d", len(s.TokenKey), minKeyBytes)
	}
	if s.PreviousTokenKey != "" && len(s.PreviousTokenKey) < minKeyBytes {
		fault("previous token key has %d bytes: use at least %d", len(s.PreviousTokenKey), minKeyBytes)
	}
	if s.DrainTimeout <= 0 || s.DrainTimeout > maxDrainTimeout {
		fault("drain timeout is %s: use a span up to %s", s.DrainTimeout, maxDrainTimeout)
	}
	if s.MaxCallers < 1 {
		fault("caller limit is %d: use at least 1", s.MaxCallers)
	}
	if s.RequireTLS && s.CallerTLS == nil {
		fault("TLS is required of callers but no certificate is given")
	}
	if (s.PeerServerTLS == nil) != (s.PeerClientTLS == nil) {
		fault("TLS between hosts needs certificate, key and authority together")
	}
	if s.Platform == nil {
		fault("no platform is given")
	}
	if len(faults) > 0 {
		return eris.Errorf("host: settings: %s", strings.Join(faults, "; "))
	}
	return nil
}
