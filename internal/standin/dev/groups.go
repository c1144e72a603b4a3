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

// addGroups makes the expert-parallel groups of the first record. Groups that a
// later record changes keep their shape.
func (c *Cluster) addGroups() {
	c.members = make(map[ident.ServerID]member)
	snapshot := demoSnapshot(c.options, c.layout, time.Time{})
	if c.options.Record != nil {
		parsed, faults := record.Parse(c.options.RecordName, c.options.Record)
		if len(faults) > 0 {
			// Publishing the record reports its faults.
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
		made := group.New(config)
		c.groups = append(c.groups, made)
		for r, id := range g.Ranks {
			c.members[id] = member{group: made, rank: ident.Rank(r)}
		}
	}
}

// groupHandler serves an engine's part of its group, nil without one.
func (c *Cluster) groupHandler(id ident.ServerID) http.Handler {
	if m, ok := c.members[id]; ok {
		return m.group.Handler(m.rank)
	}
	return nil
}

// joinGroup makes the engine's rank start empty now and again when the engine's
// process ends, which the function that it returns does.
func (c *Cluster) joinGroup(id ident.ServerID) (leave func()) {
	m, ok := c.members[id]
	if !ok {
		return func() {}
	}
	m.group.Crash(c.lifetime, m.rank)
	return func() { m.group.Crash(c.lifetime, m.rank) }
}

// stallRank stops the rank of a paused engine from entering steps.
func (c *Cluster) stallRank(p *process, stalled bool) {
	if m, ok := c.memberOf(p); ok {
		m.group.Stall(c.lifetime, m.rank, stalled)
	}
}

// slowRank sets the speed of an engine's rank.
func (c *Cluster) slowRank(p *process, factor float64) {
	if m, ok := c.memberOf(p); ok {
		m.group.SetSpeed(c.lifetime, m.rank, 1/factor)
	}
}

func (c *Cluster) memberOf(p *process) (member, bool) {
	m, ok := c.members[ident.ServerID(p.name)]
	return m, ok
}

// inStepWith lists the processes that run in lock-step with the process, itself
// included.
func (c *Cluster) inStepWith(p *process) []*process {
	m, ok := c.memberOf(p)
	if !ok {
		return []*process{p}
	}
	var list []*process
	for _, other := range c.all {
		if o, ok := c.memberOf(other); ok && o.group == m.group {
			list = append(list, other)
		}
	}
	return list
}

func (c *Cluster) startGroups(g *task.Group) {
	for _, made := range c.groups {
		g.Go("expert-parallel group", made.Run)
	}
}

// getSteps lists the steps of each group, one JSON line per group.
func (c *Cluster) getSteps(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var all []group.Truth
	for _, g := range c.groups {
		truth, err := g.Truth(r.Context())
		if err != nil {
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
