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

// idPattern matches a valid id. Ids appear in headers, paths and metrics.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// methodPattern matches a valid HTTP request method.
var methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)

// keyHashBytes is the length of an API key's SHA-256 hash in bytes.
const keyHashBytes = 32

// objectKey identifies one object of the record independently of the schema.
type objectKey struct{ kind, id string }

// builder collects a snapshot and the faults found in the file. Each schema adds
// its objects together with their field paths in the file; the checks are the
// same for all schemas.
type builder struct {
	document *jsonc.Document
	// prefix is the path of the record within a bundle, such as "records[1].".
	prefix   string
	snapshot *Snapshot
	faults   jsonc.Faults
	// paths holds the field path of each object.
	paths map[objectKey]string
	// servers and addresses hold the field path at which each id and address of a
	// backend server is defined, over the replicas of models and services.
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
		paths:     make(map[objectKey]string),
		servers:   make(map[ident.ServerID]string),
		addresses: make(map[string]string),
	}
}

func (b *builder) fault(path, format string, args ...any) {
	f := b.document.At(path, format, args...)
	f.Path = b.prefix + f.Path
	b.faults = append(b.faults, f)
}

func (b *builder) setPath(kind, id, path string) { b.paths[objectKey{kind, id}] = path }

func (b *builder) pathOf(kind, id string) string { return b.paths[objectKey{kind, id}] }

// define checks that an id is valid and unique within its kind, and stores its path.
func (b *builder) define(kind, id, path string) bool {
	if !idPattern.MatchString(id) {
		b.fault(path, "%s id %q must be 1 to 128 letters, digits or . _ : / - and start with a letter or digit", kind, id)
		return false
	}
	if _, taken := b.paths[objectKey{kind, id}]; taken {
		b.fault(path, "%s %q is defined twice", kind, id)
		return false
	}
	b.setPath(kind, id, path)
	return true
}

func (b *builder) addAccount(path string, a Account) {
	if !b.define("account", string(a.ID), path) {
		return
	}
	if !(a.Weight > 0) {
		b.fault(path+".weight", "%v is not a positive weight", a.Weight)
	}
	a.Classes, a.Models, a.Services = nilIfEmpty(a.Classes), nilIfEmpty(a.Models), nilIfEmpty(a.Services)
	b.snapshot.Accounts[a.ID] = a
}

func (b *builder) addKey(path string, owner ident.ClientAccount, hash string) {
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

func (b *builder) addClass(path string, c Class) {
	if !b.define("class", string(c.Name), path) {
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

func (b *builder) addModel(path string, m Model) {
	if !b.define("model", string(m.Name), path) {
		return
	}
	b.checkUnique(path+".adapters", "adapter", m.Adapters)
	m.Adapters = nilIfEmpty(m.Adapters)
	b.snapshot.Models[m.Name] = m
}

func (b *builder) addReplica(path string, r Replica) {
	if !b.addServer(path, r.ID, r.Address, r.Domain) {
		return
	}
	b.setPath("replica", string(r.ID), path)
	b.snapshot.Replicas[r.ID] = r
}

// addServer checks a backend server and registers its id and address, which must
// be unique over the replicas of models and services.
func (b *builder) addServer(path string, id ident.ServerID, address string, domain ident.FailureDomain) bool {
	if !idPattern.MatchString(string(id)) {
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
	if !idPattern.MatchString(string(domain)) {
		b.fault(path+".failure_domain", "%q is not a valid name of a failure domain", domain)
	}
	return true
}

func (b *builder) addService(path string, s Service) {
	if !b.define("service", string(s.Name), path) {
		return
	}
	if strings.Contains(string(s.Name), "/") {
		b.fault(path, "service %q must not contain /, since it is one segment of a path", s.Name)
	}
	sort.Slice(s.Replicas, func(i, j int) bool { return s.Replicas[i].ID < s.Replicas[j].ID })
	b.snapshot.Services[s.Name] = s
}

func (b *builder) callPatterns(path string, list []pattern) []CallPattern {
	var out []CallPattern
	for i, p := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		if p.Method != "" && !methodPattern.MatchString(p.Method) {
			b.fault(at+".method", "%q is not a request method", p.Method)
		}
		if !strings.HasPrefix(p.Prefix, "/") {
			b.fault(at+".prefix", "%q does not start with /", p.Prefix)
		}
		out = append(out, CallPattern(p))
	}
	return out
}

func (b *builder) addGroup(path string, g Group) {
	if b.define("group", string(g.ID), path) {
		b.snapshot.Groups[g.ID] = g
	}
}

func (b *builder) checkUnique(path, kind string, list []string) {
	seen := make(map[string]bool, len(list))
	for i, v := range list {
		if seen[v] {
			b.fault(fmt.Sprintf("%s[%d]", path, i), "%s %q is listed twice", kind, v)
		}
		seen[v] = true
	}
}

func (b *builder) checkWholeMilliseconds(path string, d time.Duration) {
	if d%time.Millisecond != 0 {
		b.fault(path, "%s is not a whole number of milliseconds", d)
	}
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
