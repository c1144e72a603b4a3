package command

import (
	"fmt"
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
)

func init() {
	register(spec{
		name:  "charts",
		short: "List, check or draw the state charts",
		long:  "charts list names every chart, charts check checks the embedded files, and charts draw NAME prints one chart as a Mermaid state diagram.",
		make:  func(env *environment) flags.Commander { return &chartsCommand{env: env} },
	})
}

type chartsCommand struct{ env *environment }

// Usage implements flags.Usage.
func (c *chartsCommand) Usage() string { return "[list|check|draw NAME]" }

// Execute implements flags.Commander.
func (c *chartsCommand) Execute(args []string) error {
	all, err := charts.All()
	if err != nil {
		return err
	}
	verb := "list"
	if len(args) > 0 {
		verb = args[0]
	}
	switch {
	case verb == "list" && len(args) <= 1:
		return c.list(all)
	case verb == "check" && len(args) == 1:
		_, err := fmt.Fprintf(c.env.out, "%d charts checked\n", len(all))
		return err
	case verb == "draw" && len(args) == 2:
		return c.draw(all, args[1])
	default:
		return badInputf("usage: anvilpoint charts [list|check|draw NAME]")
	}
}

func (c *chartsCommand) list(all map[string]*chart.Chart) error {
	for _, name := range chartNames(all) {
		if _, err := fmt.Fprintf(c.env.out, "%-16s %2d states  %s\n", name, len(all[name].States()), all[name].Doc()); err != nil {
			return err
		}
	}
	return nil
}

func (c *chartsCommand) draw(all map[string]*chart.Chart, name string) error {
	selected, ok := all[name]
	if !ok {
		return badInputf("no chart %q; the charts are %s", name, strings.Join(chartNames(all), ", "))
	}
	_, err := fmt.Fprint(c.env.out, selected.Mermaid())
	return err
}

func chartNames(all map[string]*chart.Chart) []string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
