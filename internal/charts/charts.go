// Package charts embeds the state-chart files, one per lifecycle.
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

// all parses the embedded files on the first call. The result must not be changed.
var all = sync.OnceValues(load)

func load() (map[string]*chart.Chart, error) {
	names, err := files.ReadDir(".")
	if err != nil {
		return nil, errors.Wrap(err, "list embedded charts")
	}
	charts := make(map[string]*chart.Chart, len(names))
	for _, entry := range names {
		data, err := files.ReadFile(entry.Name())
		if err != nil {
			return nil, errors.Wrap(err, "read embedded chart")
		}
		c, err := chart.Parse(entry.Name(), data)
		if err != nil {
			return nil, err
		}
		if want := strings.TrimSuffix(path.Base(entry.Name()), suffix); want != c.Name() {
			return nil, errors.Errorf("chart file %s declares the chart %q; its name must be %q", entry.Name(), c.Name(), want)
		}
		charts[c.Name()] = c
	}
	return charts, nil
}

// All returns the embedded charts by name. The error lists the faults of a file.
func All() (map[string]*chart.Chart, error) { return all() }

// Must returns the embedded chart of the name. It panics if there is none or a file
// is faulty, since the error is then in the program itself.
func Must(name string) *chart.Chart {
	charts, err := All()
	if err != nil {
		panic(err)
	}
	c, ok := charts[name]
	if !ok {
		panic(fmt.Sprintf("no embedded chart %q", name))
	}
	return c
}
