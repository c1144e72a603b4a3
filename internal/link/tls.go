package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// TLSConfig returns the mutual TLS configuration for both ends of links, or nil
// if the settings ask for plain text.
func TLSConfig(s settings.TLS) (*tls.Config, error) {
	if s.PlainText {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, errors.Wrap(err, "link certificate")
	}
	authority, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "link certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("link certificate authority %s holds no certificate", s.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// WebSocket needs HTTP/1.1.
		NextProtos: []string{"http/1.1"},
	}, nil
}
