package record

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// schema2 is the second schema of the record: tables keyed by name. API keys are
// fields of their account, shares of their class, and fencing of its replica.
// Durations are written with a unit.
type schema2 struct {
	Schema          int                              `json:"schema" required:"true"`
	Revision        ident.Revision                   `json:"revision,omitempty" max:"8796093022207"`
	Accounts        map[ident.ClientAccount]account2 `json:"accounts,omitempty"`
	Classes         map[ident.PriorityClass]class2   `json:"classes,omitempty"`
	BookingShare    float64                          `json:"booking_share" default:"0" min:"0" max:"1"`
	Models          map[ident.ModelName]model2       `json:"models,omitempty"`
	Replicas        map[ident.ServerID]replica2      `json:"replicas,omitempty"`
	Services        map[ident.ServiceName]service2   `json:"services,omitempty"`
	Groups          map[ident.GroupID]group2         `json:"groups,omitempty"`
	WeightStoreRate int64                            `json:"weight_store_rate,omitempty" min:"0"`
}

type account2 struct {
	Keys     []string              `json:"keys,omitempty"`
	Weight   float64               `json:"weight" default:"1"`
	Classes  []ident.PriorityClass `json:"classes" required:"true"`
	Models   []ident.ModelName     `json:"models,omitempty"`
	Services []ident.ServiceName   `json:"services,omitempty"`
}

type class2 struct {
	FirstTokenTarget time.Duration `json:"first_token_target" required:"true" min:"1ms" max:"24h"`
	TokenTarget      time.Duration `json:"token_target" required:"true" min:"1ms" max:"24h"`
	Deadline         time.Duration `json:"deadline" required:"true" min:"1ms" max:"168h"`
	Worth            float64       `json:"worth" default:"1"`
	Share            float64       `json:"share" default:"0" min:"0" max:"1"`
}

// MarshalJSON writes durations with their unit.
func (c class2) MarshalJSON() ([]byte, error) {
	type plain class2
	return json.Marshal(struct {
		FirstTokenTarget string `json:"first_token_target"`
		TokenTarget      string `json:"token_target"`
		Deadline         string `json:"deadline"`
		plain
	}{c.FirstTokenTarget.String(), c.TokenTarget.String(), c.Deadline.String(), plain(c)})
}

type model2 struct {
	Version  string   `json:"version" required:"true"`
	Adapters []string `json:"adapters,omitempty"`
	Bytes    int64    `json:"bytes,omitempty" min:"0"`
}

type replica2 struct {
	Address       string              `json:"address" required:"true"`
	Domain        ident.FailureDomain `json:"failure_domain" required:"true"`
	Role          ReplicaRole         `json:"role" default:"serve" enum:"serve|prefill|decode|standby"`
	Model         ident.ModelName     `json:"model,omitempty"`
	ChecksFencing bool                `json:"checks_fencing,omitempty"`
}

type service2 struct {
	Replicas        map[ident.ServerID]server2 `json:"replicas,omitempty"`
	Repeatable      []pattern                  `json:"repeatable,omitempty"`
	KeysValidFrom   *time.Time                 `json:"keys_valid_from,omitempty"`
	OpaqueKeyWindow time.Duration              `json:"opaque_key_window" default:"24h" min:"1s" max:"8760h"`
}

// MarshalJSON writes durations with their unit.
func (s service2) MarshalJSON() ([]byte, error) {
	type plain service2
	return json.Marshal(struct {
		OpaqueKeyWindow string `json:"opaque_key_window"`
		plain
	}{s.OpaqueKeyWindow.String(), plain(s)})
}

type server2 struct {
	Address string              `json:"address" required:"true"`
	Domain  ident.FailureDomain `json:"failure_domain" required:"true"`
}

type group2 struct {
	Ranks      []ident.ServerID `json:"ranks" required:"true"`
	Layers     int              `json:"layers" required:"true" min:"1" max:"1024"`
	Experts    int              `json:"experts" required:"true" min:"1" max:"4096"`
	SpareSlots int              `json:"spare_slots" default:"0" min:"0" max:"65536"`
}

// build adds the decoded record to the builder.
func (f *schema2) build(b *builder) {
	b.snapshot.BookingShare = f.BookingShare
	b.snapshot.WeightStoreRate = f.WeightStoreRate
	b.setPath("booking share", "", "booking_share")
	for _, id := range sortedKeys(f.Accounts) {
		f.buildAccount(b, id)
	}
	for _, name := range sortedKeys(f.Classes) {
		f.buildClass(b, name)
	}
	for _, name := range sortedKeys(f.Models) {
		m := f.Models[name]
		b.addModel(childPath("models", name), Model{Name: name, Version: m.Version, Adapters: m.Adapters, Bytes: m.Bytes})
	}
	for _, id := range sortedKeys(f.Replicas) {
		r := f.Replicas[id]
		b.addReplica(childPath("replicas", id), Replica{
			ID: id, Address: r.Address, Domain: r.Domain, Role: r.Role, Model: r.Model, ChecksFencing: r.ChecksFencing,
		})
	}
	for _, name := range sortedKeys(f.Services) {
		f.buildService(b, name)
	}
	for _, id := range sortedKeys(f.Groups) {
		g := f.Groups[id]
		b.addGroup(childPath("groups", id), Group{ID: id, Ranks: g.Ranks, Layers: g.Layers, Experts: g.Experts, SpareSlots: g.SpareSlots})
	}
}

