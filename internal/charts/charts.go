// Package charts embeds the state-chart files, one per life cycle.
package charts

import (
	"embed"
	"fmt"
	"path"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/chart"
)

//go:embed *.chart.json
var files embed.FS

const suffix = ".chart.json"

// all parses the embedded files once. The result is not changed afterwards.
var all = sync.OnceValues(load)

func load() (map[string]*chart.Chart, error) {
	names, err := files.ReadDir(".")
	if err != nil {
		return nil, errors.Wrap(err, "embedded charts")
	}
	charts := make(map[string]*chart.Chart, len(names))
	for _, entry := range names {
		data, err := files.ReadFile(entry.Name())
		if err != nil {
			return nil, errors.Wrap(err, "embedded charts")
		}
		c, err := chart.Parse(entry.Name(), data)
		if err != nil {
			return nil, err
		}
		if want := strings.TrimSuffix(path.Base(entry.Name()), suffix); want != c.Name() {
			return nil, errors.Errorf("chart file %s holds the chart %q", entry.Name(), c.Name())
		}
		charts[c.Name()] = c
	}
	return charts, nil
}

// All returns the embedded charts by name, or the faults of the files.
func All() (map[string]*chart.Chart, error) { return all() }

// Must returns an embedded chart. It panics if there is none of that name,
// since the binary itself is then broken.
func Must(name string) *chart.Chart {
	charts, err := All()
	if err != nil {
		panic(err)
	}
	c, ok := charts[name]
	if !ok {
		panic(fmt.Sprintf("no chart %q", name))
	}
	return c
}
