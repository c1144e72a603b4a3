package command

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/timeline"
)

func init() {
	register(spec{
		name:  "timeline",
		short: "Merge event files into one time line",
		long:  "Merges the event lines of many processes, causes before effects, and prints them. A file named - is standard input. Lines that are not events are counted on standard error.",
		make:  func(env *environment) flags.Commander { return &timelineCommand{env: env} },
	})
}

type timelineCommand struct {
	env      *environment
	Request  string `long:"request" value-name:"ID" description:"only events of this request"`
	Record   uint64 `long:"record" value-name:"REVISION" description:"only events of this record revision"`
	Group    string `long:"group" value-name:"ID" description:"only events of this expert-parallel group"`
	Instance string `long:"instance" value-name:"NAME" description:"only events by or about this instance, process or backend server"`
	Event    string `long:"event" value-name:"NAME" description:"only this event; with a final dot, all events that start with it"`
	HTML     string `long:"html" value-name:"OUT" description:"write a self-contained HTML page to this file instead of text"`
}

// Usage implements flags.Usage.
func (c *timelineCommand) Usage() string { return "[OPTIONS] FILE..." }

// Execute implements flags.Commander.
func (c *timelineCommand) Execute(args []string) error {
	if len(args) == 0 {
		return badInputf("timeline needs at least one event file")
	}
	sources, closeAll, err := openSources(args)
	if err != nil {
		return badInputf("%v", err)
	}
	defer closeAll()
	lines, skipped, err := timeline.Merge(sources, c.filter())
	if err != nil {
		return err
	}
	if len(skipped) > 0 {
		first := skipped[0]
		fmt.Fprintf(c.env.err, "anvilpoint: %d lines are not events; the first is %s:%d: %v\n", len(skipped), first.Source, first.Line, first.Err)
	}
	return c.write(lines)
}

func (c *timelineCommand) filter() timeline.Filter {
	return timeline.Filter{
		Request:  ident.RequestID(c.Request),
		Record:   ident.Revision(c.Record),
		Group:    ident.GroupID(c.Group),
		Instance: c.Instance,
		Event:    c.Event,
	}
}

func (c *timelineCommand) write(lines []timeline.Line) error {
	if c.HTML == "" {
		return timeline.WriteText(c.env.out, lines)
	}
	file, err := os.Create(c.HTML)
	if err != nil {
		return errors.Wrap(err, "create the HTML page")
	}
	if err := timeline.WriteHTML(file, lines); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "close the HTML page")
}

// openSources opens the files, and standard input for the name -. The second result
// closes them.
func openSources(names []string) ([]timeline.Source, func(), error) {
	var sources []timeline.Source
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		if name == "-" {
			sources = append(sources, timeline.Source{Name: "standard input", Reader: os.Stdin})
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, file)
		sources = append(sources, timeline.Source{Name: name, Reader: file})
	}
	return sources, closeAll, nil
}
