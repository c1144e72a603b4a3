package record

import (
	"fmt"
	"sort"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// schema1 is the first schema of the record: flat lists that refer to each other
// by name. Durations are whole milliseconds.
type schema1 struct {
	Schema          int            `json:"schema" required:"true"`
	Revision        ident.Revision `json:"revision,omitempty" max:"8796093022207"`
	Accounts        []account1     `json:"accounts,omitempty"`
	Keys            []key1         `json:"keys,omitempty"`
	Classes         []class1       `json:"classes,omitempty"`
	Shares          []share1       `json:"shares,omitempty"`
	BookingShare    float64        `json:"booking_share" default:"0" min:"0" max:"1"`
	Models          []model1       `json:"models,omitempty"`
	Replicas        []replica1     `json:"replicas,omitempty"`
	Fencing         []fencing1     `json:"fencing,omitempty"`
	Services        []service1     `json:"services,omitempty"`
	Groups          []group1       `json:"groups,omitempty"`
	WeightStoreRate int64          `json:"weight_store_rate,omitempty" min:"0"`
}

type account1 struct {
	ID       ident.ClientAccount   `json:"id" required:"true"`
	Weight   float64               `json:"weight" default:"1"`
	Classes  []ident.PriorityClass `json:"classes" required:"true"`
	Models   []ident.ModelName     `json:"models,omitempty"`
	Services []ident.ServiceName   `json:"services,omitempty"`
}

type key1 struct {
	Account ident.ClientAccount `json:"account" required:"true"`
	Hash    string              `json:"hash" required:"true"`
}

type class1 struct {
	Name             ident.PriorityClass `json:"name" required:"true" enum:"interactive|analytical|batch"`
	FirstTokenTarget int64               `json:"first_token_target_ms" required:"true" min:"1" max:"86400000"`
	TokenTarget      int64               `json:"token_target_ms" required:"true" min:"1" max:"86400000"`
	Deadline         int64               `json:"deadline_ms" required:"true" min:"1" max:"604800000"`
	Worth            float64             `json:"worth" default:"1"`
}

type share1 struct {
	Class ident.PriorityClass `json:"class" required:"true" enum:"interactive|analytical|batch"`
	Share float64             `json:"share" required:"true" min:"0" max:"1"`
}

type model1 struct {
	Name     ident.ModelName `json:"name" required:"true"`
	Version  string          `json:"version" required:"true"`
	Adapters []string        `json:"adapters,omitempty"`
	Bytes    int64           `json:"bytes,omitempty" min:"0"`
}

type replica1 struct {
	ID      ident.ServerID      `json:"id" required:"true"`
	Address string              `json:"address" required:"true"`
	Domain  ident.FailureDomain `json:"failure_domain" required:"true"`
	Role    ReplicaRole         `json:"role" default:"serve" enum:"serve|prefill|decode|standby"`
	Model   ident.ModelName     `json:"model,omitempty"`
}

type fencing1 struct {
	Server ident.ServerID `json:"server" required:"true"`
	Checks bool           `json:"checks" required:"true"`
}

type service1 struct {
	Name            ident.ServiceName `json:"name" required:"true"`
	Replicas        []server1         `json:"replicas,omitempty"`
	Repeatable      []pattern         `json:"repeatable,omitempty"`
	KeysValidFrom   *time.Time        `json:"keys_valid_from,omitempty"`
	OpaqueKeyWindow int64             `json:"opaque_key_window_ms" default:"86400000" min:"1000" max:"31536000000"`
}

type server1 struct {
	ID      ident.ServerID      `json:"id" required:"true"`
	Address string              `json:"address" required:"true"`
	Domain  ident.FailureDomain `json:"failure_domain" required:"true"`
}

type pattern struct {
	Method string `json:"method,omitempty"`
	Prefix string `json:"prefix" required:"true"`
}

type group1 struct {
	ID         ident.GroupID    `json:"id" required:"true"`
	Ranks      []ident.ServerID `json:"ranks" required:"true"`
	Layers     int              `json:"layers" required:"true" min:"1" max:"1024"`
	Experts    int              `json:"experts" required:"true" min:"1" max:"4096"`
	SpareSlots int              `json:"spare_slots" default:"0" min:"0" max:"65536"`
}

// build adds the decoded record to the builder.
func (f *schema1) build(b *builder) {
	b.snapshot.BookingShare = f.BookingShare
	b.snapshot.WeightStoreRate = f.WeightStoreRate
	b.setPath("booking share", "", "booking_share")
	f.buildAccounts(b)
	f.buildClasses(b)
	for i, m := range f.Models {
		b.addModel(fmt.Sprintf("models[%d]", i), Model(m))
	}
	f.buildReplicas(b)
	for i, s := range f.Services {
		f.buildService(b, fmt.Sprintf("services[%d]", i), s)
	}
	for i, g := range f.Groups {
		b.addGroup(fmt.Sprintf("groups[%d]", i), Group(g))
	}
}

func (f *schema1) buildAccounts(b *builder) {
	for i, a := range f.Accounts {
		b.addAccount(fmt.Sprintf("accounts[%d]", i), Account{ID: a.ID, Weight: a.Weight, Classes: a.Classes, Models: a.Models, Services: a.Services})
	}
	for i, k := range f.Keys {
		path := fmt.Sprintf("keys[%d]", i)
		if _, ok := b.snapshot.Accounts[k.Account]; !ok {
			b.fault(path+".account", "unknown account %q", k.Account)
			continue
		}
		b.addKey(path+".hash", k.Account, k.Hash)
	}
}

func (f *schema1) buildClasses(b *builder) {
	for i, c := range f.Classes {
		b.addClass(fmt.Sprintf("classes[%d]", i), Class{
			Name: c.Name, Worth: c.Worth,
			FirstTokenTarget: milliseconds(c.FirstTokenTarget),
			TokenTarget:      milliseconds(c.TokenTarget),
			Deadline:         milliseconds(c.Deadline),
		})
	}
	set := make(map[ident.PriorityClass]bool)
	for i, s := range f.Shares {
		path := fmt.Sprintf("shares[%d]", i)
		class, ok := b.snapshot.Classes[s.Class]
		switch {
		case !ok:
			b.fault(path+".class", "unknown class %q", s.Class)
		case set[s.Class]:
			b.fault(path+".class", "the share of class %q is set twice", s.Class)
		default:
			set[s.Class] = true
			class.Share = s.Share
			b.snapshot.Classes[s.Class] = class
			b.setPath("share", string(s.Class), path+".share")
		}
	}
}

func (f *schema1) buildReplicas(b *builder) {
	for i, r := range f.Replicas {
		b.addReplica(fmt.Sprintf("replicas[%d]", i), Replica{ID: r.ID, Address: r.Address, Domain: r.Domain, Role: r.Role, Model: r.Model})
	}
	set := make(map[ident.ServerID]bool)
	for i, c := range f.Fencing {
		path := fmt.Sprintf("fencing[%d].server", i)
		replica, ok := b.snapshot.Replicas[c.Server]
		switch {
		case !ok:
			b.fault(path, "unknown replica %q", c.Server)
		case set[c.Server]:
			b.fault(path, "the fencing of replica %q is set twice", c.Server)
		default:
			set[c.Server] = true
			replica.ChecksFencing = c.Checks
			b.snapshot.Replicas[c.Server] = replica
		}
	}
}

func (f *schema1) buildService(b *builder, path string, s service1) {
	service := Service{Name: s.Name, KeysValidFrom: timeOrZero(s.KeysValidFrom), OpaqueKeyWindow: milliseconds(s.OpaqueKeyWindow)}
	for i, r := range s.Replicas {
		if b.addServer(fmt.Sprintf("%s.replicas[%d]", path, i), r.ID, r.Address, r.Domain) {
			service.Replicas = append(service.Replicas, ServiceReplica(r))
		}
	}
	service.Repeatable = b.callPatterns(path+".repeatable", s.Repeatable)
	b.addService(path, service)
}

// encode1 is the inverse of schema1.build. Lists are in alphabetical order.
func encode1(s *Snapshot) *schema1 {
	f := &schema1{Schema: 1, BookingShare: s.BookingShare, WeightStoreRate: s.WeightStoreRate}
	for _, id := range sortedKeys(s.Accounts) {
		a := s.Accounts[id]
		f.Accounts = append(f.Accounts, account1{ID: a.ID, Weight: a.Weight, Classes: a.Classes, Models: a.Models, Services: a.Services})
		for _, hash := range a.KeyHashes {
			f.Keys = append(f.Keys, key1{Account: id, Hash: hash})
		}
	}
	for _, name := range sortedKeys(s.Classes) {
		c := s.Classes[name]
		f.Classes = append(f.Classes, class1{
			Name: name, Worth: c.Worth, FirstTokenTarget: c.FirstTokenTarget.Milliseconds(),
			TokenTarget: c.TokenTarget.Milliseconds(), Deadline: c.Deadline.Milliseconds(),
		})
		f.Shares = append(f.Shares, share1{Class: name, Share: c.Share})
	}
	for _, name := range sortedKeys(s.Models) {
		f.Models = append(f.Models, model1(s.Models[name]))
	}
	for _, id := range sortedKeys(s.Replicas) {
		r := s.Replicas[id]
		f.Replicas = append(f.Replicas, replica1{ID: id, Address: r.Address, Domain: r.Domain, Role: r.Role, Model: r.Model})
		if r.ChecksFencing {
			f.Fencing = append(f.Fencing, fencing1{Server: id, Checks: true})
		}
	}
	for _, name := range sortedKeys(s.Services) {
		f.Services = append(f.Services, encodeService1(s.Services[name]))
	}
	for _, id := range sortedKeys(s.Groups) {
		f.Groups = append(f.Groups, group1(s.Groups[id]))
	}
	return f
}

func encodeService1(s Service) service1 {
	out := service1{Name: s.Name, KeysValidFrom: nilIfZero(s.KeysValidFrom), OpaqueKeyWindow: s.OpaqueKeyWindow.Milliseconds()}
	for _, r := range s.Replicas {
		out.Replicas = append(out.Replicas, server1(r))
	}
	for _, p := range s.Repeatable {
		out.Repeatable = append(out.Repeatable, pattern(p))
	}
	return out
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func timeOrZero(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.UTC()
}

func nilIfZero(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}
