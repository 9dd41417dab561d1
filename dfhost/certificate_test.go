package dfhost

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"

	"dragonflygrade/dfclock"
	"dragonflygrade/dfpeer"
	"dragonflygrade/dfproto"
)

const (
	systemName   = "hosts.dragonflygrade"
	operatorName = "operators.dragonflygrade"
)

// authority signs certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key, serial: 1}
}

// issue writes a certificate with the DNS name into the directory.
func (a *authority) issue(t *testing.T, directory, commonName, dnsName string) CertificateFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: commonName}, DNSNames: []string{dnsName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(directory, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return CertificateFiles{
		Certificate: write("certificate.pem", "CERTIFICATE", der),
		Key:         write("key.pem", "EC PRIVATE KEY", keyDER),
		Authority:   write("authority.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

func (a *authority) load(t *testing.T, commonName, dnsName string) *Certificates {
	t.Helper()
	certificates, err := LoadCertificates(a.issue(t, t.TempDir(), commonName, dnsName))
	require.NoError(t, err)
	return certificates
}

// TestMutualTLS guards against hosts of other systems, and operators, that pass
// for hosts of this system, on either side of a connection.
func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	host := ours.load(t, "host-1", systemName)
	cases := map[string]struct {
		server, client *Certificates
		accepted       bool
	}{
		"same system":             {host, ours.load(t, "host-2", systemName), true},
		"operator as caller":      {host, ours.load(t, "ada", operatorName), false},
		"other authority calls":   {host, theirs.load(t, "host-1", systemName), false},
		"other authority answers": {theirs.load(t, "host-1", systemName), host, false},
		"operator answers":        {ours.load(t, "ada", operatorName), host, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test
			require.NoError(t, err)
			server := dfpeer.NewServer(&handler{host: &Host{slots: newSlots(&Host{})}},
				func() dfclock.Millis { return 1 }, credentials.NewTLS(test.server.MutualServer(systemName)))
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			directory := dfpeer.NewDirectory(nil, credentials.NewTLS(test.client.Client(systemName)))
			defer directory.Close()
			peer, err := directory.Peer(listener.Addr().String())
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err = peer.Client().Slots(ctx, &dfproto.SlotsRequest{})
			require.Equal(t, test.accepted, err == nil, "%v", err)
		})
	}
}

// TestCertificateReload guards against certificates that need a restart, and
// against files that are half replaced and end the serving.
func TestCertificateReload(t *testing.T) {
	signer := newAuthority(t)
	directory := t.TempDir()
	files := signer.issue(t, directory, "host-1", systemName)
	certificates, err := LoadCertificates(files)
	require.NoError(t, err)
	clock := time.Now()
	certificates.now = func() time.Time { return clock }
	config := certificates.Server()
	serial := func() int64 {
		clock = clock.Add(certificatePeriod)
		served, err := config.GetCertificate(&tls.ClientHelloInfo{})
		require.NoError(t, err)
		parsed, err := x509.ParseCertificate(served.Certificate[0])
		require.NoError(t, err)
		return parsed.SerialNumber.Int64()
	}
	first := serial()
	touch := func(at time.Time) {
		for _, name := range []string{files.Certificate, files.Key} {
			require.NoError(t, os.Chtimes(name, at, at))
		}
	}
	require.NoError(t, os.WriteFile(files.Certificate, []byte("half"), 0o600))
	touch(clock.Add(time.Minute))
	require.Equal(t, first, serial())
	signer.issue(t, directory, "host-1", systemName)
	touch(clock.Add(2 * time.Minute))
	require.Equal(t, first+1, serial())
}
