package record

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// CallKind tells whether the work of a request may run more than once.
type CallKind string

// The kinds of calls.
const (
	// Repeatable calls may run more than once.
	Repeatable CallKind = "repeatable"
	// AtMostOnce calls run at most once for each request of a client.
	AtMostOnce CallKind = "at-most-once"
	// Streaming calls answer with a series of events. They run at most once unless
	// the route allows streams to be resumed.
	Streaming CallKind = "streaming"
)

// NoPriority is the priority of an account that uses the route's.
const NoPriority = -1

// Share is a service's part of a route's requests: its weight divided by the sum
// of the weights.
type Share struct {
	Service ident.ServiceName
	Weight  float64
}

// Route describes the requests under one path prefix of a host and the services
// that answer them.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   CallKind
	// TimeLimit is the longest time until the end of the answer; zero means none.
	TimeLimit time.Duration
	// Target is the latency objective; for streams it ends at the first event.
	Target time.Duration
	// GapTarget is the objective for the pause between two events of a stream.
	GapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Split distributes the requests over services. It has at least one element.
	Split []Share
	// MaxAttempts is the number of backend servers that one request may be sent to.
	MaxAttempts int
	// Anonymous allows requests without an API key.
	Anonymous bool
	// Resume allows a broken stream to be continued at another backend server.
	Resume bool
}

// Repeats reports whether the work of a request may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resume
}

// EngineProfile describes the performance of a service's model engines and the
// layout of their experts.
type EngineProfile struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Stride is the number of decode steps in one pass of the engine.
	Stride int
	// Step is the time of a decode step without requests.
	Step time.Duration
	// PerSequence is the time that each decoding request adds to a step.
	PerSequence time.Duration
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// Layers is the number of layer sets. Each has its own placement of experts.
	Layers int
	// Experts is the number of experts of a layer set.
	Experts int
	// Placements is the number of experts that a rank holds per layer set.
	Placements int
	// MaxNew is the number of experts, per rank and layer set, that one change of
	// the expert map may replace.
	MaxNew int
	// ExpertCopy is the time to copy one expert to a rank.
	ExpertCopy time.Duration
	// ExpertShare is the share of the work for a token that is done by experts,
	// from 0 to 1.
	ExpertShare float64
}

// HTTPService is a service whose backend servers are called over HTTP.
type HTTPService struct {
	Name       ident.ServiceName
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts
	// from all its clients together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *EngineProfile
}

// Limits are the limits on the size and duration of clients' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [32]byte

// RouteAccount is a client account of the routes.
type RouteAccount struct {
	ID        ident.ClientAccount
	KeyHashes []KeyHash
	// Priority replaces the route's priority unless it is NoPriority.
	Priority int
}

// RouteSpec is the input from which NewRoutes makes a set of routes.
type RouteSpec struct {
	Version  ident.Revision
	Routes   []Route
	Services map[ident.ServiceName]HTTPService
	Limits   Limits
	Accounts []RouteAccount
	// RequiresKey reports whether requests need an account unless their route is anonymous.
	RequiresKey bool
}

// Routes is one accepted set of routes. It is immutable.
type Routes struct {
	spec     RouteSpec
	byHost   map[string][]Route
	accounts map[KeyHash]RouteAccount
}

// NewRoutes checks the routes and indexes them by host and API key.
func NewRoutes(spec RouteSpec) (*Routes, error) {
	if spec.Version == 0 {
		return nil, errors.New("routes: the version is missing")
	}
	r := &Routes{spec: spec, byHost: make(map[string][]Route), accounts: make(map[KeyHash]RouteAccount)}
	for _, route := range spec.Routes {
		if err := route.check(); err != nil {
			return nil, err
		}
		host := canonicalHost(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, list := range r.byHost {
		slices.SortFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range spec.Accounts {
		for _, hash := range a.KeyHashes {
			r.accounts[hash] = a
		}
	}
	return r, nil
}

func (r *Route) check() error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	for _, s := range r.Split {
		if s.Weight < 0 || s.Service == "" {
			return errors.Errorf("route %q: weight %v of service %q is negative or the service has no name", r.Name, s.Weight, s.Service)
		}
	}
	if len(r.Split) == 0 {
		return errors.Errorf("route %q: no service is named", r.Name)
	}
	return nil
}

// canonicalHost returns a host name in lower case and without a port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func (r *Routes) Version() ident.Revision { return r.spec.Version }

// Limits returns the limits on clients' requests.
func (r *Routes) Limits() Limits { return r.spec.Limits }

// Services returns all services by name.
func (r *Routes) Services() map[ident.ServiceName]HTTPService { return r.spec.Services }

// RequiresKey reports whether requests need an account.
func (r *Routes) RequiresKey() bool { return r.spec.RequiresKey }

// Match returns the host's route with the longest prefix of the path.
func (r *Routes) Match(host, path string) (*Route, bool) {
	list := r.byHost[canonicalHost(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// Account returns the account that owns the API key with the hash.
func (r *Routes) Account(hash KeyHash) (RouteAccount, bool) {
	a, ok := r.accounts[hash]
	return a, ok
}
