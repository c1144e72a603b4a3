package clientconn

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count what a process refused to its clients.
type Metrics struct {
	// evicted counts connections that gave way to others.
	evicted prometheus.Counter
	// refused counts requests that were refused before they were parsed, by status.
	refused *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		evicted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_clients_evicted_total", Help: "Connections of clients that were closed to make room for others."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_refused_heads_total", Help: "Requests that were refused before they were parsed, by status."}, []string{"status"}),
	}
	registry.MustRegister(m.evicted, m.refused)
	return m
}

func (m *Metrics) countRefusal(status int) { m.refused.WithLabelValues(strconv.Itoa(status)).Inc() }
