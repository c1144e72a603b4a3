package record

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
)

// nameForm is the form of every id. Ids appear in headers, paths and metrics.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// methodForm is the form of a request method.
var methodForm = regexp.MustCompile(`^[A-Z]{1,16}$`)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// placeKey names one object of the record regardless of the schema.
type placeKey struct{ kind, id string }

// builder collects a snapshot and its faults. The schemas add objects with the
// path where the file has them; the checks are the same for all schemas.
type builder struct {
	document *jsonc.Document
	// prefix is the path of the record within a bundle, such as "records[1].".
	prefix   string
	snapshot *Snapshot
	faults   jsonc.Faults
	places   map[placeKey]string
	// servers and addresses hold what is taken, over replicas and services.
	servers   map[ident.ServerID]string
	addresses map[string]string
}

func newBuilder(document *jsonc.Document, prefix string) *builder {
	return &builder{
		document: document,
		prefix:   prefix,
		snapshot: &Snapshot{
			Accounts:     make(map[ident.ClientAccount]Account),
			Classes:      make(map[ident.PriorityClass]Class),
			Models:       make(map[ident.ModelName]Model),
			Replicas:     make(map[ident.ServerID]Replica),
			Services:     make(map[ident.ServiceName]Service),
			Groups:       make(map[ident.GroupID]Group),
			accountByKey: make(map[string]ident.ClientAccount),
		},
		places:    make(map[placeKey]string),
		servers:   make(map[ident.ServerID]string),
		addresses: make(map[string]string),
	}
}

func (b *builder) fault(path, format string, args ...any) {
	f := b.document.At(path, format, args...)
	f.Path = b.prefix + f.Path
	b.faults = append(b.faults, f)
}

func (b *builder) place(kind, id, path string) { b.places[placeKey{kind, id}] = path }

func (b *builder) pathOf(kind, id string) string { return b.places[placeKey{kind, id}] }

// named checks the form of an id and that it is new among its kind.
func (b *builder) named(kind, id, path string) bool {
	if !nameForm.MatchString(id) {
		b.fault(path, "%s id %q must be 1 to 128 letters, digits or . _ : / - and start with a letter or digit", kind, id)
		return false
	}
	if _, taken := b.places[placeKey{kind, id}]; taken {
		b.fault(path, "%s %q is defined twice", kind, id)
		return false
	}
	b.place(kind, id, path)
	return true
}

func (b *builder) account(path string, a Account) {
	if !b.named("account", string(a.ID), path) {
		return
	}
	if !(a.Weight > 0) {
		b.fault(path+".weight", "%v is not a positive weight", a.Weight)
	}
	a.Classes, a.Models, a.Services = orNil(a.Classes), orNil(a.Models), orNil(a.Services)
	b.snapshot.Accounts[a.ID] = a
}

func (b *builder) key(path string, owner ident.ClientAccount, hash string) {
	hash = strings.ToLower(hash)
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != keyHashBytes {
		b.fault(path, "the key hash is not %d hexadecimal digits", 2*keyHashBytes)
		return
	}
	if other, taken := b.snapshot.accountByKey[hash]; taken {
		b.fault(path, "the key hash already belongs to account %q", other)
		return
	}
	account, ok := b.snapshot.Accounts[owner]
	if !ok {
		return
	}
	b.snapshot.accountByKey[hash] = owner
	account.KeyHashes = append(account.KeyHashes, hash)
	sort.Strings(account.KeyHashes)
	b.snapshot.Accounts[owner] = account
}

func (b *builder) class(path string, c Class) {
	if !b.named("class", string(c.Name), path) {
		return
	}
	if !(c.Worth > 0) {
		b.fault(path+".worth", "%v is not a positive worth", c.Worth)
	}
	if c.Deadline < c.FirstTokenTarget {
		b.fault(path, "the deadline %s is before the first-token target %s", c.Deadline, c.FirstTokenTarget)
	}
	b.snapshot.Classes[c.Name] = c
}

func (b *builder) model(path string, m Model) {
	if !b.named("model", string(m.Name), path) {
		return
	}
	b.unique(path+".adapters", "adapter", m.Adapters)
	m.Adapters = orNil(m.Adapters)
	b.snapshot.Models[m.Name] = m
}

func (b *builder) replica(path string, r Replica) {
	if !b.server(path, r.ID, r.Address, r.Domain) {
		return
	}
	b.place("replica", string(r.ID), path)
	b.snapshot.Replicas[r.ID] = r
}

// server checks a backend server, whose id and address are unique over the
// replicas of models and of services.
func (b *builder) server(path string, id ident.ServerID, address string, domain ident.FailureDomain) bool {
	if !nameForm.MatchString(string(id)) {
		b.fault(path, "backend server id %q must be 1 to 128 letters, digits or . _ : / - and start with a letter or digit", id)
		return false
	}
	if other, taken := b.servers[id]; taken {
		b.fault(path, "backend server %q is already defined at %s", id, other)
		return false
	}
	b.servers[id] = path
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		b.fault(path+".address", "%q is not an IP address and port", address)
	} else if other, taken := b.addresses[address]; taken {
		b.fault(path+".address", "%s is already the address of %s", address, other)
	}
	b.addresses[address] = path
	if !nameForm.MatchString(string(domain)) {
		b.fault(path+".failure_domain", "%q is not a failure domain", domain)
	}
	return true
}

func (b *builder) service(path string, s Service) {
	if !b.named("service", string(s.Name), path) {
		return
	}
	if strings.Contains(string(s.Name), "/") {
		b.fault(path, "service %q must not contain /, since it is one segment of a path", s.Name)
	}
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].ID < s.Replicas[j].ID })
	b.snapshot.Services[s.Name] = s
}

func (b *builder) patterns(path string, list []pattern) []CallPattern {
	var out []CallPattern
	for i, p := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		if p.Method != "" && !methodForm.MatchString(p.Method) {
			b.fault(at+".method", "%q is not a request method", p.Method)
		}
		if !strings.HasPrefix(p.Prefix, "/") {
			b.fault(at+".prefix", "%q does not start with /", p.Prefix)
		}
		out = append(out, CallPattern(p))
	}
	return out
}

func (b *builder) group(path string, g Group) {
	if b.named("group", string(g.ID), path) {
		b.snapshot.Groups[g.ID] = g
	}
}

func (b *builder) unique(path, kind string, list []string) {
	seen := make(map[string]bool, len(list))
	for i, v := range list {
		if seen[v] {
			b.fault(fmt.Sprintf("%s[%d]", path, i), "%s %q is listed twice", kind, v)
		}
		seen[v] = true
	}
}

func (b *builder) wholeMilliseconds(path string, d time.Duration) {
	if d%time.Millisecond != 0 {
		b.fault(path, "%s is not a whole number of milliseconds", d)
	}
}

func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
