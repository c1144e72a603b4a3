package dev

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/standin/config"
)

// published says what became of a publish.
type published struct {
	Revision uint64 `json:"revision"`
	// Readdressed lists the backend servers whose address was replaced by the one
	// at which this installation runs them.
	Readdressed []string `json:"readdressed,omitempty"`
	// Forced says that the record has faults and was published all the same.
	Forced bool `json:"forced,omitempty"`
	// stale is set when the revision is not greater than the last one.
	stale  bool
	faults []string
	err    error
}

func (p *publish) serve(c *Cluster, _ time.Time) error {
	p.reply <- c.publish("record", p.value, p.force)
	return nil
}

// publish checks a record, gives it a revision if it has none, and stores it.
func (c *Cluster) publish(name string, value []byte, force bool) published {
	revision, stated, isJSON := revisionOf(value)
	next := c.revision + 1
	if stated {
		next = uint64(revision)
	}
	if isJSON && next <= c.revision {
		return published{Revision: c.revision, stale: true}
	}
	value, readdressed := readdress(value, c.addresses())
	if isJSON && !stated {
		stamped, err := record.SetRevision(value, ident.Revision(next))
		if err != nil && !force {
			return published{faults: []string{err.Error()}}
		}
		if err == nil {
			value = stamped
		}
	}
	_, faults := record.Parse(name, value)
	p := published{Revision: next, Readdressed: readdressed, Forced: len(faults) > 0}
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

// addresses returns the sidecars' link addresses by backend server.
func (c *Cluster) addresses() map[string]string {
	addresses := make(map[string]string)
	for n, s := range servers(c.options) {
		addresses[string(s.id)] = c.layout.servers[n].link
	}
	return addresses
}

// publishFirst publishes the record of the options, or one that fits them.
func (c *Cluster) publishFirst() error {
	value := c.options.Record
	if value == nil {
		var err error
		if value, err = record.EncodeBundle(demoSnapshot(c.options, c.layout, c.keysValid.UTC())); err != nil {
			return errors.Wrap(err, "demo record")
		}
	}
	p := c.publish(c.options.RecordName, value, false)
	switch {
	case p.err != nil:
		return p.err
	case len(p.faults) > 0:
		return &RecordError{Faults: p.faults}
	case p.stale:
		return errors.New("the record's revision must be greater than 0")
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
