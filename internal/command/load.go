package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/load"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/standin/dev"
	"github.com/anvilpoint/anvilpoint/task"
)

func init() {
	register(spec{
		name:  "load",
		short: "Run a load scenario and measure it",
		long:  "Sends the scenario's seeded, open-loop load and prints what each priority class, client account and booking got. With --baseline, the same arrivals are sent again under another policy.",
		make:  func(env *environment) flags.Commander { return &loadCommand{env: env} },
	})
}

type loadCommand struct {
	env      *environment
	Seed     uint64   `long:"seed" value-name:"N" description:"seed in place of the scenario's"`
	Baseline []string `long:"baseline" value-name:"POLICY" choice:"round-robin" choice:"least-outstanding" description:"also run this policy; may be given twice"`
	Against  string   `long:"against" value-name:"FILE" description:"compare with the results of an earlier run, as written by --json"`
	JSON     string   `long:"json" value-name:"FILE" description:"write one JSON line per policy to this file; - is standard output, without the table"`
	Report   string   `long:"report" value-name:"OUT.html" description:"write a self-contained HTML page with plots"`
	Events   string   `long:"events" value-name:"FILE" description:"write the events of the dev environment to this file"`
}

// Usage implements flags.Usage.
func (c *loadCommand) Usage() string { return "[OPTIONS] SCENARIO" }

// Execute implements flags.Commander.
func (c *loadCommand) Execute(args []string) error {
	if len(args) != 1 {
		return badInputf("load takes exactly one scenario file, got %d arguments", len(args))
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return badInputf("%v", err)
	}
	scenario, faults := load.ParseScenario(args[0], data)
	if len(faults) > 0 {
		return badInputf("%v", faults)
	}
	if c.Seed != 0 {
		scenario.Seed = c.Seed
	}
	if len(c.Baseline) > 0 && scenario.Target.Dev == nil {
		return badInputf("--baseline needs a scenario with target.dev: the policy of other targets cannot be set")
	}
	earlier, err := readSummaries(c.Against)
	if err != nil {
		return badInputf("%v", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	summaries, err := c.runAll(ctx, scenario)
	if err != nil {
		return err
	}
	return c.write(scenario, append(summaries, earlier...))
}

func (c *loadCommand) runAll(ctx context.Context, s *load.Scenario) ([]*load.Summary, error) {
	var summaries []*load.Summary
	for _, policy := range c.policies() {
		summary, err := c.runPolicy(ctx, s, policy)
		if err != nil {
			return nil, errors.Wrapf(err, "run policy %s", policy)
		}
		summaries = append(summaries, summary)
	}
	return summaries, nil
}

// policies returns the default policy and the baselines from --baseline.
func (c *loadCommand) policies() []settings.Policy {
	list := []settings.Policy{settings.PolicyShares}
	for _, b := range c.Baseline {
		list = append(list, settings.Policy(b))
	}
	return list
}

func (c *loadCommand) runPolicy(ctx context.Context, s *load.Scenario, policy settings.Policy) (*load.Summary, error) {
	if s.Target.Dev == nil {
		return c.measure(ctx, s, policy, load.Environment{Addresses: s.Target.Addresses, Admin: s.Target.Admin})
	}
	options, err := c.devOptions(s, policy)
	if err != nil {
		return nil, err
	}
	cluster, err := dev.New(options)
	if err != nil {
		return nil, err
	}
	group := task.NewGroup(ctx)
	group.Go("dev", cluster.Run)
	select {
	case <-cluster.Ready():
	case end := <-group.Ends():
		return nil, errors.Wrap(end.Err, "start the dev environment")
	}
	summary, err := c.measure(ctx, s, policy, load.Environment{Addresses: cluster.EntryURLs(), Admin: cluster.AdminURL()})
	if stopErr := group.Stop(0); err == nil {
		err = stopErr
	}
	return summary, err
}

// devOptions returns the options of the dev environment that the scenario describes.
func (c *loadCommand) devOptions(s *load.Scenario, policy settings.Policy) (dev.Options, error) {
	o := dev.Defaults()
	d := s.Target.Dev
	o.Listen, o.Admin = "127.0.0.1:0", "127.0.0.1:0"
	o.Entries, o.Replicas, o.Services, o.DomainDelay = d.Entries, d.Replicas, d.Services, d.Delay
	if len(d.Domains) > 0 {
		o.Domains = nil
		for _, name := range d.Domains {
			o.Domains = append(o.Domains, ident.FailureDomain(name))
		}
	}
	o.Accounts = nil
	for _, a := range s.Accounts {
		o.Accounts = append(o.Accounts, dev.Account(a.ID, a.Key, a.Weight))
	}
	o.Programs = productPrograms(policy)
	if c.Events == "" {
		return o, nil
	}
	file, err := os.OpenFile(c.Events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return o, errors.Wrap(err, "open the event file")
	}
	o.Events = file
	return o, nil
}

func (c *loadCommand) measure(ctx context.Context, s *load.Scenario, policy settings.Policy, e load.Environment) (*load.Summary, error) {
	results, err := load.Run(ctx, s, e, c.progress(string(policy)))
	if err != nil {
		return nil, err
	}
	summary := load.Summarize(s, string(policy), results)
	if e.Admin == "" {
		return summary, nil
	}
	return summary, load.AddGroundTruth(ctx, summary, e, results)
}

// progress returns a function that updates one line of progress if standard error is
// a terminal, and otherwise does nothing.
func (c *loadCommand) progress(policy string) func(load.Progress) {
	file, isFile := c.env.err.(*os.File)
	if !isFile {
		return func(load.Progress) {}
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(load.Progress) {}
	}
	return func(p load.Progress) {
		fmt.Fprintf(file, "\r%s: %s, %d sent, %d ended   ", policy, p.Elapsed.Round(time.Second), p.Sent, p.Answered)
	}
}

func (c *loadCommand) write(s *load.Scenario, summaries []*load.Summary) error {
	if c.Report != "" {
		if err := writeFile(c.Report, func(out io.Writer) error { return load.WriteReport(out, s, summaries) }); err != nil {
			return err
		}
	}
	switch c.JSON {
	case "":
		return load.WriteTable(c.env.out, summaries)
	case "-":
		return writeSummaries(c.env.out, summaries)
	}
	if err := writeFile(c.JSON, func(out io.Writer) error { return writeSummaries(out, summaries) }); err != nil {
		return err
	}
	return load.WriteTable(c.env.out, summaries)
}

func writeSummaries(out io.Writer, summaries []*load.Summary) error {
	encoder := json.NewEncoder(out)
	for _, s := range summaries {
		if err := encoder.Encode(s); err != nil {
			return errors.Wrap(err, "write the results")
		}
	}
	return nil
}

// readSummaries reads the results of an earlier run, if a file is given, and prefixes
// their policy names with "earlier".
func readSummaries(name string) ([]*load.Summary, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read the results of the earlier run")
	}
	defer file.Close()
	var summaries []*load.Summary
	decoder := json.NewDecoder(file)
	for {
		s := new(load.Summary)
		if err := decoder.Decode(s); errors.Is(err, io.EOF) {
			return summaries, nil
		} else if err != nil {
			return nil, errors.Wrapf(err, "decode the results of the earlier run in %s", name)
		}
		s.Policy = "earlier " + s.Policy
		summaries = append(summaries, s)
	}
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the output file")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "close the output file")
}
