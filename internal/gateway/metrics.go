package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvilpoint/anvilpoint/internal/clientconn"
)

// metrics are the counters and histograms of an entry.
type metrics struct {
	registry    *prometheus.Registry
	arrived     prometheus.Counter
	ended       *prometheus.CounterVec
	broken      prometheus.Counter
	opened      prometheus.Counter
	firstOutput prometheus.Histogram
	duration    prometheus.Histogram
	storeReads  *prometheus.CounterVec
	links       *prometheus.CounterVec
	version     prometheus.Gauge
	crashes     prometheus.Counter
	quarantined prometheus.Gauge
	// quarantinedRequests counts whole requests, quarantined prompt parts.
	quarantinedRequests prometheus.Gauge
	rateLimited         prometheus.Gauge
	// servers counts the backend servers by state: ready or leaving.
	servers *prometheus.GaugeVec
	// storeRestores counts the restores of the store, once for each watch.
	storeRestores prometheus.Counter
	clients       *clientconn.Metrics
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		arrived:  prometheus.NewCounter(prometheus.CounterOpts{Name: "anvilpoint_requests_arrived_total", Help: "Requests that clients sent."}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_requests_ended_total", Help: "Requests by outcome and reason."}, []string{"outcome", "reason"}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{Name: "anvilpoint_attempts_broken_total", Help: "Attempts that a backend server broke off."}),
		opened: prometheus.NewCounter(prometheus.CounterOpts{Name: "anvilpoint_connections_opened_total", Help: "Connections opened to backend servers."}),
		firstOutput: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "anvilpoint_first_output_seconds", Help: "Time from a request's arrival to the first output of its stream.",
			Buckets: prometheus.ExponentialBuckets(0.02, 2, 10)}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "anvilpoint_request_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11)}),
		storeReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_store_calls_total", Help: "Calls to the platform's store by result."}, []string{"result"}),
		links: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_links_closed_total", Help: "Links to other processes that closed, by reason."}, []string{"reason"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{Name: "anvilpoint_routes_version", Help: "Version of the routes in force."}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_backend_crashes_total", Help: "Attempts whose backend server crashed before the first output."}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "anvilpoint_quarantined_prompt_parts", Help: "Prompt parts that are kept from the model engines."}),
		quarantinedRequests: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "anvilpoint_quarantined_requests", Help: "Requests whose repeats are kept from the backend servers."}),
		rateLimited: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "anvilpoint_rate_limited_servers", Help: "Backend servers that announce how many requests a second they take."}),
		servers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "anvilpoint_backend_servers", Help: "Backend servers that are known, by state."}, []string{"state"}),
		storeRestores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "anvilpoint_store_restores_total", Help: "Restores of the platform's store from a copy, as each watch noticed them."}),
	}
	m.clients = clientconn.NewMetrics(m.registry)
	m.registry.MustRegister(m.arrived, m.ended, m.broken, m.opened, m.firstOutput, m.duration, m.storeReads, m.links, m.version, m.crashes, m.quarantined, m.quarantinedRequests, m.rateLimited, m.servers, m.storeRestores)
	return m
}
