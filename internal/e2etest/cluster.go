// Package e2etest runs entries and sidecars over loopback against minimal engines
// and services, for end-to-end tests and for the measurement of the relay.
package e2etest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/entry"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/sidecar"
	"github.com/anvilpoint/anvilpoint/task"
)

// API keys of the client accounts a and b.
const (
	AccountKey      = "key-of-account-a"
	OtherAccountKey = "key-of-account-b"
)

// Names of the model and of the plain service in the record of a cluster.
const (
	Model   ident.ModelName   = "m"
	Service ident.ServiceName = "logbook"
)

// Backend is a backend server of a cluster.
type Backend struct {
	Server ident.ServerID
	// Kind is engine or service.
	Kind string
	URL  string
}

// Settings returns the part of a sidecar's settings that names the backend.
func (b Backend) Settings() *settings.Backend {
	return &settings.Backend{Server: b.Server, Kind: b.Kind, URL: b.URL}
}

// Process is a running entry or sidecar.
type Process struct {
	// Address is where callers reach an entry, or entries reach a sidecar.
	Address    string
	Operations string
	// Done receives the result of the process once, when it has ended.
	Done <-chan error
	stop context.CancelFunc
	kill chan struct{}
}

// Stop starts the graceful shutdown of the process: it drains and then ends.
func (p *Process) Stop() { p.stop() }

// Kill ends the process at once, without draining.
func (p *Process) Kill() { close(p.kill) }

// Cluster is a set of processes over loopback with a configuration service and an
// instance list of its own.
type Cluster struct {
	ctx       context.Context
	addresses *addressAllocator
	platform  *httptest.Server
	// Grace is the grace period of processes that are started after it is set.
	Grace    time.Duration
	Network  network.Network
	logger   zerolog.Logger
	store    *store
	snapshot *record.Snapshot
	// entryLinks are the link addresses of the entries started so far.
	entryLinks []string
}

// Config describes a cluster.
type Config struct {
	Backends []Backend
	// Deadline is the deadline of every priority class; zero means 10 s.
	Deadline time.Duration
	Logger   zerolog.Logger
}

// NewCluster starts the configuration service and the instance list. The record
// names the backends, each with a sidecar address of its own, which is returned
// in the same order.
func NewCluster(ctx context.Context, c Config) (*Cluster, []string, error) {
	backends := c.Backends
	if c.Deadline == 0 {
		c.Deadline = 10 * time.Second
	}
	allocator := newAddressAllocator()
	addresses, err := allocator.allocate(len(backends))
	if err != nil {
		return nil, nil, err
	}
	cluster := &Cluster{
		ctx: ctx, addresses: allocator, Grace: 5 * time.Second, Network: network.System{}, logger: c.Logger,
		snapshot: newSnapshot(c, addresses),
	}
	value, err := cluster.record(1)
	if err != nil {
		return nil, nil, err
	}
	cluster.store = newStore(value)
	go cluster.store.run(ctx)
	mux := http.NewServeMux()
	mux.Handle("/v1/values/anvilpoint.record", cluster.store)
	mux.HandleFunc("/v1/instances", instanceList(backends, addresses))
	cluster.platform = httptest.NewServer(mux)
	return cluster, addresses, nil
}

// PublishKeysValidFrom publishes a record that sets KeysValidFrom of every service to now: no
// idempotency key was used before. Sidecars that started earlier accept opaque
// keys once they have read it.
func (c *Cluster) PublishKeysValidFrom() error {
	for name, s := range c.snapshot.Services {
		s.KeysValidFrom = time.Now()
		c.snapshot.Services[name] = s
	}
	value, err := c.record(2)
	if err != nil {
		return err
	}
	_, ok := task.Ask(c.ctx, c.store.mailbox, func(reply chan<- storeValue) storeMessage {
		return storeMessage{data: value, reply: reply}
	})
	if !ok {
		return errors.New("publish record revision 2: the configuration service has stopped")
	}
	return nil
}

func (c *Cluster) record(revision ident.Revision) ([]byte, error) {
	value, err := record.Encode(record.NewestSchema, c.snapshot)
	if err != nil {
		return nil, err
	}
	return record.SetRevision(value, revision)
}

