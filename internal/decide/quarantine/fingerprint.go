package quarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Content is a digest of what a request asks of a server: its method, target, body and the
// shared parts of its prompt.
type Content [sha256.Size]byte

// ContentOf returns the content of a request. A cryptographic hash keeps a client from
// making a request that is taken for another one.
func ContentOf(method, target string, body []byte, parts ...ident.PromptPart) Content {
	h := sha256.New()
	fields := [][]byte{[]byte(method), []byte(target), body}
	for _, p := range parts {
		fields = append(fields, []byte(p))
	}
	for _, field := range fields {
		// The length keeps the fields apart. Writes to a hash do not fail.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = h.Write(field)
	}
	return Content(h.Sum(nil))
}

// Fingerprint returns the fingerprint of a request of the account with this content.
func (c Content) Fingerprint(account ident.ClientAccount) ident.Fingerprint {
	sum := sha256.Sum256(append(c[:], account...))
	return ident.Fingerprint(binary.BigEndian.Uint64(sum[:]))
}
