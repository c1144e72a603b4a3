package orders

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// scheduleKey is the rendezvous key that orders the servers in the schedule of loads. It
// is the same for all models, so that a rollback loads in the same order as the rollout.
const scheduleKey = "load schedule"

// DesiredFor returns the state that a record specifies for one backend server, with its
// place in the schedule of loads. The place is the number of servers that the record makes
// load and that load earlier: those with interactive models first, then by rendezvous
// score. Without an earlier record every server with a model counts as loading.
func DesiredFor(before, after *record.Snapshot, server ident.ServerID) (Desired, bool) {
	replica, ok := after.Replicas[server]
	if !ok {
		return Desired{}, false
	}
	desired := Desired{Revision: after.Digest.Revision, State: stateOf(after, replica)}
	model := after.Models[replica.Model]
	if after.WeightStoreRate == 0 || !loads(before, after, replica) {
		return desired, true
	}
	desired.LoadTime = time.Duration(float64(model.Bytes) / float64(after.WeightStoreRate) * float64(time.Second))
	interactive := interactiveModels(after)
	own := loadPriority{interactive[replica.Model], rendezvous.Score(scheduleKey, string(server)), server}
	for id, other := range after.Replicas {
		if id == server || !loads(before, after, other) {
			continue
		}
		if (loadPriority{interactive[other.Model], rendezvous.Score(scheduleKey, string(id)), id}).before(own) {
			desired.LoadsBefore++
		}
	}
	return desired, true
}

// loadPriority orders the servers in the schedule of loads.
type loadPriority struct {
	interactive bool
	score       uint64
	server      ident.ServerID
}

func (p loadPriority) before(other loadPriority) bool {
	if p.interactive != other.interactive {
		return p.interactive
	}
	if p.score != other.score {
		return p.score > other.score
	}
	return p.server < other.server
}

func stateOf(s *record.Snapshot, replica record.Replica) State {
	model := s.Models[replica.Model]
	return State{Model: replica.Model, Version: model.Version, Adapters: model.Adapters, Role: replica.Role}
}

// loads reports whether the change from one record to the next makes the replica read
// from the weight store.
func loads(before, after *record.Snapshot, replica record.Replica) bool {
	if replica.Model == "" {
		return false
	}
	if before == nil {
		return true
	}
	old, ok := before.Replicas[replica.ID]
	if !ok {
		return true
	}
	was, is := stateOf(before, old), stateOf(after, replica)
	return was.Model != is.Model || was.Version != is.Version || !slices.Equal(was.Adapters, is.Adapters)
}

// interactiveModels returns the models of the accounts whose default class is interactive.
func interactiveModels(s *record.Snapshot) map[ident.ModelName]bool {
	out := make(map[ident.ModelName]bool)
	for _, account := range s.Accounts {
		if len(account.Classes) == 0 || account.Classes[0] != ident.Interactive {
			continue
		}
		for _, model := range account.Models {
			out[model] = true
		}
	}
	return out
}
