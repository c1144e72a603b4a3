package orders

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// scheduleKey ranks the servers in the schedule of loads. It does not depend on
// the model, so that a retreat and a return load in the same order.
const scheduleKey = "load schedule"

// DesiredFor returns what a record asks of one backend server, with its place
// in the schedule of loads. The place counts the servers whose model the record
// changes and that load earlier: those with interactive models first, then by
// rendezvous score. Without an earlier record every server may need its load.
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
	desired.Interval = time.Duration(float64(model.Bytes) / float64(after.WeightStoreRate) * float64(time.Second))
	urgent := interactiveModels(after)
	own := rank{urgent[replica.Model], rendezvous.Score(scheduleKey, string(server)), server}
	for id, other := range after.Replicas {
		if id == server || !loads(before, after, other) {
			continue
		}
		if (rank{urgent[other.Model], rendezvous.Score(scheduleKey, string(id)), id}).before(own) {
			desired.Place++
		}
	}
	return desired, true
}

type rank struct {
	urgent bool
	score  uint64
	server ident.ServerID
}

func (r rank) before(other rank) bool {
	if r.urgent != other.urgent {
		return r.urgent
	}
	if r.score != other.score {
		return r.score > other.score
	}
	return r.server < other.server
}

func stateOf(s *record.Snapshot, replica record.Replica) State {
	model := s.Models[replica.Model]
	return State{Model: replica.Model, Version: model.Version, Adapters: model.Adapters, Role: replica.Role}
}

// loads reports whether the step from one record to the next makes the replica
// read from the weight store.
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

// interactiveModels are the models of accounts whose default class is interactive.
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
