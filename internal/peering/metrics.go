package peering

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of record distribution, membership and orders.
type Metrics struct {
	revision prometheus.Gauge
	refused  prometheus.Counter
	stale    prometheus.Counter
	reads    *prometheus.CounterVec
	pushes   *prometheus.CounterVec
	peers    *prometheus.CounterVec
	orders   *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	m := &Metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "anvilpoint_record_revision", Help: "Revision of the configuration record in force.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_record_refused_total", Help: "Configuration records that were refused.",
		}),
		stale: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_record_stale_total", Help: "Older records that the configuration service returned; they are ignored.",
		}),
		reads:  counter("anvilpoint_configuration_reads_total", "Reads of the configuration service, by result.", "result"),
		pushes: counter("anvilpoint_record_pushes_total", "Records sent to peers, by form.", "form"),
		peers:  counter("anvilpoint_peer_changes_total", "Changes of the belief about a peer, by new state.", "state"),
		orders: counter("anvilpoint_orders_total", "Orders sent to the engine, by kind.", "kind"),
	}
	registry.MustRegister(m.revision, m.refused, m.stale, m.reads, m.pushes, m.peers, m.orders)
	return m
}
