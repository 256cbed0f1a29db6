package lab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/examples"
	"github.com/willowwick/willowwick/serve"
	"github.com/willowwick/willowwick/standin"
)

// authority signs certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &authority{key: key, cert: cert}
}

// peerConfig returns a TLS configuration with a certificate from this authority that trusts the other authority.
func (a *authority) peerConfig(t *testing.T, trusted *authority) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "box"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(trusted.cert)
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}}}
	serve.RequireAuthority(config, pool)
	return config
}

// TestPeersOverTLS: daemons with certificates from one authority form a fleet; one with another authority's cannot
// join.
func TestPeersOverTLS(t *testing.T) {
	ours, stranger := newAuthority(t), newAuthority(t)
	f, closeFleet, err := NewFleet(Options{
		Network: Loopback{}, Boxes: 2, Halls: 2, Runners: 1, Slots: 4,
		Versions: map[willowwick.VersionID]standin.VersionBehaviour{"run-large-1": {Quality: 1}},
		Settings: serve.Settings{PeerTLS: ours.peerConfig(t, ours)},
	})
	require.NoError(t, err)
	defer closeFleet()
	require.NoError(t, f.Apply(examples.Declarations))
	require.NoError(t, f.WaitReady(readyTimeout))

	f.options.Settings.PeerTLS = stranger.peerConfig(t, stranger)
	outside := &Box{ID: "outside", Hall: "hall-a", fleet: f}
	require.NoError(t, outside.Start())
	defer outside.Kill()
	time.Sleep(3 * time.Second)
	for _, box := range f.Boxes {
		for _, live := range box.Daemon.Status().Live {
			require.NotEqual(t, outside.ID, live.Box)
		}
	}
}
