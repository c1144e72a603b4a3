package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of an entry.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	chunks   prometheus.Counter
	stray    prometheus.Counter
	broken   prometheus.Counter
	links    *prometheus.CounterVec
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
		links: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_link_closed_total", Help: "Links that ended, by reason.",
		}, []string{"reason"}),
	}
	m.registry.MustRegister(m.requests, m.chunks, m.stray, m.broken, m.links)
	return m
}
