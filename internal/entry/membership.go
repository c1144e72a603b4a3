package entry

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// joinInterval is the time between two adjustments of the links to entries. A
// try to reach an entry that is not believed alive lasts as long.
const joinInterval = 2 * time.Second

// Above wholeReplicas replicas an entry links to a subset: each replica chooses
// linksPerReplica entries, so that none is left without a link. At target size
// (370 entries, 2,700 replicas) an entry has about 51 such links.
const (
	wholeReplicas   = 64
	linksPerReplica = 7
)

// join opens links to other entries. A link that is open stays, since closing
// it would look like a failure to the other end.
func (c *control) join(ctx context.Context, now time.Time) {
	if now.Sub(c.joined) < joinInterval {
		return
	}
	c.joined = now
	c.round++
	wanted := make(map[ident.InstanceID]string)
	for _, t := range c.peering.Targets(c.round) {
		wanted[t.Peer] = t.Address
	}
	for id, cancel := range c.peers {
		if wanted[id] == "" && !c.peering.Linked(id) {
			cancel()
			delete(c.peers, id)
		}
	}
	for id, address := range wanted {
		if _, running := c.peers[id]; running || c.peering.Linked(id) {
			continue
		}
		limited, cancel := context.WithCancel(ctx)
		c.peers[id] = cancel
		c.dial(limited, address)
	}
	if c.directory != nil && len(c.directory.snapshot.Replicas) > wholeReplicas {
		c.connect(ctx)
	}
}

// connect keeps one dialler for each sidecar of the record, or of the subset.
func (c *control) connect(ctx context.Context) {
	wanted := c.sidecars(c.directory.snapshot)
	for address, cancel := range c.dialers {
		if !wanted[address] {
			cancel()
			delete(c.dialers, address)
		}
	}
	for address := range wanted {
		if _, running := c.dialers[address]; !running {
			limited, cancel := context.WithCancel(ctx)
			c.dialers[address] = cancel
			c.dial(limited, address)
		}
	}
}

// sidecars returns the addresses to which this entry links: all replicas of
// services, since a booking has one home, and all or some replicas of models.
func (c *control) sidecars(s *record.Snapshot) map[string]bool {
	wanted := make(map[string]bool)
	for _, service := range s.Services {
		for _, r := range service.Replicas {
			wanted[r.Address] = true
		}
	}
	entries := c.peering.Entries()
	for id, r := range s.Replicas {
		if len(s.Replicas) <= wholeReplicas || c.chosenBy(id, entries) {
			wanted[r.Address] = true
		}
	}
	return wanted
}

func (c *control) chosenBy(replica ident.ServerID, entries []ident.InstanceID) bool {
	for _, id := range rendezvous.Top(string(replica), entries, linksPerReplica) {
		if id == c.instance {
			return true
		}
	}
	return false
}
