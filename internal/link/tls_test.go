package link_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	mathrand "math/rand/v2"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// authority signs the certificates of one test.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{t: t, key: key, certificate: certificate, serial: 1}
}

// issue writes the certificate, key and authority files of a process with the identity.
func (a *authority) issue(dir, identity string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(a.t, err)
	uri, err := url.Parse(identity)
	must.NoError(a.t, err)
	a.serial++
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), URIs: []*url.URL{uri}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.certificate, &key.PublicKey, a.key)
	must.NoError(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(a.t, err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		must.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return settings.TLS{
		Certificate: write("certificate.pem", "CERTIFICATE", der), Key: write("key.pem", "PRIVATE KEY", private),
		Authority: write("authority.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

// tlsPeer is one process with links over TLS.
type tlsPeer struct {
	config       link.Config
	certificates *link.Certificates
	events       chan link.Event
	closed       chan string
}

func newTLSPeer(ctx context.Context, t *testing.T, files settings.TLS, hello message.Hello) *tlsPeer {
	c, err := codec.New()
	must.NoError(t, err)
	p := &tlsPeer{events: make(chan link.Event, 64), closed: make(chan string, 64)}
	p.certificates, err = link.NewCertificates(files)
	must.NoError(t, err)
	p.certificates.ReloadInterval = time.Millisecond
	go func() { _ = p.certificates.Run(ctx) }()
	hello.Version = message.ProtocolVersion
	p.config = link.Config{
		Codec: c, Clock: hlc.New(time.Now), Hello: func() message.Hello { return hello },
		Accepts: func(message.Role, message.Kind) bool { return true },
		Deliver: func(_ context.Context, event link.Event) { p.events <- event },
		Closed: func(reason string) {
			select {
			case p.closed <- reason:
			default:
			}
		},
	}
	return p
}

func (p *tlsPeer) listen(ctx context.Context, t *testing.T) string {
	server := httptest.NewUnstartedServer(link.Accept(ctx, p.config))
	server.TLS = p.certificates.Server()
	server.StartTLS()
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "https://")
}

func (p *tlsPeer) dial(ctx context.Context, address string) {
	d := &link.Dialer{Config: p.config, Address: address, Network: network.System{}, TLS: p.certificates, Random: mathrand.New(mathrand.NewPCG(1, 1))}
	go func() { _ = d.Run(ctx) }()
}

var (
	entryHello   = message.Hello{Role: message.RoleEntry, Domain: "ragusa", Instance: "entry-0"}
	sidecarHello = message.Hello{Role: message.RoleSidecar, Domain: "catania", Instance: "sidecar-0"}
)

// Guards against processes that claim another role, failure domain or instance than
// their certificate names.
func TestCertificateMustMatchHello(t *testing.T) {
	a := newAuthority(t)
	for identity, opens := range map[string]bool{
		"anvilpoint://entry/ragusa/entry-0":   true,
		"anvilpoint://sidecar/ragusa/entry-0": false,
		"anvilpoint://entry/catania/entry-0":  false,
		"anvilpoint://entry/ragusa/entry-1":   false,
	} {
		ctx, cancel := context.WithCancel(context.Background())
		server := newTLSPeer(ctx, t, a.issue(t.TempDir(), "anvilpoint://sidecar/catania/sidecar-0"), sidecarHello)
		client := newTLSPeer(ctx, t, a.issue(t.TempDir(), identity), entryHello)
		client.dial(ctx, server.listen(ctx, t))
		if opens {
			must.Eq(t, link.Up, (<-server.events).Kind)
		} else {
			must.Eq(t, "incompatible", <-server.closed)
		}
		cancel()
	}
}

// Guards against links to a peer whose certificate is from another authority.
func TestOtherAuthorityIsRefused(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := newTLSPeer(ctx, t, newAuthority(t).issue(t.TempDir(), "anvilpoint://sidecar/catania/sidecar-0"), sidecarHello)
	address := server.listen(ctx, t)
	config, err := newTLSPeer(ctx, t, newAuthority(t).issue(t.TempDir(), "anvilpoint://entry/ragusa/entry-0"), entryHello).certificates.Client(ctx)
	must.NoError(t, err)
	_, err = tlsDial(address, config)
	must.ErrorContains(t, err, "peer certificate")
}

// Guards against renewed certificates that take effect only after a restart, and against
// partly written files that take effect.
func TestRenewedCertificateIsUsed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := newAuthority(t)
	dir := t.TempDir()
	server := newTLSPeer(ctx, t, a.issue(dir, "anvilpoint://sidecar/catania/sidecar-0"), sidecarHello)
	address := server.listen(ctx, t)
	client := newTLSPeer(ctx, t, a.issue(t.TempDir(), "anvilpoint://entry/ragusa/entry-0"), entryHello)
	serial := func() int64 {
		config, err := client.certificates.Client(ctx)
		must.NoError(t, err)
		state, err := tlsDial(address, config)
		must.NoError(t, err)
		return state.PeerCertificates[0].SerialNumber.Int64()
	}
	must.Eq(t, 2, serial())
	must.NoError(t, os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600))
	must.Eq(t, 2, serial())
	a.issue(dir, "anvilpoint://sidecar/catania/sidecar-0")
	for serial() != 4 {
		time.Sleep(time.Millisecond)
	}
}
