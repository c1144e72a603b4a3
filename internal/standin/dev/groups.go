package dev

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
	"github.com/anvilpoint/anvilpoint/task"
)

// member is a rank of a stand-in group.
type member struct {
	group *group.Group
	rank  ident.Rank
}

// addGroups creates the expert-parallel groups of the first record. Later records do not
// change them.
func (c *Cluster) addGroups() {
	c.members = make(map[ident.ServerID]member)
	snapshot := demoSnapshot(c.options, c.layout, time.Time{})
	if c.options.Record != nil {
		parsed, faults := record.Parse(c.options.RecordName, c.options.Record)
		if len(faults) > 0 {
			// publishFirst reports the faults.
			return
		}
		snapshot = parsed
	}
	for _, g := range snapshot.Groups {
		config := group.Defaults()
		config.ID, config.Layers, config.Experts = g.ID, g.Layers, g.Experts
		for _, id := range g.Ranks {
			config.ChecksFencing = append(config.ChecksFencing, snapshot.Replicas[id].ChecksFencing)
		}
		created := group.New(config)
		c.groups = append(c.groups, created)
		for r, id := range g.Ranks {
			c.members[id] = member{group: created, rank: ident.Rank(r)}
		}
	}
}

// groupHandler returns the handler of an engine's rank in its group, or nil if the engine
// is in no group.
func (c *Cluster) groupHandler(id ident.ServerID) http.Handler {
	if m, ok := c.members[id]; ok {
		return m.group.Handler(m.rank)
	}
	return nil
}

// joinGroup makes the rank of a starting engine start without a map. The function that it
// returns must be called when the engine ends, and resets the rank again.
func (c *Cluster) joinGroup(id ident.ServerID) (leave func()) {
	m, ok := c.members[id]
	if !ok {
		return func() {}
	}
	m.group.Crash(c.lifetime, m.rank)
	return func() { m.group.Crash(c.lifetime, m.rank) }
}

// stallRank sets whether the rank of an engine is prevented from entering steps. It does
// nothing for a process that is not in a group.
func (c *Cluster) stallRank(p *process, stalled bool) {
	if m, ok := c.memberOf(p); ok {
		m.group.Stall(c.lifetime, m.rank, stalled)
	}
}

// setRankSlowdown sets the slowdown of the rank of an engine. It does nothing for a process
// that is not in a group.
func (c *Cluster) setRankSlowdown(p *process, slowdown float64) {
	if m, ok := c.memberOf(p); ok {
		m.group.SetSpeed(c.lifetime, m.rank, 1/slowdown)
	}
}

// memberOf returns the rank of a process, if it is the engine of one.
func (c *Cluster) memberOf(p *process) (member, bool) {
	m, ok := c.members[ident.ServerID(p.name)]
	return m, ok
}

// lockStepPeers returns the engines that run in lock-step with a process, itself included.
func (c *Cluster) lockStepPeers(p *process) []*process {
	m, ok := c.memberOf(p)
	if !ok {
		return []*process{p}
	}
	var list []*process
	for _, other := range c.processes {
		if o, ok := c.memberOf(other); ok && o.group == m.group {
			list = append(list, other)
		}
	}
	return list
}

func (c *Cluster) startGroups(g *task.Group) {
	for _, expertGroup := range c.groups {
		g.Go("expert-parallel group", expertGroup.Run)
	}
}

// getSteps returns the ground truth about the steps, one JSON line per group.
func (c *Cluster) getSteps(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var all []group.Truth
	for _, g := range c.groups {
		truth, err := g.Truth(r.Context())
		if err != nil {
			// A group that has stopped is left out.
			continue
		}
		all = append(all, truth)
	}
	slices.SortFunc(all, func(a, b group.Truth) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, truth := range all {
		if encoder.Encode(truth) != nil {
			return
		}
	}
}
