// Package dev runs a whole installation in one operating-system process over loopback
// TCP: entries, sidecars, backend servers and the platform's services. Its admin interface
// publishes records, injects faults and serves the ground truth of the stand-ins.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
	"github.com/anvilpoint/anvilpoint/internal/standin/instances"
	"github.com/anvilpoint/anvilpoint/internal/standin/service"
)

// Limits of an installation on one machine.
const (
	MaxEntries  = 16
	MaxReplicas = 128
	MaxServices = 32
	MaxDomains  = 16
)

// ProcessOptions are the options of an entry or a sidecar. The fields are those of
// entry.Options and sidecar.Options, so that it converts to both.
type ProcessOptions struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	Events   *eventlog.Log
	Network  network.Network
	Ready    func()
	Kill     <-chan struct{}
}

// Programs holds the functions that run an entry and a sidecar.
type Programs struct {
	Entry   func(ctx context.Context, o ProcessOptions) error
	Sidecar func(ctx context.Context, o ProcessOptions) error
}

// Options describe an installation.
type Options struct {
	// Listen is the address of the first entry for callers; entry k listens on the port
	// plus k. With port 0 the ports of all entries are chosen.
	Listen string
	// Admin is the address of the admin listener; port 0 is allowed.
	Admin    string
	Entries  int
	Replicas int
	// Services is the number of replicas of the plain service.
	Services int
	Domains  []ident.FailureDomain
	// DomainDelay is the one-way delay between failure domains.
	DomainDelay time.Duration
	// Record is published at the start. If it is nil, a record that fits the other options
	// and has the Accounts is published.
	Record []byte
	// RecordName names the record in error messages.
	RecordName string
	Accounts   []record.Account
	// Events receives the events of all processes as JSON lines; nil discards them.
	Events   io.Writer
	Logger   zerolog.Logger
	Programs Programs
	// Engine is the configuration of the engines. Server, Network, Seed, Models,
	// ChecksFencing, WeightStore and Group are set for each engine.
	Engine engine.Config
	// ServiceTime is the time that a replica of the plain service takes for a call.
	ServiceTime time.Duration
	// InstanceLag is the time after which the instance list shows a change.
	InstanceLag time.Duration
	// Grace bounds the wait for work in flight when the installation stops.
	Grace time.Duration
}

// Defaults returns the options of the dev command.
func Defaults() Options {
	return Options{
		Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8090",
		Entries: 3, Replicas: 16, Services: 3, Domains: DomainNames(3),
		RecordName: "record", Accounts: DemoAccounts(), Logger: zerolog.Nop(), Engine: engine.Defaults(),
		ServiceTime: service.DefaultServiceTime, InstanceLag: instances.DefaultLag, Grace: 30 * time.Second,
	}
}

// DomainNames returns the default names of n failure domains.
func DomainNames(n int) []ident.FailureDomain {
	names := make([]ident.FailureDomain, n)
	for i := range names {
		names[i] = ident.FailureDomain(fmt.Sprintf("domain-%d", i))
	}
	return names
}

// Validate returns an error if the options are not valid.
func (o Options) Validate() error {
	for _, c := range []struct {
		name       string
		value, max int
	}{
		{"entries", o.Entries, MaxEntries}, {"replicas", o.Replicas, MaxReplicas},
		{"services", o.Services, MaxServices}, {"domains", len(o.Domains), MaxDomains},
	} {
		if c.value < 1 || c.value > c.max {
			return errors.Errorf("%s must be from 1 to %d, not %d", c.name, c.max, c.value)
		}
	}
	for _, a := range []struct{ name, address string }{{"listen", o.Listen}, {"admin", o.Admin}} {
		if _, _, err := splitAddress(a.address); err != nil {
			return errors.Errorf("%s address: %q is not an IP address and port", a.name, a.address)
		}
	}
	return nil
}

func splitAddress(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, errors.Wrapf(err, "split address %q", address)
	}
	number, err := strconv.ParseUint(text, 10, 16)
	if err != nil || net.ParseIP(host) == nil {
		return "", 0, errors.Errorf("%q is not an IP address and port", address)
	}
	return host, int(number), nil
}
