package dev

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// Names in the demo record.
const (
	DemoKey     = "demo-key"
	DemoModel   = ident.ModelName("assistant")
	DemoService = ident.ServiceName("ledger")
	DemoGroup   = ident.GroupID("group-0")
)

// Size of the expert-parallel group in the demo record.
const (
	// groupRanks is the number of ranks, if there are as many replicas.
	groupRanks     = 4
	groupLayers    = 2
	expertsPerRank = 4
)

// demoWeightBytes is the size of the weights of the demo model.
const demoWeightBytes = 64 << 20

// demoWeightRate is the rate of the weight store in bytes per second.
const demoWeightRate = 256 << 20

// DemoAccounts returns ten client accounts. Three have the weight 3, the others 1. The
// account demo has the key demo-key, an account NAME has the key key-NAME.
func DemoAccounts() []record.Account {
	accounts := []record.Account{Account("demo", DemoKey, 1)}
	for _, name := range []string{"large-0", "large-1", "large-2"} {
		accounts = append(accounts, Account(ident.ClientAccount(name), "key-"+name, 3))
	}
	for n := range 6 {
		name := fmt.Sprintf("small-%d", n)
		accounts = append(accounts, Account(ident.ClientAccount(name), "key-"+name, 1))
	}
	return accounts
}

// Account returns a client account that may use everything in the demo record.
func Account(id ident.ClientAccount, key string, weight float64) record.Account {
	hash := sha256.Sum256([]byte(key))
	return record.Account{
		ID: id, KeyHashes: []string{hex.EncodeToString(hash[:])}, Weight: weight,
		Classes: ident.PriorityClasses(), Models: []ident.ModelName{DemoModel}, Services: []ident.ServiceName{DemoService},
	}
}

// demoSnapshot returns the demo record of an installation.
func demoSnapshot(o Options, l layout, keysValidFrom time.Time) *record.Snapshot {
	s := &record.Snapshot{
		Accounts:     make(map[ident.ClientAccount]record.Account),
		Classes:      demoClasses(),
		BookingShare: 0.1,
		Models: map[ident.ModelName]record.Model{
			DemoModel: {Name: DemoModel, Version: "v1", Adapters: []string{"summaries"}, Bytes: demoWeightBytes},
		},
		Replicas:        make(map[ident.ServerID]record.Replica),
		Services:        make(map[ident.ServiceName]record.Service),
		Groups:          make(map[ident.GroupID]record.Group),
		WeightStoreRate: demoWeightRate,
	}
	for _, a := range o.Accounts {
		s.Accounts[a.ID] = a
	}
	group := record.Group{ID: DemoGroup, Layers: groupLayers}
	ledger := record.Service{
		Name: DemoService, Repeatable: []record.CallPattern{{Method: "GET", Prefix: "/"}},
		KeysValidFrom: keysValidFrom, OpaqueKeyWindow: 24 * time.Hour,
	}
	for n, server := range backendServers(o) {
		if server.kind == kindService {
			ledger.Replicas = append(ledger.Replicas, record.ServiceReplica{ID: server.id, Address: l.servers[n].link, Domain: server.domain})
			continue
		}
		s.Replicas[server.id] = record.Replica{
			ID: server.id, Address: l.servers[n].link, Domain: server.domain, Role: record.RoleServe,
			Model: DemoModel, ChecksFencing: checksFencing(n),
		}
		if len(group.Ranks) < groupRanks {
			group.Ranks = append(group.Ranks, server.id)
		}
	}
	group.Experts = expertsPerRank * len(group.Ranks)
	group.SpareSlots = len(group.Ranks)
	s.Services[DemoService] = ledger
	s.Groups[DemoGroup] = group
	return s
}

// checksFencing reports whether the engine of a replica checks fencing tokens. Every
// second engine ignores them, so that both kinds are tested.
func checksFencing(replica int) bool { return replica%2 == 0 }

func demoClasses() map[ident.PriorityClass]record.Class {
	return map[ident.PriorityClass]record.Class{
		ident.Interactive: {Name: ident.Interactive, FirstTokenTarget: 600 * time.Millisecond, TokenTarget: 44 * time.Millisecond, Deadline: 20 * time.Second, Worth: 10, Share: 0.4},
		ident.Analytical:  {Name: ident.Analytical, FirstTokenTarget: 3 * time.Second, TokenTarget: 100 * time.Millisecond, Deadline: 60 * time.Second, Worth: 3, Share: 0.2},
		ident.Batch:       {Name: ident.Batch, FirstTokenTarget: 15 * time.Second, TokenTarget: 500 * time.Millisecond, Deadline: 10 * time.Minute, Worth: 1, Share: 0.1},
	}
}

// DemoRecord returns the record that the dev command publishes with these options if its
// preferred ports are free, as a bundle of both schema versions. A zero keysValidFrom is
// left out.
func DemoRecord(o Options, keysValidFrom time.Time) ([]byte, error) {
	host, port, err := splitAddress(o.Listen)
	if err != nil {
		return nil, err
	}
	l := assignAddresses(o, host, port, port+blockOffset, o.Replicas+o.Services)
	return record.EncodeBundle(demoSnapshot(o, l, keysValidFrom))
}

// statedRevision returns the revision field of a document and whether there is one. isJSON
// is false if the document is not JSON. A field that is no number counts as revision 0.
func statedRevision(value []byte) (revision ident.Revision, stated, isJSON bool) {
	tree, err := hujson.Parse(value)
	if err != nil {
		return 0, false, false
	}
	found := tree.Find("/revision")
	if found == nil {
		return 0, false, true
	}
	literal, ok := found.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return 0, true, true
	}
	return ident.Revision(literal.Uint()), true, true
}

// replaceAddresses replaces the addresses in a record of the backend servers that the
// installation runs, so that a record written for other ports can be published. It also
// returns the servers whose address it changed.
func replaceAddresses(value []byte, addresses map[string]string) ([]byte, []string) {
	tree, err := hujson.Parse(value)
	if err != nil {
		return value, nil
	}
	r := &addressReplacer{addresses: addresses}
	r.visit("", &tree)
	if len(r.changed) == 0 {
		return value, nil
	}
	slices.Sort(r.changed)
	return tree.Pack(), slices.Compact(r.changed)
}

// addressReplacer walks a record and replaces addresses. Schema 1 has the id of a server in
// its field id, schema 2 in the key of its object.
type addressReplacer struct {
	addresses map[string]string
	changed   []string
}

func (r *addressReplacer) visit(key string, v *hujson.Value) {
	switch inner := v.Value.(type) {
	case *hujson.Array:
		for n := range inner.Elements {
			r.visit("", &inner.Elements[n])
		}
	case *hujson.Object:
		r.visitObject(key, inner)
	}
}

func (r *addressReplacer) visitObject(key string, o *hujson.Object) {
	id := key
	var address *hujson.Value
	for n := range o.Members {
		name := o.Members[n].Name.Value.(hujson.Literal).String()
		value := &o.Members[n].Value
		literal, isLiteral := value.Value.(hujson.Literal)
		switch {
		case name == "id" && isLiteral:
			id = literal.String()
		case name == "address" && isLiteral:
			address = value
		default:
			r.visit(name, value)
		}
	}
	want, known := r.addresses[id]
	if address == nil || !known || address.Value.(hujson.Literal).String() == want {
		return
	}
	address.Value = hujson.String(want)
	r.changed = append(r.changed, id)
}
