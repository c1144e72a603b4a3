package quarantine

import (
	"slices"
	"strings"

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

const (
	// maxParts is the number of prompt parts of a request that are traits of it.
	maxParts = 8
	// maxPartBytes is the size of the longest id of a part that is a trait.
	maxPartBytes = 64
)

// Traits are the traits of one request.
type Traits struct {
	// Request is the fingerprint of the request, zero if it is not known.
	Request ident.Fingerprint
	// Parts are the shared parts of the prompt.
	Parts []ident.PromptPart
}

// TraitsOf returns the traits of a request with the fingerprint and the shared prompt parts.
// Clients choose how many parts they name and how; what exceeds the bounds is no trait. The
// result shares no memory with the parts.
func TraitsOf(request ident.Fingerprint, parts []ident.PromptPart) Traits {
	t := Traits{Request: request}
	for _, p := range parts[:min(len(parts), maxParts)] {
		if len(p) <= maxPartBytes {
			t.Parts = append(t.Parts, ident.PromptPart(strings.Clone(string(p))))
		}
	}
	return t
}

// traitsOf is the inverse of Traits.all.
func traitsOf(list []Trait) Traits {
	var t Traits
	for _, one := range list {
		if one.whole() {
			t.Request = one.Request
		} else {
			t.Parts = append(t.Parts, one.Part)
		}
	}
	return t
}

// Empty reports whether there are no traits.
func (t Traits) Empty() bool { return t.Request == 0 && len(t.Parts) == 0 }

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

func (t Traits) equal(other Traits) bool {
	return t.Request == other.Request && slices.Equal(t.Parts, other.Parts)
}
