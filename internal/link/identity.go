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

// Identity is what a certificate says of its process.
type Identity struct {
	Role     message.Role
	Domain   ident.FailureDomain
	Instance ident.InstanceID
}

// IdentityOf reads the identity from a certificate, which must hold exactly one.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range c.URIs {
		if uri.Scheme != identityScheme {
			continue
		}
		domain, instance, ok := strings.Cut(strings.TrimPrefix(uri.Path, "/"), "/")
		if !ok || uri.Host == "" || domain == "" || instance == "" {
			return Identity{}, errors.Errorf("certificate: %q is not anvilpoint://ROLE/DOMAIN/INSTANCE", uri)
		}
		found = append(found, Identity{message.Role(uri.Host), ident.FailureDomain(domain), ident.InstanceID(instance)})
	}
	if len(found) != 1 {
		return Identity{}, errors.Errorf("certificate: %d URIs name an anvilpoint process, not 1", len(found))
	}
	return found[0], nil
}

// identityOf returns the identity of the peer of a connection, or nil for plain
// text.
func identityOf(state *tls.ConnectionState) (*Identity, error) {
	if state == nil {
		return nil, nil
	}
	if len(state.PeerCertificates) == 0 {
		return nil, errors.New("the peer has no certificate")
	}
	identity, err := IdentityOf(state.PeerCertificates[0])
	return &identity, err
}

// matches reports whether a Hello agrees with the certificate. Without TLS
// there is no identity to compare.
func (i *Identity) matches(h message.Hello) bool {
	return i == nil || (i.Role == h.Role && i.Domain == h.Domain && i.Instance == h.Instance)
}
