package dev

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/standin/config"
)

// publishResult is the result of publishing a record.
type publishResult struct {
	Revision uint64 `json:"revision"`
	// Readdressed lists the backend servers whose address in the record was replaced by
	// that of their sidecar in this installation.
	Readdressed []string `json:"readdressed,omitempty"`
	// Forced is set if the record was published although it has faults.
	Forced bool `json:"forced,omitempty"`
	// staleRevision is set when the revision is not greater than the last one.
	staleRevision bool
	faults        []string
	err           error
}

func (p *publishRecord) serve(c *Cluster, _ time.Time) error {
	p.reply <- c.publish("record", p.value, p.force)
	return nil
}

// publish replaces the addresses in a record, sets its revision if it has none, checks it
// and stores it. A record with faults is stored only if force is set.
func (c *Cluster) publish(name string, value []byte, force bool) publishResult {
	revision, stated, isJSON := statedRevision(value)
	next := c.revision + 1
	if stated {
		next = uint64(revision)
	}
	if isJSON && next <= c.revision {
		return publishResult{Revision: c.revision, staleRevision: true}
	}
	value, readdressed := replaceAddresses(value, c.addresses())
	if isJSON && !stated {
		stamped, err := record.SetRevision(value, ident.Revision(next))
		if err != nil && !force {
			return publishResult{faults: []string{err.Error()}}
		}
		if err == nil {
			value = stamped
		}
	}
	_, faults := record.Parse(name, value)
	p := publishResult{Revision: next, Readdressed: readdressed, Forced: len(faults) > 0}
	for _, f := range faults {
		p.faults = append(p.faults, f.String())
	}
	if len(faults) > 0 && !force {
		return p
	}
	p.faults = nil
	if _, p.err = c.store.Put(c.lifetime, config.RecordKey, value); p.err != nil {
		return p
	}
	if isJSON {
		c.revision = next
	}
	return p
}

// addresses returns the link addresses of the sidecars by backend server.
func (c *Cluster) addresses() map[string]string {
	addresses := make(map[string]string)
	for n, s := range backendServers(c.options) {
		addresses[string(s.id)] = c.layout.servers[n].link
	}
	return addresses
}

// publishFirst publishes the record given in the options, or the demo record.
func (c *Cluster) publishFirst() error {
	value := c.options.Record
	if value == nil {
		var err error
		if value, err = record.EncodeBundle(demoSnapshot(c.options, c.layout, c.keysValidFrom.UTC())); err != nil {
			return errors.Wrap(err, "encode demo record")
		}
	}
	p := c.publish(c.options.RecordName, value, false)
	switch {
	case p.err != nil:
		return p.err
	case len(p.faults) > 0:
		return &RecordError{Faults: p.faults}
	case p.staleRevision:
		return errors.New("publish first record: its revision must be greater than 0")
	}
	return nil
}

// RecordError lists every fault of the record given in the options.
type RecordError struct{ Faults []string }

// Error implements error.
func (e *RecordError) Error() string {
	text := fmt.Sprintf("the record has %d faults", len(e.Faults))
	for _, f := range e.Faults {
		text += "\n" + f
	}
	return text
}
