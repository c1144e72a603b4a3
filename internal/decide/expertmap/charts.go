package expertmap

import (
	"sync"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
)

type boundCharts struct {
	formation *chart.Machine[*Rank]
	mapSwitch *chart.Machine[*Rank]
	leader    *chart.Machine[*Rank]
}

// bindCharts binds the charts once; the result is immutable.
var bindCharts = sync.OnceValue(func() boundCharts {
	return boundCharts{
		formation: chart.MustBind(charts.Must("group-formation"), formationBinding()),
		mapSwitch: chart.MustBind(charts.Must("map-switch"), switchBinding()),
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
			"newerFormation":          (*Rank).newerFormation,
			"sameFormation":           (*Rank).sameFormation,
			"includesThisIncarnation": (*Rank).includesThisIncarnation,
			"formationCommitted":      (*Rank).formationCommitted,
		},
		Actions: actions{
			"holdEngine":           (*Rank).holdEngine,
			"sendReport":           (*Rank).sendReport,
			"loadFormation":        (*Rank).loadFormation,
			"sendFormationPromise": (*Rank).sendFormationPromise,
			"releaseFormation":     (*Rank).releaseFormation,
			"adoptFormation":       (*Rank).adoptFormation,
		},
		Delays: delays{"settleTime": func(r *Rank) time.Duration { return r.config.SettleTime }},
	}
}

func switchBinding() chart.Binding[*Rank] {
	return chart.Binding[*Rank]{
		Guards: guards{"acceptable": (*Rank).acceptable, "sameSwitch": (*Rank).sameSwitch, "newerSwitch": (*Rank).newerSwitch},
		Actions: actions{
			"loadMap":       (*Rank).loadMap,
			"sendPrepared":  (*Rank).sendPrepared,
			"armEngine":     (*Rank).armEngine,
			"sendPromise":   (*Rank).sendPromise,
			"sendRefusal":   (*Rank).sendRefusal,
			"recordRefusal": (*Rank).recordRefusal,
			"queryPeers":    (*Rank).queryPeers,
			"releaseNew":    (*Rank).releaseNew,
			"releaseOld":    (*Rank).releaseOld,
			"adoptMap":      (*Rank).adoptMap,
		},
		Delays: delays{"decisionTimeout": func(r *Rank) time.Duration { return r.config.ExchangeTimeout }},
	}
}

func leaderBinding() chart.Binding[*Rank] {
	return chart.Binding[*Rank]{
		Guards: guards{
			"fromLowerRank":   (*Rank).fromLowerRank,
			"formationNeeded": (*Rank).formationNeeded,
			"canSwitch":       (*Rank).canSwitch,
		},
		Actions: actions{
			"abortOwnSwitch":  (*Rank).abortOwnSwitch,
			"sendHeartbeats":  (*Rank).sendHeartbeats,
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
			"armSelf":         (*Rank).armSelf,
			"abortSwitch":     (*Rank).abortSwitch,
			"commitSwitch":    (*Rank).commitSwitch,
		},
		Delays: delays{
			"takeoverTimeout":   (*Rank).takeoverDelay,
			"heartbeatInterval": (*Rank).heartbeatDelay,
			"retryInterval":     func(r *Rank) time.Duration { return r.config.RetryInterval },
			"exchangeTimeout":   func(r *Rank) time.Duration { return r.config.ExchangeTimeout },
			"loadTimeout":       func(r *Rank) time.Duration { return r.config.LoadTimeout },
		},
	}
}

// takeoverDelay returns how long the rank waits for a leader before it leads itself.
// Rank 0 waits only for one retry interval, since it yields to no other rank.
func (r *Rank) takeoverDelay() time.Duration {
	if r.config.Rank == 0 {
		return r.config.RetryInterval
	}
	return r.config.TakeoverTimeout * time.Duration(min(int(r.config.Rank), maxTakeoverFactor))
}

// heartbeatDelay returns the interval of heartbeats, which is shorter while the group is
// not formed, so that it forms soon.
func (r *Rank) heartbeatDelay() time.Duration {
	if r.leadsView() {
		return r.config.HeartbeatInterval
	}
	return min(r.config.HeartbeatInterval, formingHeartbeatInterval)
}

// formingHeartbeatInterval is the greatest interval of heartbeats while the group is not
// formed.
const formingHeartbeatInterval = time.Second

// maxTakeoverFactor bounds how long high ranks wait for a leader, in multiples of the
// takeover timeout.
const maxTakeoverFactor = 8
