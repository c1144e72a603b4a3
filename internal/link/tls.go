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

// rereadTime is how often the files of a certificate are looked at.
const rereadTime = 10 * time.Second

// Certificates is the task that owns the certificate, the key and the authority
// of a process. It reads the files again when they change; handshakes ask it
// for what holds now, and open links keep what they were opened with.
type Certificates struct {
	files   settings.TLS
	mailbox *task.Mailbox[askMaterial]
	current *material
	// Every is how often the files are looked at.
	Every time.Duration
	// Failed reports files that cannot be used; the earlier ones stay. It may be nil.
	Failed func(err error)
}

type askMaterial struct{ reply chan<- *material }

// material is one consistent reading of the three files.
type material struct {
	raw         [][]byte
	certificate tls.Certificate
	pool        *x509.CertPool
}

// NewCertificates reads the files. It returns nil if the settings ask for plain
// text.
func NewCertificates(s settings.TLS) (*Certificates, error) {
	if s.PlainText {
		return nil, nil
	}
	c := &Certificates{files: s, mailbox: task.NewMailbox[askMaterial](64, task.Block), Every: rereadTime}
	var err error
	c.current, err = c.load()
	return c, err
}

func (c *Certificates) load() (*material, error) {
	m := new(material)
	for _, file := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "link certificate")
		}
		m.raw = append(m.raw, data)
	}
	var err error
	if m.certificate, err = tls.X509KeyPair(m.raw[0], m.raw[1]); err != nil {
		return nil, errors.Wrapf(err, "link certificate %s", c.files.Certificate)
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(m.raw[2]) {
		return nil, errors.Errorf("link certificate authority %s holds no certificate", c.files.Authority)
	}
	return m, nil
}

// Run looks at the files until the context ends.
func (c *Certificates) Run(ctx context.Context) error {
	defer c.mailbox.Close()
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	for {
		select {
		case q := <-c.mailbox.Receive():
			q.reply <- c.current
		case <-ticker.C:
			c.reread()
		case <-ctx.Done():
			return nil
		}
	}
}

// reread takes new files only together, so that a certificate whose key has not
// been written yet does not take effect.
func (c *Certificates) reread() {
	m, err := c.load()
	switch {
	case err != nil && c.Failed != nil:
		c.Failed(err)
	case err == nil && !equalFiles(m.raw, c.current.raw):
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

func (c *Certificates) ask(ctx context.Context) (*material, error) {
	m, ok := task.Ask(ctx, c.mailbox, func(reply chan<- *material) askMaterial { return askMaterial{reply} })
	if !ok {
		return nil, errors.New("link certificates: the process is stopping")
	}
	return m, nil
}

// Server returns the configuration of a listener. Each handshake uses the files
// that hold then. A nil receiver means plain text and gives nil.
func (c *Certificates) Server() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := c.ask(hello.Context())
			if err != nil {
				return nil, err
			}
			config := m.config()
			config.ClientCAs, config.ClientAuth = m.pool, tls.RequireAndVerifyClientCert
			return config, nil
		},
	}
}

// Client returns the configuration for dialling with the files that hold now.
func (c *Certificates) Client(ctx context.Context) (*tls.Config, error) {
	if c == nil {
		return nil, nil
	}
	m, err := c.ask(ctx)
	if err != nil {
		return nil, err
	}
	config := m.config()
	// Processes are dialled by IP address and named by the URI in their
	// certificates, so the chain is checked here without a host name.
	config.InsecureSkipVerify = true
	config.VerifyConnection = m.verifyServer
	return config, nil
}

func (m *material) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: m.pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "peer certificate")
}

func (m *material) config() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{m.certificate},
		MinVersion:   tls.VersionTLS13,
		// WebSocket needs HTTP/1.1.
		NextProtos: []string{"http/1.1"},
		// A resumed session would skip the check of a renewed certificate.
		SessionTicketsDisabled: true,
	}
}
