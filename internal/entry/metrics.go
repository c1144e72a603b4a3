package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvilpoint/anvilpoint/internal/clientconn"
)

// metrics are the Prometheus metrics of an entry.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	chunks   prometheus.Counter
	stray    prometheus.Counter
	broken   prometheus.Counter
	crashes  prometheus.Counter
	// quarantined counts the requests whose repeats are kept from the servers.
	quarantined prometheus.Gauge
	links       *prometheus.CounterVec
	clients     *clientconn.Metrics
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_entry_requests_total", Help: "Requests that ended, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		chunks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_entry_chunks_total", Help: "Pieces of answers received in order.",
		}),
		stray: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_entry_stray_frames_total", Help: "Frames of attempts that are over; they are dropped.",
		}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_entry_broken_attempts_total", Help: "Attempts that ended without a whole answer.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_entry_backend_crashes_total", Help: "Attempts whose backend server crashed before the first output.",
		}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "anvilpoint_entry_quarantined_requests", Help: "Requests whose repeats are kept from the backend servers.",
		}),
		links: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_link_closed_total", Help: "Links that ended, by reason.",
		}, []string{"reason"}),
	}
	m.clients = clientconn.NewMetrics(m.registry)
	m.registry.MustRegister(m.requests, m.chunks, m.stray, m.broken, m.crashes, m.quarantined, m.links)
	return m
}
