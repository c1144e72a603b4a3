package recordsync

import (
	"slices"
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// maxReplicaSets is the number of replica sets kept per service. Replica sets change
// rarely, and one is added only when it differs from its neighbours.
const maxReplicaSets = 64

// lineage is the history of each service's replica sets, as records listed them,
// oldest first. The home replica of an idempotency key is derived from it.
type lineage map[ident.ServiceName][]message.Lineage

// merge adds the replica sets that are not known yet. A set equal to the one before
// it is not added.
func (l lineage) merge(entries []message.Lineage) {
	for _, e := range entries {
		l[e.Service] = insert(l[e.Service], e)
	}
}

// insert adds a replica set to the history of one service in the order of revisions.
// If the set is equal to the next later one, that one takes the earlier revision.
func insert(list []message.Lineage, e message.Lineage) []message.Lineage {
	at := sort.Search(len(list), func(i int) bool { return list[i].Revision > e.Revision })
	if at > 0 && slices.Equal(list[at-1].Replicas, e.Replicas) {
		return list
	}
	if at < len(list) && slices.Equal(list[at].Replicas, e.Replicas) {
		list[at].Revision = e.Revision
		return list
	}
	list = slices.Insert(list, at, e)
	return list[max(0, len(list)-maxReplicaSets):]
}

// list returns the histories of all services, in alphabetical order of services.
func (l lineage) list() []message.Lineage {
	names := make([]ident.ServiceName, 0, len(l))
	for name := range l {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []message.Lineage
	for _, name := range names {
		out = append(out, l[name]...)
	}
	return out
}