func newSnapshot(c Config, addresses []string) *record.Snapshot {
	s := &record.Snapshot{
		Accounts: map[ident.ClientAccount]record.Account{"a": account("a", AccountKey), "b": account("b", OtherAccountKey)},
		Classes: map[ident.PriorityClass]record.Class{
			ident.Interactive: class(ident.Interactive, 0.5, c.Deadline), ident.Analytical: class(ident.Analytical, 0.2, c.Deadline), ident.Batch: class(ident.Batch, 0.1, c.Deadline),
		},
		BookingShare: 0.1,
		Models:       map[ident.ModelName]record.Model{Model: {Name: Model, Version: "v1", Bytes: 1}, "other": {Name: "other", Version: "v1", Bytes: 1}},
		Replicas:     map[ident.ServerID]record.Replica{}, Services: map[ident.ServiceName]record.Service{},
		Groups: map[ident.GroupID]record.Group{}, WeightStoreRate: 1 << 30,
	}
	logbook := record.Service{Name: Service, OpaqueKeyWindow: 24 * time.Hour, Repeatable: []record.CallPattern{{Method: "GET", Prefix: "/"}}}
	for n, b := range c.Backends {
		if b.Kind == "service" {
			logbook.Replicas = append(logbook.Replicas, record.ServiceReplica{ID: b.Server, Address: addresses[n], Domain: "d"})
			continue
		}
		s.Replicas[b.Server] = record.Replica{ID: b.Server, Address: addresses[n], Domain: "d", Role: record.RoleServe, Model: Model}
	}
	s.Services[Service] = logbook
	if len(logbook.Replicas) == 0 {
		s.Services = map[ident.ServiceName]record.Service{}
		for id, a := range s.Accounts {
			a.Services = nil
			s.Accounts[id] = a
		}
	}
	return s
}

func account(id ident.ClientAccount, key string) record.Account {
	sum := sha256.Sum256([]byte(key))
	return record.Account{
		ID: id, KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1,
		Classes: []ident.PriorityClass{ident.Interactive, ident.Batch}, Models: []ident.ModelName{Model}, Services: []ident.ServiceName{Service},
	}
}

func class(name ident.PriorityClass, share float64, deadline time.Duration) record.Class {
	return record.Class{
		Name: name, FirstTokenTarget: min(time.Second, deadline), TokenTarget: time.Second, Deadline: deadline, Worth: 1, Share: share,
	}
}

// Close stops the configuration service and the instance list.
func (c *Cluster) Close() {
	c.platform.CloseClientConnections()
	c.platform.Close()
}

// Settings returns the settings of a process with free addresses of its own. The
// parameter links is the link address; if empty, a free one is chosen.
func (c *Cluster) Settings(role message.Role, name, links string) (*settings.Settings, error) {
	addresses, err := c.addresses.allocate(3)
	if err != nil {
		return nil, err
	}
	if links == "" {
		links = addresses[1]
	}
	return &settings.Settings{
		Role: role, Instance: ident.InstanceID(name), Domain: "d", Region: "default",
		Listen: addresses[0], LinkListen: links, Operations: addresses[2],
		ConfigService: c.platform.URL, InstanceList: c.platform.URL, Grace: c.Grace,
		TLS: settings.TLS{PlainText: true}, MaxBodyBytes: 1 << 20, Limits: settings.DefaultLimits(),
	}, nil
}

// StartEntry starts an entry and waits until it is ready.
func (c *Cluster) StartEntry(name string) (*Process, error) {
	s, err := c.Settings(message.RoleEntry, name, "")
	if err != nil {
		return nil, err
	}
	s.Peers = slices.Clone(c.entryLinks)
	c.entryLinks = append(c.entryLinks, s.LinkListen)
	return c.start(s, s.Listen, func(ctx context.Context, ready func(), kill <-chan struct{}) error {
		return entry.Run(ctx, entry.Options{Settings: s, Logger: c.logger, Events: c.events(), Network: c.Network, Ready: ready, Kill: kill})
	})
}

// StartSidecar starts the sidecar of a backend and waits until it is ready.
func (c *Cluster) StartSidecar(b Backend, address string) (*Process, error) {
	s, err := c.Settings(message.RoleSidecar, string(b.Server), address)
	if err != nil {
		return nil, err
	}
	s.Backend = b.Settings()
	return c.start(s, address, func(ctx context.Context, ready func(), kill <-chan struct{}) error {
		return sidecar.Run(ctx, sidecar.Options{Settings: s, Logger: c.logger, Events: c.events(), Network: c.Network, Ready: ready, Kill: kill})
	})
}

func (c *Cluster) events() *eventlog.Log { return eventlog.Discard(hlc.New(time.Now)) }

func (c *Cluster) start(s *settings.Settings, address string, run func(ctx context.Context, ready func(), kill <-chan struct{}) error) (*Process, error) {
	ctx, stop := context.WithCancel(c.ctx)
	done := make(chan error, 1)
	ready := make(chan struct{})
	p := &Process{Address: address, Operations: s.Operations, Done: done, stop: stop, kill: make(chan struct{})}
	go func() { done <- run(ctx, func() { close(ready) }, p.kill) }()
	select {
	case <-ready:
		return p, nil
	case err := <-done:
		stop()
		return nil, errors.WithMessagef(err, "%s ended before it was ready", s.Instance)
	}
}

// Request returns an HTTP request to an entry with the key of an account.
func Request(ctx context.Context, method, url, key string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bodyReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	return r, nil
}

type completionRequest struct {
	Model    ident.ModelName `json:"model"`
	Stream   bool            `json:"stream"`
	Messages []chatMessage   `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion returns the body of a completion request.
func Completion(stream bool) []byte {
	body, err := json.Marshal(completionRequest{Model: Model, Stream: stream, Messages: []chatMessage{{Role: "user", Content: "hello"}}})
	if err != nil {
		panic(err)
	}
	return body
}
