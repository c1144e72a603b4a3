package quarantine

import (
	"slices"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Trait is a property of requests that may crash the servers which run them: a part of the
// prompt, or the request as a whole. Exactly one of the fields is set.
type Trait struct {
	Part    ident.PromptPart
	Request ident.Fingerprint
}

// whole reports whether the trait is that of whole requests.
func (t Trait) whole() bool { return t.Request != 0 }

// Traits are the traits of one request.
type Traits struct {
	// Request is the fingerprint of the request, zero if it is not known.
	Request ident.Fingerprint
	// Parts are the shared parts of the prompt.
	Parts []ident.PromptPart
}

// all returns the traits, the one of the whole request first.
func (t Traits) all() []Trait {
	list := make([]Trait, 0, len(t.Parts)+1)
	if t.Request != 0 {
		list = append(list, Trait{Request: t.Request})
	}
	for _, p := range t.Parts {
		list = append(list, Trait{Part: p})
	}
	return list
}

func (t Traits) contain(one Trait) bool {
	if one.whole() {
		return t.Request == one.Request
	}
	return slices.Contains(t.Parts, one.Part)
}

func (t Traits) equal(other Traits) bool {
	return t.Request == other.Request && slices.Equal(t.Parts, other.Parts)
}
