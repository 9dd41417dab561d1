package dfhost

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// certificatePeriod bounds how often the files are looked at.
const certificatePeriod = time.Second

// CertificateFiles names PEM files. Changed files are read again, so that a
// certificate is replaced without a restart.
type CertificateFiles struct {
	Certificate string
	Key         string
	// Authority signs the certificates of the other side; it may be empty.
	Authority string
}

// Certificates keeps what the files hold. Its methods may be called by several
// goroutines.
type Certificates struct {
	files CertificateFiles
	now   func() time.Time

	mu       sync.Mutex
	loadedAt time.Time
	// changed has the newest change of the files that were read.
	changed     time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// LoadCertificates reads the files once, so that faults show at the start.
func LoadCertificates(files CertificateFiles) (*Certificates, error) {
	c := &Certificates{files: files, now: time.Now}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificates) load() error {
	changed := c.newest()
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return eris.Wrapf(err, "certificate %s", c.files.Certificate)
	}
	authority := x509.NewCertPool()
	if c.files.Authority != "" {
		data, err := os.ReadFile(c.files.Authority)
		if err != nil {
			return eris.Wrapf(err, "authority %s", c.files.Authority)
		}
		if !authority.AppendCertsFromPEM(data) {
			return eris.Errorf("authority %s: the file has no certificate", c.files.Authority)
		}
	}
	c.certificate, c.authority, c.changed = &certificate, authority, changed
	return nil
}

// newest returns when one of the files was last changed.
func (c *Certificates) newest() time.Time {
	var newest time.Time
	for _, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns what the files hold now. Files that can't be read, such as
// while they are being replaced, leave the former certificate in use.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.loadedAt) >= certificatePeriod {
		c.loadedAt = now
		if !c.newest().Equal(c.changed) {
			_ = c.load()
		}
	}
	return c.certificate, c.authority
}

// Server returns the settings of a listener that asks for no certificate.
func (c *Certificates) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.forServer}
}

func (c *Certificates) forServer(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	certificate, _ := c.current()
	return certificate, nil
}

func (c *Certificates) forClient(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	certificate, _ := c.current()
	return certificate, nil
}

// MutualServer returns the settings of a listener whose callers must have a
// certificate of the authority with the DNS name.
func (c *Certificates) MutualServer(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: c.forServer, ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(state tls.ConnectionState) error { return c.verify(state, name) },
	}
}

// OptionalServer is MutualServer for a listener that also takes callers without
// a certificate, which have to identify themselves in another way.
func (c *Certificates) OptionalServer(name string) *tls.Config {
	config := c.MutualServer(name)
	config.ClientAuth = tls.RequestClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return nil
		}
		return c.verify(state, name)
	}
	return config
}

// Client returns the settings of a caller that shows its certificate and
// demands one of the authority with the DNS name.
func (c *Certificates) Client(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetClientCertificate: c.forClient, ServerName: name,
		// Hosts are reached by address, so VerifyConnection checks authority and name.
		InsecureSkipVerify: true, //nolint:gosec // replaced by VerifyConnection
		VerifyConnection:   func(state tls.ConnectionState) error { return c.verify(state, name) },
	}
}

// AddressClient returns the settings of a caller that shows its certificate and
// demands one of the authority for the address that it connects to.
func (c *Certificates) AddressClient() *tls.Config {
	_, authority := c.current()
	return &tls.Config{MinVersion: tls.VersionTLS12, GetClientCertificate: c.forClient, RootCAs: authority}
}

// verify checks the chain up to the authority and the name of the other side.
func (c *Certificates) verify(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("certificate: the other side has none")
	}
	_, authority := c.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: name, Roots: authority, Intermediates: intermediates, CurrentTime: c.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return eris.Wrapf(err, "certificate: not one of %q", name)
}
