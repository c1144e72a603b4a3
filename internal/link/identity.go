package link

import (
	"crypto/tls"
	"crypto/x509"
	"strings"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// identityScheme is the scheme of the URI in a certificate that names a process:
// anvilpoint://ROLE/DOMAIN/INSTANCE.
const identityScheme = "anvilpoint"

// Identity identifies a process by its certificate.
type Identity struct {
	Role     message.Role
	Domain   ident.FailureDomain
	Instance ident.InstanceID
}

// CertificateIdentity returns the identity in a certificate, which must contain exactly one.
func CertificateIdentity(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range c.URIs {
		if uri.Scheme != identityScheme {
			continue
		}
		domain, instance, ok := strings.Cut(strings.TrimPrefix(uri.Path, "/"), "/")
		if !ok || uri.Host == "" || domain == "" || instance == "" {
			return Identity{}, errors.Errorf("certificate URI %q does not have the form anvilpoint://ROLE/DOMAIN/INSTANCE", uri)
		}
		found = append(found, Identity{message.Role(uri.Host), ident.FailureDomain(domain), ident.InstanceID(instance)})
	}
	if len(found) != 1 {
		return Identity{}, errors.Errorf("certificate has %d anvilpoint:// URIs, want 1", len(found))
	}
	return found[0], nil
}

// peerIdentity returns the identity of the peer of a connection, or nil without TLS.
func peerIdentity(state *tls.ConnectionState) (*Identity, error) {
	if state == nil {
		return nil, nil
	}
	if len(state.PeerCertificates) == 0 {
		return nil, errors.New("peer presented no certificate")
	}
	identity, err := CertificateIdentity(state.PeerCertificates[0])
	return &identity, err
}

// matches reports whether a Hello agrees with the certificate. Without TLS
// there is no identity to compare.
func (i *Identity) matches(h message.Hello) bool {
	return i == nil || (i.Role == h.Role && i.Domain == h.Domain && i.Instance == h.Instance)
}
