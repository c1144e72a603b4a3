package record

import (
	"fmt"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// shareTolerance is the rounding error allowed in a sum of decimal shares.
const shareTolerance = 1e-9

// check reports references to objects that the record does not define, and
// values that contradict each other.
func (b *builder) check() {
	for _, id := range sortedKeys(b.snapshot.Accounts) {
		b.checkAccount(b.snapshot.Accounts[id])
	}
	b.checkShares()
	for _, id := range sortedKeys(b.snapshot.Replicas) {
		r := b.snapshot.Replicas[id]
		path := b.pathOf("replica", string(id))
		if r.Model == "" && r.Role != RoleStandby {
			b.fault(path+".model", "the field is required unless the role is standby")
		} else if _, ok := b.snapshot.Models[r.Model]; r.Model != "" && !ok {
			b.fault(path+".model", "unknown model %q", r.Model)
		}
	}
	for _, id := range sortedKeys(b.snapshot.Groups) {
		b.checkGroup(b.snapshot.Groups[id])
	}
}

func (b *builder) checkAccount(a Account) {
	path := b.pathOf("account", string(a.ID))
	if len(a.Classes) == 0 {
		b.fault(path+".classes", "an account needs at least one class; the first is its default")
	}
	checkReferences(b, path+".classes", "class", a.Classes, b.snapshot.Classes)
	checkReferences(b, path+".models", "model", a.Models, b.snapshot.Models)
	checkReferences(b, path+".services", "service", a.Services, b.snapshot.Services)
}

func checkReferences[K ~string, V any](b *builder, path, kind string, list []K, defined map[K]V) {
	seen := make(map[K]bool, len(list))
	for i, k := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		if _, ok := defined[k]; !ok {
			b.fault(at, "unknown %s %q", kind, k)
		}
		if seen[k] {
			b.fault(at, "%s %q is listed twice", kind, k)
		}
		seen[k] = true
	}
}

func (b *builder) checkShares() {
	sum := b.snapshot.BookingShare
	last := b.pathOf("booking share", "")
	for _, name := range sortedKeys(b.snapshot.Classes) {
		share := b.snapshot.Classes[name].Share
		if sum <= 1+shareTolerance && sum+share > 1+shareTolerance {
			last = b.pathOf("share", string(name))
		}
		sum += share
	}
	if sum > 1+shareTolerance {
		b.fault(last, "the shares of the classes and of the bookings sum to %.4g, more than 1", sum)
	}
}

func (b *builder) checkGroup(g Group) {
	path := b.pathOf("group", string(g.ID))
	if len(g.Ranks) == 0 {
		b.fault(path+".ranks", "a group needs at least one rank")
		return
	}
	if g.Experts+g.SpareSlots < len(g.Ranks) {
		b.fault(path+".spare_slots", "%d experts and %d spare slots leave some of %d ranks without an expert", g.Experts, g.SpareSlots, len(g.Ranks))
	}
	for i, id := range g.Ranks {
		b.checkRank(fmt.Sprintf("%s.ranks[%d]", path, i), g, id)
	}
}

// checkRank checks one rank of a group and sets the group of its replica.
func (b *builder) checkRank(path string, g Group, id ident.ServerID) {
	replica, ok := b.snapshot.Replicas[id]
	if !ok {
		b.fault(path, "unknown replica %q", id)
		return
	}
	if replica.Group != "" {
		b.fault(path, "replica %q is already a rank of group %q", id, replica.Group)
		return
	}
	if first, ok := b.snapshot.Replicas[g.Ranks[0]]; ok && first.Model != replica.Model {
		b.fault(path, "replica %q runs model %q, but rank 0 runs %q", id, replica.Model, first.Model)
	}
	replica.Group = g.ID
	b.snapshot.Replicas[id] = replica
}
