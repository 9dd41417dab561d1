package dfcli

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"dragonflygrade/dfhost"
	"dragonflygrade/dfplatform"
	"dragonflygrade/dfremote"
)

// HostCommand runs one host until SIGTERM.
type HostCommand struct {
	ID         string `help:"Name of this host in the host list." required:""`
	DataCentre string `help:"Data centre of this host." required:""`

	CallerAddress     string `help:"ip:port to listen on for callers." default:"127.0.0.1:6432"`
	PeerAddress       string `help:"ip:port to listen on for other hosts." default:"127.0.0.1:6433"`
	AdvertisedAddress string `help:"ip:port at which other hosts reach this one; the peer address if empty."`
	AdminAddress      string `help:"ip:port to listen on for metrics and status." default:"127.0.0.1:6434"`
	PlatformAddress   string `help:"ip:port of the platform." default:"127.0.0.1:6430"`
	Announce          bool   `help:"Enter this host in the host list of a stand-in platform."`

	TokenKey         string `help:"Key that signs session tokens, at least 16 bytes." required:""`
	PreviousTokenKey string `help:"Key that is still accepted during a rotation."`
	UpstreamUser     string `help:"User of shared connections to upstreams." default:"dragonflygrade"`
	UpstreamPassword string `help:"Password of shared connections."`
	ControlPassword  string `help:"Password of control connections."`

	CallerCertificate string `help:"PEM file with the certificate for callers." type:"path"`
	CallerKey         string `help:"PEM file with its key." type:"path"`
	RequireTLS        bool   `help:"Refuse callers without TLS."`
	PeerCertificate   string `help:"PEM file with the certificate for other hosts and the platform." type:"path"`
	PeerKey           string `help:"PEM file with its key." type:"path"`
	PeerAuthority     string `help:"PEM file with the authority of this system's hosts." type:"path"`

	SystemName   string `help:"DNS name in the certificates of this system's hosts." default:"hosts.dragonflygrade"`
	OperatorName string `help:"DNS name in the certificates of this system's operators." default:"operators.dragonflygrade"`
	OperatorKey  string `help:"Key that operators without a certificate give at the admin address."`

	Seeds []string `help:"ip:port of other hosts' peer addresses, asked while the platform's host list can't be read."`

	DrainTimeout time.Duration `help:"Bound of a graceful shutdown." default:"20s"`
	MaxCallers   int           `help:"Limit of caller connections." default:"10000"`
}

// Run runs the host.
func (c *HostCommand) Run(env *environment) error {
	settings := dfhost.Settings{
		ID:                    c.ID,
		DataCentre:            c.DataCentre,
		CallerAddress:         c.CallerAddress,
		PeerAddress:           c.PeerAddress,
		AdminAddress:          c.AdminAddress,
		AdvertisedPeerAddress: c.AdvertisedAddress,
		TokenKey:              c.TokenKey,
		PreviousTokenKey:      c.PreviousTokenKey,
		UpstreamUser:          c.UpstreamUser,
		UpstreamPassword:      c.UpstreamPassword,
		ControlPassword:       c.ControlPassword,
		RequireTLS:            c.RequireTLS,
		DrainTimeout:          c.DrainTimeout,
		MaxCallers:            c.MaxCallers,
		Seeds:                 c.Seeds,
		OperatorKey:           c.OperatorKey,
	}
	platformTLS, err := c.loadCertificates(&settings)
	if err != nil {
		return usageError{err}
	}
	platform, err := dialPlatform(c.PlatformAddress, platformTLS)
	if err != nil {
		return usageError{err}
	}
	defer func() { _ = platform.Close() }()
	settings.Platform = platform
	host, err := dfhost.New(settings)
	if err != nil {
		return usageError{err}
	}
	if err := host.Start(env.ctx); err != nil {
		return err
	}
	if c.Announce {
		c.announce(env.ctx, platform, host, false)
	}
	<-env.ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(env.ctx), 2*c.DrainTimeout)
	defer cancel()
	if c.Announce {
		c.announce(ctx, platform, host, true)
	}
	if cut := host.Shutdown(ctx); cut > 0 {
		return eris.Errorf("%d requests were cut when the drain timeout passed", cut)
	}
	return nil
}

// announce stands for the platform's own bookkeeping of hosts.
func (c *HostCommand) announce(ctx context.Context, platform *dfremote.Client, host *dfhost.Host, remove bool) {
	_ = platform.SetMember(ctx, dfplatform.Member{
		ID: c.ID, Kind: dfplatform.KindHost, DataCentre: c.DataCentre, Address: host.PeerAddress(),
	}, remove)
}

func dialPlatform(address string, config *tls.Config) (*dfremote.Client, error) {
	options := dfremote.Options{Address: address}
	if config != nil {
		options.Credentials = credentials.NewTLS(config)
	}
	return dfremote.Dial(options)
}

// loadCertificates reads the certificates and returns the settings of the
// connection to the platform, or nil.
func (c *HostCommand) loadCertificates(settings *dfhost.Settings) (*tls.Config, error) {
	if c.CallerCertificate != "" {
		files := dfhost.CertificateFiles{Certificate: c.CallerCertificate, Key: c.CallerKey}
		certificates, err := dfhost.LoadCertificates(files)
		if err != nil {
			return nil, eris.Wrap(err, "callers")
		}
		settings.CallerTLS = certificates.Server()
	}
	if c.PeerCertificate == "" {
		return nil, nil
	}
	if c.PeerAuthority == "" {
		return nil, eris.New("other hosts: a certificate needs the authority of this system's hosts beside it")
	}
	files := dfhost.CertificateFiles{Certificate: c.PeerCertificate, Key: c.PeerKey, Authority: c.PeerAuthority}
	certificates, err := dfhost.LoadCertificates(files)
	if err != nil {
		return nil, eris.Wrap(err, "other hosts")
	}
	settings.PeerServerTLS = certificates.MutualServer(c.SystemName)
	settings.PeerClientTLS = certificates.Client(c.SystemName)
	settings.AdminTLS = certificates.OptionalServer(c.OperatorName)
	return certificates.AddressClient(), nil
}
