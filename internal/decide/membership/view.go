package membership

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Numbers of links that an entry opens to other entries. On average the others open
// as many to it, so an entry has about 6 links: 4 within its failure domain and 2 to
// other domains.
const (
	linksInDomain      = 2
	linksOutsideDomain = 1
)

// Target is an entry to which this process should have a link.
type Target struct {
	Peer    ident.InstanceID
	Address string
}

// AliveInDomain returns the entries of this process's failure domain in state alive, in
// alphabetical order, including this process if it is an entry.
func (m *Membership) AliveInDomain() []ident.InstanceID {
	out := []ident.InstanceID{}
	if m.config.Role == message.RoleEntry {
		out = append(out, m.config.Self)
	}
	for id, p := range m.peers {
		if p.role == message.RoleEntry && p.domain == m.config.Domain && p.lifecycle.In("alive") {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// AliveEntries returns the entries of all failure domains in state alive, in
// alphabetical order, including this process if it is an entry.
func (m *Membership) AliveEntries() []ident.InstanceID {
	out := []ident.InstanceID{}
	if m.config.Role == message.RoleEntry {
		out = append(out, m.config.Self)
	}
	for id, p := range m.peers {
		if p.role == message.RoleEntry && p.lifecycle.In("alive") {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// State returns the chart state of a peer, or "" if the peer is unknown.
func (m *Membership) State(id ident.InstanceID) string {
	if p := m.peers[id]; p != nil {
		return p.lifecycle.State()
	}
	return ""
}

// States returns the chart state of every known peer.
func (m *Membership) States() map[ident.InstanceID]string {
	out := make(map[ident.InstanceID]string, len(m.peers))
	for id, p := range m.peers {
		out[id] = p.lifecycle.State()
	}
	return out
}

// Isolated reports whether other entries are known but no heartbeats arrive from any
// of them. A process in this condition continues to serve but sends no orders.
func (m *Membership) Isolated() bool {
	known := 0
	for _, p := range m.peers {
		if p.role != message.RoleEntry {
			continue
		}
		if p.lifecycle.In("linked") {
			return false
		}
		known++
	}
	return known > 0
}

// Targets returns the entries to which this entry should open links. Rendezvous
// hashing chooses them, so that the choice changes little. One more target per round
// is an entry that is suspected or dead; after a partition these attempts reconnect
// the two sides. The round is any number that increases over time.
func (m *Membership) Targets(round uint64) []Target {
	var near, far, lost []ident.InstanceID
	for id, p := range m.peers {
		switch {
		case p.role != message.RoleEntry || p.address == "":
		case !p.lifecycle.In("alive"):
			lost = append(lost, id)
		case p.domain == m.config.Domain:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	self := string(m.config.Self)
	chosen := rendezvous.Top(self, near, linksInDomain)
	chosen = append(chosen, rendezvous.Top(self, far, linksInDomain+linksOutsideDomain-len(chosen))...)
	if len(lost) > 0 {
		sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
		offset := rendezvous.Score(self, "") % uint64(len(lost))
		chosen = append(chosen, lost[(offset+round)%uint64(len(lost))])
	}
	out := make([]Target, 0, len(chosen))
	for _, id := range chosen {
		out = append(out, Target{Peer: id, Address: m.peers[id].address})
	}
	return out
}

func (m *Membership) sortedPeers() []ident.InstanceID { return sortedIDs(m.peers) }

func sortedIDs[V any](set map[ident.InstanceID]V) []ident.InstanceID {
	ids := make([]ident.InstanceID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
