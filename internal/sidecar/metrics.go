package sidecar

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of a sidecar.
type metrics struct {
	registry    *prometheus.Registry
	refused     *prometheus.CounterVec
	chunks      prometheus.Counter
	streams     prometheus.Gauge
	linksClosed *prometheus.CounterVec
	bookings    *prometheus.CounterVec
	keys        prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_sidecar_refused_total", Help: "Attempts refused with proof, by reason.",
		}, []string{"reason"}),
		chunks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_sidecar_chunks_total", Help: "Pieces of answers sent to entries.",
		}),
		streams: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "anvilpoint_sidecar_streams", Help: "Streams that are running or held for readers.",
		}),
		linksClosed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_link_closed_total", Help: "Links that ended, by reason.",
		}, []string{"reason"}),
	}
	m.bookings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "anvilpoint_sidecar_bookings_total", Help: "Answers to booking calls, by outcome and reason.",
	}, []string{"outcome", "reason"})
	m.keys = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "anvilpoint_sidecar_booking_keys", Help: "Idempotency keys in the key table.",
	})
	m.registry.MustRegister(m.bookings, m.keys)
	m.registry.MustRegister(m.refused, m.chunks, m.streams, m.linksClosed)
	return m
}
