package spread

import (
	"slices"
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// lineageLength bounds the kept sets of replicas of one service. Replica sets
// change rarely, and an entry is made only when the set changes.
const lineageLength = 64

// lineage holds, per service, the sets of replicas that records gave it, oldest
// first. The homes of idempotency keys follow from it.
type lineage map[ident.ServiceName][]message.Lineage

// merge adds entries that are not known yet. An entry that repeats the replicas
// of the one before it adds nothing.
func (l lineage) merge(entries []message.Lineage) {
	for _, e := range entries {
		l[e.Service] = insert(l[e.Service], e)
	}
}

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
	return list[max(0, len(list)-lineageLength):]
}

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