func (f *schema2) buildAccount(b *builder, id ident.ClientAccount) {
	a, path := f.Accounts[id], childPath("accounts", id)
	b.addAccount(path, Account{ID: id, Weight: a.Weight, Classes: a.Classes, Models: a.Models, Services: a.Services})
	for i, hash := range a.Keys {
		b.addKey(fmt.Sprintf("%s.keys[%d]", path, i), id, hash)
	}
}

func (f *schema2) buildClass(b *builder, name ident.PriorityClass) {
	c, path := f.Classes[name], childPath("classes", name)
	if !name.Valid() {
		b.fault(path, "%q is not one of interactive, analytical, batch", name)
		return
	}
	b.checkWholeMilliseconds(path+".first_token_target", c.FirstTokenTarget)
	b.checkWholeMilliseconds(path+".token_target", c.TokenTarget)
	b.checkWholeMilliseconds(path+".deadline", c.Deadline)
	b.addClass(path, Class{
		Name: name, FirstTokenTarget: c.FirstTokenTarget, TokenTarget: c.TokenTarget,
		Deadline: c.Deadline, Worth: c.Worth, Share: c.Share,
	})
	b.setPath("share", string(name), path+".share")
}

func (f *schema2) buildService(b *builder, name ident.ServiceName) {
	s, path := f.Services[name], childPath("services", name)
	b.checkWholeMilliseconds(path+".opaque_key_window", s.OpaqueKeyWindow)
	service := Service{Name: name, KeysValidFrom: timeOrZero(s.KeysValidFrom), OpaqueKeyWindow: s.OpaqueKeyWindow}
	for _, id := range sortedKeys(s.Replicas) {
		r := s.Replicas[id]
		if b.addServer(childPath(path+".replicas", id), id, r.Address, r.Domain) {
			service.Replicas = append(service.Replicas, ServiceReplica{ID: id, Address: r.Address, Domain: r.Domain})
		}
	}
	service.Repeatable = b.callPatterns(path+".repeatable", s.Repeatable)
	b.addService(path, service)
}

func childPath[K ~string](path string, key K) string { return path + "." + string(key) }

// encode2 is the inverse of schema2.build.
func encode2(s *Snapshot) *schema2 {
	f := &schema2{
		Schema: 2, BookingShare: s.BookingShare, WeightStoreRate: s.WeightStoreRate,
		Accounts: make(map[ident.ClientAccount]account2, len(s.Accounts)),
		Classes:  make(map[ident.PriorityClass]class2, len(s.Classes)),
		Models:   make(map[ident.ModelName]model2, len(s.Models)),
		Replicas: make(map[ident.ServerID]replica2, len(s.Replicas)),
		Services: make(map[ident.ServiceName]service2, len(s.Services)),
		Groups:   make(map[ident.GroupID]group2, len(s.Groups)),
	}
	for id, a := range s.Accounts {
		f.Accounts[id] = account2{Keys: a.KeyHashes, Weight: a.Weight, Classes: a.Classes, Models: a.Models, Services: a.Services}
	}
	for name, c := range s.Classes {
		f.Classes[name] = class2{FirstTokenTarget: c.FirstTokenTarget, TokenTarget: c.TokenTarget, Deadline: c.Deadline, Worth: c.Worth, Share: c.Share}
	}
	for name, m := range s.Models {
		f.Models[name] = model2{Version: m.Version, Adapters: m.Adapters, Bytes: m.Bytes}
	}
	for id, r := range s.Replicas {
		f.Replicas[id] = replica2{Address: r.Address, Domain: r.Domain, Role: r.Role, Model: r.Model, ChecksFencing: r.ChecksFencing}
	}
	for name, service := range s.Services {
		f.Services[name] = encodeService2(service)
	}
	for id, g := range s.Groups {
		f.Groups[id] = group2{Ranks: g.Ranks, Layers: g.Layers, Experts: g.Experts, SpareSlots: g.SpareSlots}
	}
	return f
}

func encodeService2(s Service) service2 {
	out := service2{
		KeysValidFrom: nilIfZero(s.KeysValidFrom), OpaqueKeyWindow: s.OpaqueKeyWindow,
		Replicas: make(map[ident.ServerID]server2, len(s.Replicas)),
	}
	for _, r := range s.Replicas {
		out.Replicas[r.ID] = server2{Address: r.Address, Domain: r.Domain}
	}
	for _, p := range s.Repeatable {
		out.Repeatable = append(out.Repeatable, pattern(p))
	}
	return out
}
