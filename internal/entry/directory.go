package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// directory is a record in force with an index of its API keys. It is immutable.
type directory struct {
	snapshot *record.Snapshot
	// byKey has the account of each API key by the hash of the key.
	byKey map[string]ident.ClientAccount
}

func newDirectory(s *record.Snapshot) *directory {
	d := &directory{snapshot: s, byKey: make(map[string]ident.ClientAccount)}
	for id, a := range s.Accounts {
		for _, hash := range a.KeyHashes {
			d.byKey[hash] = id
		}
	}
	return d
}

// account returns the account of the request's API key. Only the hash of the
// key is compared.
func (d *directory) account(r *http.Request) (record.Account, bool) {
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return record.Account{}, false
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	id, known := d.byKey[hex.EncodeToString(sum[:])]
	if !known {
		return record.Account{}, false
	}
	return d.snapshot.Accounts[id], true
}

// class returns the priority class of the request, or why there is none.
func (d *directory) class(a record.Account, r *http.Request) (record.Class, outcome.Outcome, bool) {
	if len(a.Classes) == 0 {
		return record.Class{}, outcome.DidNotRun(outcome.ReasonForbidden, "the account has no priority class"), false
	}
	name := a.Classes[0]
	if wanted := ident.PriorityClass(r.Header.Get(headerClass)); wanted != "" {
		if !wanted.Valid() {
			return record.Class{}, outcome.DidNotRun(outcome.ReasonMalformed, "the priority class is interactive, analytical or batch"), false
		}
		name = wanted
	}
	if !slices.Contains(a.Classes, name) {
		return record.Class{}, outcome.DidNotRun(outcome.ReasonForbidden, "the account may not use this priority class"), false
	}
	class := d.snapshot.Classes[name]
	class.Name = name
	return class, outcome.Outcome{}, true
}
