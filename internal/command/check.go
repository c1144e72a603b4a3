package command

import (
	"fmt"
	"os"
	"slices"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/platform"
)

func init() {
	register(spec{
		name:  "check",
		short: "Check settings, configuration records and the platform's configuration",
		long:  "Reports every fault of the files with its place. The kinds of files are told apart by their fields. With two records it also prints what changes from the first to the second.",
		make:  func(env *environment) flags.Commander { return &checkCommand{env: env} },
	})
}

type checkCommand struct{ env *environment }

// Usage implements flags.Usage.
func (c *checkCommand) Usage() string { return "FILE..." }

// Execute implements flags.Commander.
func (c *checkCommand) Execute(files []string) error {
	if len(files) == 0 {
		return badInputf("usage: anvilpoint check FILE...")
	}
	var records []*record.Snapshot
	bad := 0
	for _, file := range files {
		snapshot, err := c.checkFile(file)
		if err != nil {
			bad++
			fmt.Fprintln(c.env.err, err)
			continue
		}
		if snapshot != nil {
			records = append(records, snapshot)
		}
	}
	if bad > 0 {
		return badInputf("%d of %d files have faults", bad, len(files))
	}
	if len(files) == 2 && len(records) == 2 {
		return c.printChanges(records[0], records[1])
	}
	return nil
}

// checkFile checks one file. It returns the snapshot of a record, and nil for other
// kinds of files.
func (c *checkCommand) checkFile(file string) (*record.Snapshot, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithMessage(err, "cannot read the file to check")
	}
	switch {
	case hasField(data, "/metrics_listen"):
		_, faults := settings.ParseHosted(file, data)
		return nil, c.report(file, "settings of a hosted process", faults)
	case hasField(data, "/routes"):
		if _, err := platform.DecodeRoutes(data); err != nil {
			return nil, errors.WithMessage(err, file)
		}
		return nil, c.report(file, "configuration of the platform", nil)
	case !isRecord(data):
		_, faults := settings.Parse(file, data)
		return nil, c.report(file, "settings", faults)
	}
	snapshot, faults := record.Parse(file, data)
	return snapshot, c.report(file, "record", faults)
}

func (c *checkCommand) report(file, kind string, faults jsonc.Faults) error {
	if len(faults) > 0 {
		return faults
	}
	_, err := fmt.Fprintf(c.env.out, "%s: valid %s\n", file, kind)
	return err
}

// isRecord recognizes a record or a bundle by fields that settings do not have. One
// such field is enough, so that a record without its schema field is still checked
// as a record.
func isRecord(data []byte) bool {
	return hasField(data, "/schema", "/records", "/revision", "/accounts", "/classes", "/replicas")
}

// hasField reports whether the data is valid JSON with comments and has one of the
// fields, given as JSON pointers.
func hasField(data []byte, fields ...string) bool {
	tree, err := hujson.Parse(data)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(fields, func(field string) bool { return tree.Find(field) != nil })
}

func (c *checkCommand) printChanges(before, after *record.Snapshot) error {
	changes := record.Changes(before, after)
	if len(changes) == 0 {
		_, err := fmt.Fprintln(c.env.out, "nothing changes")
		return err
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(c.env.out, change); err != nil {
			return err
		}
	}
	return nil
}
