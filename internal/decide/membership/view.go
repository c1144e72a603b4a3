package membership

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Links that an entry opens to other entries. As many again arrive from others,
// so an entry has about 6: 4 in its failure domain and 2 outside.
const (
	linksInDomain = 2
	linksOutside  = 1
)

// Target is an entry to which this process should hold a link.
type Target struct {
	Peer    ident.InstanceID
	Address string
}

// Alive returns the entries of this process's failure domain that it believes
// alive, itself included, in alphabetical order.
func (m *Membership) Alive() []ident.InstanceID {
	out := []ident.InstanceID{}
	if m.config.Role == message.RoleEntry {
		out = append(out, m.config.Self)
	}
	for id, p := range m.peers {
		if p.role == message.RoleEntry && p.domain == m.config.Domain && p.belief.In("alive") {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Entries returns the entries of all failure domains that are believed alive,
// this process included if it is one, in alphabetical order.
func (m *Membership) Entries() []ident.InstanceID {
	out := []ident.InstanceID{}
	if m.config.Role == message.RoleEntry {
		out = append(out, m.config.Self)
	}
	for id, p := range m.peers {
		if p.role == message.RoleEntry && p.belief.In("alive") {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// State returns the chart state of the belief about a peer, or "" if it is unknown.
func (m *Membership) State(id ident.InstanceID) string {
	if p := m.peers[id]; p != nil {
		return p.belief.State()
	}
	return ""
}

// Beliefs returns the state of every known peer.
func (m *Membership) Beliefs() map[ident.InstanceID]string {
	out := make(map[ident.InstanceID]string, len(m.peers))
	for id, p := range m.peers {
		out[id] = p.belief.State()
	}
	return out
}

// CutOff reports that no heartbeat arrives although other entries are known. A
// process that is cut off goes on serving but sends no orders.
func (m *Membership) CutOff() bool {
	known := 0
	for _, p := range m.peers {
		if p.role != message.RoleEntry {
			continue
		}
		if p.belief.In("linked") {
			return false
		}
		known++
	}
	return known > 0
}

// Targets returns the entries to which this entry should open links, chosen by
// rendezvous hashing so that the choice changes little. One further target per
// round is an entry that is not believed alive: after a partition such tries
// join the sides again. The round is any number that grows with time.
func (m *Membership) Targets(round uint64) []Target {
	var near, far, lost []ident.InstanceID
	for id, p := range m.peers {
		switch {
		case p.role != message.RoleEntry || p.address == "":
		case !p.belief.In("alive"):
			lost = append(lost, id)
		case p.domain == m.config.Domain:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	self := string(m.config.Self)
	chosen := rendezvous.Top(self, near, linksInDomain)
	chosen = append(chosen, rendezvous.Top(self, far, linksInDomain+linksOutside-len(chosen))...)
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
