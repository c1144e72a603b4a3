package rank

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
)

// metrics are the Prometheus metrics of the agent process.
type metrics struct {
	registry *prometheus.Registry
	changes  *prometheus.CounterVec
	orders   *prometheus.CounterVec
	links    *prometheus.CounterVec
	skew     *prometheus.GaugeVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_map_transitions_total", Help: "Transitions of changes of the expert map by the state entered."}, []string{"state"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_engine_orders_total", Help: "Orders to the engine by kind and result."}, []string{"order", "result"}),
		links: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_links_closed_total", Help: "Links to other processes that closed, by reason."}, []string{"reason"}),
		skew: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "anvilpoint_map_skew", Help: "Work of the most loaded rank over the mean, before and after the last plan."}, []string{"when"}),
	}
	m.registry.MustRegister(m.changes, m.orders, m.links, m.skew)
	return m
}

func (m *metrics) setSkew(p placement.Plan) {
	m.skew.WithLabelValues("before").Set(p.SkewBefore)
	m.skew.WithLabelValues("planned").Set(p.SkewAfter)
}

func (m *metrics) countOrder(kind mapchange.OrderKind, result mapchange.Result) {
	text := "unanswered"
	switch result {
	case mapchange.Accepted:
		text = "accepted"
	case mapchange.Conflicting:
		text = "conflicting"
	}
	m.orders.WithLabelValues(string(kind), text).Inc()
}
