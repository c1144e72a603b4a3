package entry

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// entryLinkInterval is the time between two updates of the links to entries, and how
// long the entry tries to reach an entry that is not believed alive.
const entryLinkInterval = 2 * time.Second

// An entry links to all replicas of models, unless there are more than
// maxFullMeshReplicas. Then each replica is linked by linksPerReplica entries,
// chosen by rendezvous hashing, so that none is left without a link. At target size
// (370 entries, 2,700 replicas) an entry has about 51 such links.
const (
	maxFullMeshReplicas = 64
	linksPerReplica     = 7
)

// linkEntries updates the links to other entries. A link that is open stays, since
// closing it would look like a failure to the other end.
func (c *control) linkEntries(ctx context.Context, now time.Time) {
	if now.Sub(c.entryLinksUpdated) < entryLinkInterval {
		return
	}
	c.entryLinksUpdated = now
	c.round++
	wanted := make(map[ident.InstanceID]string)
	for _, t := range c.peering.Targets(c.round) {
		wanted[t.Peer] = t.Address
	}
	for id, cancel := range c.entryDialers {
		if wanted[id] == "" && !c.peering.Linked(id) {
			cancel()
			delete(c.entryDialers, id)
		}
	}
	for id, address := range wanted {
		if _, running := c.entryDialers[id]; running || c.peering.Linked(id) {
			continue
		}
		limited, cancel := context.WithCancel(ctx)
		c.entryDialers[id] = cancel
		c.dial(limited, address)
	}
	if c.directory != nil && len(c.directory.snapshot.Replicas) > maxFullMeshReplicas {
		c.linkSidecars(ctx)
	}
}

// linkSidecars keeps one dialer running for each sidecar that this entry links to.
func (c *control) linkSidecars(ctx context.Context) {
	wanted := c.wantedSidecars(c.directory.snapshot)
	for address, cancel := range c.sidecarDialers {
		if !wanted[address] {
			cancel()
			delete(c.sidecarDialers, address)
		}
	}
	for address := range wanted {
		if _, running := c.sidecarDialers[address]; !running {
			limited, cancel := context.WithCancel(ctx)
			c.sidecarDialers[address] = cancel
			c.dial(limited, address)
		}
	}
}

// wantedSidecars returns the addresses of the sidecars that this entry links to:
// those of all replicas of services, since a booking has one home, and of all or
// some replicas of models.
func (c *control) wantedSidecars(s *record.Snapshot) map[string]bool {
	wanted := make(map[string]bool)
	for _, service := range s.Services {
		for _, r := range service.Replicas {
			wanted[r.Address] = true
		}
	}
	entries := c.peering.AliveEntries()
	for id, r := range s.Replicas {
		if len(s.Replicas) <= maxFullMeshReplicas || c.isAssigned(id, entries) {
			wanted[r.Address] = true
		}
	}
	return wanted
}

// isAssigned reports whether this entry is among the linksPerReplica entries of the
// replica.
func (c *control) isAssigned(replica ident.ServerID, entries []ident.InstanceID) bool {
	for _, id := range rendezvous.Top(string(replica), entries, linksPerReplica) {
		if id == c.instance {
			return true
		}
	}
	return false
}
