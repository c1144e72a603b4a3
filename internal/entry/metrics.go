package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics are the entry's own figures.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	chunks   prometheus.Counter
	stray    prometheus.Counter
	broken   prometheus.Counter
	links    *prometheus.CounterVec
	record   prometheus.Gauge
	badValue prometheus.Counter
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
		record: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "anvilpoint_record_revision", Help: "Revision of the configuration record in force.",
		}),
		badValue: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_record_refused_total", Help: "Configuration records that were refused.",
		}),
	}
	m.registry.MustRegister(m.requests, m.chunks, m.stray, m.broken, m.links, m.record, m.badValue)
	return m
}
