package expertmap

import (
	"sync"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
)

type machines struct {
	formation *chart.Machine[*Rank]
	change    *chart.Machine[*Rank]
	leader    *chart.Machine[*Rank]
}

// bind binds the charts once. The result is not changed afterwards.
var bind = sync.OnceValue(func() machines {
	return machines{
		formation: chart.MustBind(charts.Must("group-formation"), formationBinding()),
		change:    chart.MustBind(charts.Must("map-switch"), changeBinding()),
		leader:    chart.MustBind(charts.Must("group-leader"), leaderBinding()),
	}
})

type (
	guards  = map[string]func(*Rank) bool
	actions = map[string]func(*Rank)
	delays  = map[string]func(*Rank) time.Duration
)

func formationBinding() chart.Binding[*Rank] {
	return chart.Binding[*Rank]{
		Guards: guards{
			"newerFormation":     (*Rank).newerFormation,
			"sameFormation":      (*Rank).sameFormation,
			"proposalForThis":    (*Rank).proposalForThis,
			"formationCommitted": (*Rank).formationCommitted,
		},
		Actions: actions{
			"holdEngine":           (*Rank).holdEngine,
			"sendReport":           (*Rank).sendReport,
			"loadFormation":        (*Rank).loadFormation,
			"sendFormationPromise": (*Rank).sendFormationPromise,
			"releaseFormation":     (*Rank).releaseFormation,
			"adoptFormation":       (*Rank).adoptFormation,
		},
		Delays: delays{"settle": func(r *Rank) time.Duration { return r.config.Settle }},
	}
}

func changeBinding() chart.Binding[*Rank] {
	return chart.Binding[*Rank]{
		Guards: guards{"acceptable": (*Rank).acceptable, "sameSwitch": (*Rank).sameSwitch, "newerSwitch": (*Rank).newerSwitch},
		Actions: actions{
			"loadMap":      (*Rank).loadMap,
			"sendPrepared": (*Rank).sendPrepared,
			"armEngine":    (*Rank).armEngine,
			"sendPromise":  (*Rank).sendPromise,
			"sendRefusal":  (*Rank).sendRefusal,
			"refuse":       (*Rank).refuse,
			"askOthers":    (*Rank).askOthers,
			"releaseNew":   (*Rank).releaseNew,
			"releaseOld":   (*Rank).releaseOld,
			"adoptMap":     (*Rank).adoptMap,
		},
		Delays: delays{"doubt": func(r *Rank) time.Duration { return r.config.ExchangeTimeout }},
	}
}

func leaderBinding() chart.Binding[*Rank] {
	return chart.Binding[*Rank]{
		Guards: guards{
			"fromLowerRank":   (*Rank).fromLowerRank,
			"formationNeeded": (*Rank).formationNeeded,
			"leadsView":       (*Rank).canChange,
		},
		Actions: actions{
			"giveUp":          (*Rank).giveUp,
			"sendBeats":       (*Rank).sendBeats,
			"startFormation":  (*Rank).startFormation,
			"sendCollect":     (*Rank).sendCollect,
			"chooseMap":       (*Rank).chooseMap,
			"sendProposal":    (*Rank).sendProposal,
			"commitFormation": (*Rank).commitFormation,
			"startSwitch":     (*Rank).startSwitch,
			"sendPrepare":     (*Rank).sendPrepare,
			"readStep":        (*Rank).readStep,
			"chooseStep":      (*Rank).chooseStep,
			"sendArm":         (*Rank).sendArm,
			"armOwn":          (*Rank).armOwn,
			"abortSwitch":     (*Rank).abortSwitch,
			"commitSwitch":    (*Rank).commitSwitch,
		},
		Delays: delays{
			"takeover":        (*Rank).takeoverDelay,
			"beat":            (*Rank).beatDelay,
			"retry":           func(r *Rank) time.Duration { return r.config.Retry },
			"exchangeTimeout": func(r *Rank) time.Duration { return r.config.ExchangeTimeout },
			"loadTimeout":     func(r *Rank) time.Duration { return r.config.LoadTimeout },
		},
	}
}

// takeoverDelay lets the lowest rank lead at once, since it yields to nobody.
func (r *Rank) takeoverDelay() time.Duration {
	if r.config.Rank == 0 {
		return r.config.Retry
	}
	return r.config.Takeover * time.Duration(min(int(r.config.Rank), maxTakeoverFactor))
}

// beatDelay is short while the group is not formed, so that it forms soon.
func (r *Rank) beatDelay() time.Duration {
	if r.leadsView() {
		return r.config.Beat
	}
	return min(r.config.Beat, formingBeat)
}

// formingBeat is the interval of beats while the group is not formed.
const formingBeat = time.Second

// maxTakeoverFactor bounds how long the last ranks wait for a leader.
const maxTakeoverFactor = 8
