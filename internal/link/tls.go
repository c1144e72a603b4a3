package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/task"
)

// reloadInterval is the default interval of reading the certificate files.
const reloadInterval = 10 * time.Second

// Certificates is the task that owns the certificate, the key and the certificate
// authority of a process. It reloads the files when they change. Handshakes ask it for
// the current ones, and open links are not affected by a change.
type Certificates struct {
	files   settings.TLS
	mailbox *task.Mailbox[materialQuery]
	current *material
	// ReloadInterval is the interval of reading the files. It must be set before Run.
	ReloadInterval time.Duration
	// ReloadFailed is called if the files cannot be used; the earlier ones stay in use. It may
	// be nil.
	ReloadFailed func(err error)
}

// materialQuery asks for the current files.
type materialQuery struct{ reply chan<- *material }

// material is the parsed content of the three files.
type material struct {
	// contents are the files' bytes: certificate, key, authority.
	contents    [][]byte
	certificate tls.Certificate
	pool        *x509.CertPool
}

// NewCertificates loads the files. It returns nil if the settings ask for plain text.
func NewCertificates(s settings.TLS) (*Certificates, error) {
	if s.PlainText {
		return nil, nil
	}
	c := &Certificates{files: s, mailbox: task.NewMailbox[materialQuery](64, task.Block), ReloadInterval: reloadInterval}
	var err error
	c.current, err = c.load()
	return c, err
}

func (c *Certificates) load() (*material, error) {
	m := new(material)
	for _, file := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read link TLS file")
		}
		m.contents = append(m.contents, data)
	}
	var err error
	if m.certificate, err = tls.X509KeyPair(m.contents[0], m.contents[1]); err != nil {
		return nil, errors.Wrapf(err, "load link certificate %s and key %s", c.files.Certificate, c.files.Key)
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(m.contents[2]) {
		return nil, errors.Errorf("link certificate authority file %s contains no PEM certificate", c.files.Authority)
	}
	return m, nil
}

// Run answers queries and reloads the files until the context ends.
func (c *Certificates) Run(ctx context.Context) error {
	defer c.mailbox.Close()
	ticker := time.NewTicker(c.ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case q := <-c.mailbox.Receive():
			q.reply <- c.current
		case <-ticker.C:
			c.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload replaces the files only together, so that a certificate whose key has not been
// written yet does not take effect.
func (c *Certificates) reload() {
	m, err := c.load()
	switch {
	case err != nil && c.ReloadFailed != nil:
		c.ReloadFailed(err)
	case err == nil && !equalFiles(m.contents, c.current.contents):
		c.current = m
	}
}

func equalFiles(a, b [][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (c *Certificates) fetchMaterial(ctx context.Context) (*material, error) {
	m, ok := task.Ask(ctx, c.mailbox, func(reply chan<- *material) materialQuery { return materialQuery{reply} })
	if !ok {
		return nil, errors.New("get link certificate: process is stopping")
	}
	return m, nil
}

// Server returns the TLS configuration of a listener, which uses the current files for
// each handshake. It returns nil for a nil receiver.
func (c *Certificates) Server() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := c.fetchMaterial(hello.Context())
			if err != nil {
				return nil, err
			}
			config := m.config()
			config.ClientCAs, config.ClientAuth = m.pool, tls.RequireAndVerifyClientCert
			return config, nil
		},
	}
}

// Client returns the TLS configuration for dialling with the current files. It returns
// nil for a nil receiver.
func (c *Certificates) Client(ctx context.Context) (*tls.Config, error) {
	if c == nil {
		return nil, nil
	}
	m, err := c.fetchMaterial(ctx)
	if err != nil {
		return nil, err
	}
	config := m.config()
	// Processes are dialled by IP address and identified by the URI in their
	// certificates, so verifyServer checks the chain without a host name.
	config.InsecureSkipVerify = true
	config.VerifyConnection = m.verifyServer
	return config, nil
}

func (m *material) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: m.pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify peer certificate")
}

func (m *material) config() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{m.certificate},
		MinVersion:   tls.VersionTLS13,
		// WebSocket needs HTTP/1.1.
		NextProtos: []string{"http/1.1"},
		// A resumed session would skip the check of the peer's current certificate.
		SessionTicketsDisabled: true,
	}
}
