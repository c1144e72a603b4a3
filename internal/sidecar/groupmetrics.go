package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvilpoint/anvilpoint/internal/decide/balance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
)

// groupMetrics are the figures of this rank's part in its group.
type groupMetrics struct {
	formed   prometheus.Gauge
	epoch    prometheus.Gauge
	step     prometheus.Gauge
	busy     prometheus.Gauge
	notices  *prometheus.CounterVec
	sent     prometheus.Counter
	skew     prometheus.Gauge
	expected prometheus.Gauge
	moved    prometheus.Counter
}

func newGroupMetrics(registry *prometheus.Registry) *groupMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "anvilpoint_group_" + name, Help: help})
		registry.MustRegister(g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "anvilpoint_group_" + name, Help: help})
		registry.MustRegister(c)
		return c
	}
	m := &groupMetrics{
		formed: gauge("formed", "1 while this rank is in a formation that runs."),
		epoch:  gauge("epoch", "Epoch of the expert map that this rank adopted last."),
		step:   gauge("step_seconds", "Recent mean step time of the group."),
		busy:   gauge("rank_busy_seconds", "Part of a step in which this rank works instead of waiting for others."),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_group_events_total", Help: "Prepared, adopted and aborted switches and formations, by event.",
		}, []string{"event"}),
		sent:     counter("sent_bytes_total", "Bytes of protocol messages sent to other ranks."),
		skew:     gauge("skew", "Leader only: slowest rank over the best possible, mean over the layers, as last planned from."),
		expected: gauge("skew_expected", "Leader only: the skew expected after the last plan."),
		moved:    counter("copies_planned_total", "Leader only: expert copies that plans asked to move."),
	}
	registry.MustRegister(m.notices)
	return m
}

func (m *groupMetrics) show(r groupReport, rank *expertmap.Rank, s engine.GroupState) {
	m.formed.Set(0)
	if r.state == groupFormed {
		m.formed.Set(1)
	}
	m.step.Set(s.StepMicros / 1e6)
	m.busy.Set(s.RankMicros / 1e6)
	if rank != nil {
		epoch, _ := rank.Map()
		m.epoch.Set(float64(epoch))
	}
}

func (m *groupMetrics) planned(p balance.Plan) {
	m.skew.Set(p.SkewBefore)
	m.expected.Set(p.SkewAfter)
	m.moved.Add(float64(p.Copies))
}
