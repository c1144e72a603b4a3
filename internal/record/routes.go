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

// CallKind says how often the work of a request may run.
type CallKind string

// The kinds of calls.
const (
	// Repeatable calls may run more than once.
	Repeatable CallKind = "repeatable"
	// AtMostOnce calls run at most once for each try of a client.
	AtMostOnce CallKind = "at-most-once"
	// Streaming calls answer with a series of events. They run at most once unless
	// the route lets them be resumed.
	Streaming CallKind = "streaming"
)

// NoPriority means that an account has no priority of its own.
const NoPriority = -1

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service ident.ServiceName
	Weight  float64
}

// Route says which service answers the requests under one path of a host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   CallKind
	// TimeLimit is the longest time until the final answer; zero means none.
	TimeLimit time.Duration
	// Target is the latency objective, of streams to the first event, and GapTarget
	// the longest pause between two events.
	Target    time.Duration
	GapTarget time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Split holds at least one service.
	Split []Share
	// MaxAttempts is how many backend servers one try may be sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resume lets a stream go on at another backend server.
	Resume bool
}

// Repeats reports whether the work may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resume
}

// EngineModel describes the model engines of a service.
type EngineModel struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Stride is the number of token steps of one pass.
	Stride int
	// Step is the time of a token step without requests, PerSequence what each
	// writing request adds.
	Step        time.Duration
	PerSequence time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// Layers are the sets of layers with a placement of experts of their own.
	Layers  int
	Experts int
	// Placements is how many experts a rank holds per layer set, MaxNew how many of
	// them one change may replace.
	Placements int
	MaxNew     int
	// ExpertCopy is the time to copy one expert to a rank.
	ExpertCopy time.Duration
	// ExpertShare is the part of the work for a token that experts do, from 0 to 1.
	ExpertShare float64
}

// HTTPService is a service whose backend servers are called over HTTP.
type HTTPService struct {
	Name       ident.ServiceName
	HealthPath string
	// MaxConnections is what one backend server accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *EngineModel
}

// Limits bound what a client may send and how long it may take.
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
	// Priority goes before the route's unless it is NoPriority.
	Priority int
}

// RouteSpec is what a set of routes is made from.
type RouteSpec struct {
	Version  ident.Revision
	Routes   []Route
	Services map[ident.ServiceName]HTTPService
	Limits   Limits
	Accounts []RouteAccount
	// RequiresKey says that requests need an account unless their route is anonymous.
	RequiresKey bool
}

// Routes is one accepted set of routes. It is immutable.
type Routes struct {
	spec     RouteSpec
	byHost   map[string][]Route
	accounts map[KeyHash]RouteAccount
}

// NewRoutes checks and indexes routes.
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
			return errors.Errorf("route %q: the share of service %q is not valid", r.Name, s.Service)
		}
	}
	if len(r.Split) == 0 {
		return errors.Errorf("route %q: there is no service", r.Name)
	}
	return nil
}

// canonicalHost strips the port and the case of a host name.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Version returns the version of the routes.
func (r *Routes) Version() ident.Revision { return r.spec.Version }

// Limits returns the bounds on clients.
func (r *Routes) Limits() Limits { return r.spec.Limits }

// Services returns all services by name.
func (r *Routes) Services() map[ident.ServiceName]HTTPService { return r.spec.Services }

// RequiresKey reports whether requests need an account.
func (r *Routes) RequiresKey() bool { return r.spec.RequiresKey }

// Match returns the route with the longest prefix of the path.
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
