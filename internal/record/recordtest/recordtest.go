// Package recordtest makes snapshots for tests and benchmarks.
package recordtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// Size is the number of objects of each kind in a record. ServiceReplicas counts
// per service.
type Size struct {
	Accounts, Models, Replicas, Services, ServiceReplicas, Domains int
}

// Today is the size of present installations; Target is the size that the design
// plans for, expected within two years.
var (
	Today  = Size{Accounts: 10, Models: 2, Replicas: 16, Services: 1, ServiceReplicas: 3, Domains: 3}
	Target = Size{Accounts: 280, Models: 4, Replicas: 2700, Services: 4, ServiceReplicas: 3, Domains: 4}
)

// KeyHash returns the hash of the key that Snapshot gives to account n.
func KeyHash(n int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", n))
	return hex.EncodeToString(sum[:])
}

// Snapshot returns a valid snapshot of the given size.
func Snapshot(size Size) *record.Snapshot {
	s := &record.Snapshot{
		Accounts: map[ident.ClientAccount]record.Account{}, Classes: classes(), BookingShare: 0.1,
		Models:   map[ident.ModelName]record.Model{},
		Replicas: map[ident.ServerID]record.Replica{}, Services: map[ident.ServiceName]record.Service{},
		Groups: map[ident.GroupID]record.Group{}, WeightStoreRate: 1 << 30,
	}
	for i := range size.Models {
		name := ident.ModelName(fmt.Sprintf("model-%d", i))
		s.Models[name] = record.Model{Name: name, Version: "v1", Adapters: []string{"base"}, Bytes: 1 << 30}
	}
	for i := range size.Replicas {
		id := ident.ServerID(fmt.Sprintf("replica-%d", i))
		s.Replicas[id] = record.Replica{
			ID: id, Address: address(i), Domain: domain(i % size.Domains), Role: record.RoleServe,
			Model: ident.ModelName(fmt.Sprintf("model-%d", i%size.Models)), ChecksFencing: i%2 == 0,
		}
	}
	for i := range size.Services {
		addService(s, size, i)
	}
	for i := range size.Accounts {
		addAccount(s, size, i)
	}
	return s
}

func classes() map[ident.PriorityClass]record.Class {
	return map[ident.PriorityClass]record.Class{
		ident.Interactive: {Name: ident.Interactive, FirstTokenTarget: 600 * time.Millisecond, TokenTarget: 44 * time.Millisecond, Deadline: 10 * time.Second, Worth: 10, Share: 0.5},
		ident.Analytical:  {Name: ident.Analytical, FirstTokenTarget: 5 * time.Second, TokenTarget: 100 * time.Millisecond, Deadline: time.Minute, Worth: 3, Share: 0.2},
		ident.Batch:       {Name: ident.Batch, FirstTokenTarget: time.Minute, TokenTarget: time.Second, Deadline: time.Hour, Worth: 1, Share: 0.1},
	}
}

func addService(s *record.Snapshot, size Size, i int) {
	name := ident.ServiceName(fmt.Sprintf("service-%d", i))
	service := record.Service{Name: name, OpaqueKeyWindow: 24 * time.Hour, Repeatable: []record.CallPattern{{Method: "GET", Prefix: "/"}}}
	for k := range size.ServiceReplicas {
		service.Replicas = append(service.Replicas, record.ServiceReplica{
			ID:      ident.ServerID(fmt.Sprintf("%s-%d", name, k)),
			Address: address(size.Replicas + i*size.ServiceReplicas + k), Domain: domain(k % size.Domains),
		})
	}
	s.Services[name] = service
}

func addAccount(s *record.Snapshot, size Size, i int) {
	id := ident.ClientAccount(fmt.Sprintf("account-%d", i))
	account := record.Account{ID: id, KeyHashes: []string{KeyHash(i)}, Weight: 1, Classes: ident.PriorityClasses()}
	for k := range size.Models {
		account.Models = append(account.Models, ident.ModelName(fmt.Sprintf("model-%d", k)))
	}
	for k := range size.Services {
		account.Services = append(account.Services, ident.ServiceName(fmt.Sprintf("service-%d", k)))
	}
	s.Accounts[id] = account
}

func address(i int) string { return fmt.Sprintf("127.%d.%d.1:9000", i/250, i%250) }

func domain(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("domain-%d", i)) }
