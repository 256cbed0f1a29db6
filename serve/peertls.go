package serve

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// RequireAuthority makes both sides of a peer connection present a certificate
// signed by the authority. Host names are not verified, since boxes come and go.
func RequireAuthority(config *tls.Config, authority *x509.CertPool) {
	config.ClientAuth = tls.RequireAnyClientCert
	// The standard verification includes the host name; VerifyConnection replaces it.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return errors.Wrap(err, "peer certificate")
	}
}
