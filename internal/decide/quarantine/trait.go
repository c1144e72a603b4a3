package quarantine

import (
	"fmt"
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
	// maxParts is the number of prompt parts of a request that are traits each. The shortest
	// ids of 4096 parts fill a head of 16 KiB, the most that operators allow.
	maxParts = 4096
	// maxPartBytes is the size of the longest id of a part that is kept as it is.
	maxPartBytes = 64
	// digestBytes is the size of the digest that replaces a longer id.
	digestBytes = 16
)

// Traits are the traits of one request.
type Traits struct {
	// Request is the fingerprint of the request, zero if it is not known.
	Request ident.Fingerprint
	// Parts are the shared parts of the prompt.
	Parts []ident.PromptPart
}

// TraitsOf returns the traits of a request with the fingerprint and the shared prompt parts.
// Clients choose how many parts they name and how: a long id is replaced by its digest, and
// the parts beyond maxParts are one trait together. The parts of the result are in order, each
// once, and share no memory with the argument.
func TraitsOf(request ident.Fingerprint, parts []ident.PromptPart) Traits {
	t := Traits{Request: request}
	if len(parts) == 0 {
		return t
	}
	each := parts[:min(len(parts), maxParts)]
	t.Parts = make([]ident.PromptPart, 0, len(each)+1)
	for _, p := range each {
		if len(p) > maxPartBytes {
			t.Parts = append(t.Parts, digest(p))
		} else {
			t.Parts = append(t.Parts, ident.PromptPart(strings.Clone(string(p))))
		}
	}
	if rest := parts[len(each):]; len(rest) > 0 {
		t.Parts = append(t.Parts, digest(rest...))
	}
	slices.Sort(t.Parts)
	t.Parts = slices.Compact(t.Parts)
	return t
}

// digest returns an id of fixed size for the parts. It is the same in all processes.
func digest(parts ...ident.PromptPart) ident.PromptPart {
	sum := ContentOf("", "", nil, parts...)
	return ident.PromptPart(fmt.Sprintf("sha256-%x", sum[:digestBytes]))
}

// asTraits returns the traits of a list. It is the inverse of Traits.all.
func asTraits(list []Trait) Traits {
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
