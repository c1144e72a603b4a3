// Package load is an open-loop load generator with seeded arrivals. It sends
// requests to entries over real sockets and measures latency and outcomes by
// priority class, by client account and for bookings (calls of plain services).
package load

import (
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
)

// Scenario describes one load test.
type Scenario struct {
	Name string `json:"name" required:"true" doc:"Name of the scenario."`
	Doc  string `json:"doc" doc:"What the scenario shows."`
	// Duration is the time over which requests arrive.
	Duration time.Duration `json:"duration" default:"20s" min:"1s" max:"1h" doc:"Time over which requests arrive."`
	// Warmup is the time at the start that is left out of the figures.
	Warmup time.Duration `json:"warmup" default:"2s" doc:"Time at the start that is left out of the figures."`
	// Drain is how long the tool waits for answers after the last arrival.
	Drain       time.Duration `json:"drain" default:"20s" doc:"How long the tool waits for answers after the last arrival."`
	Seed        uint64        `json:"seed" default:"1" doc:"Seed of arrivals and lengths."`
	MaxInFlight int           `json:"max_in_flight" default:"4000" min:"1" max:"100000" doc:"Requests in flight at most; arrivals beyond are counted as not sent."`
	Target      Target        `json:"target" doc:"Where the load goes."`
	Accounts    []Account     `json:"accounts" required:"true" doc:"Client accounts."`
	Workloads   []Workload    `json:"workloads" required:"true" doc:"What the accounts ask for."`
	Faults      []Fault       `json:"faults" doc:"Faults at given times, for the dev command's admin listener."`
	Floods      []Window      `json:"floods" doc:"Times that the report marks as a flood."`
	Importance  Importance    `json:"importance" doc:"How much each measure counts for the users of this deployment."`
}

// Target is either a set of running entries or a dev environment that the load
// command starts.
type Target struct {
	Addresses []string `json:"addresses" doc:"Base URLs of entries; requests rotate over them."`
	Admin     string   `json:"admin" doc:"Base URL of the dev command's admin listener, for faults and ground truth."`
	Dev       *Dev     `json:"dev" doc:"Brings up the dev environment inside the tool."`
}

// Dev describes the dev environment that the load command starts.
type Dev struct {
	Entries  int      `json:"entries" default:"3" min:"1" max:"16"`
	Replicas int      `json:"replicas" default:"16" min:"1" max:"64"`
	Services int      `json:"services" default:"3" min:"1" max:"16"`
	Domains  []string `json:"domains" doc:"Names of the failure domains."`
	// Delay is the one-way delay between failure domains.
	Delay time.Duration `json:"delay" default:"500us" max:"1s" doc:"One-way delay between failure domains."`
}

// Account is a client account of the scenario.
type Account struct {
	ID     ident.ClientAccount `json:"id" required:"true"`
	Key    string              `json:"key" required:"true" doc:"API key."`
	Weight float64             `json:"weight" default:"1" min:"0.001" doc:"Share relative to the other accounts."`
	Large  bool                `json:"large" default:"false" doc:"Counted with the large accounts."`
}

// TokenRange is a range from which a length in tokens is drawn uniformly.
type TokenRange struct {
	Min int `json:"min" default:"16" min:"1" max:"100000"`
	Max int `json:"max" default:"16" min:"1" max:"100000"`
}

// Workload describes the requests of one kind.
type Workload struct {
	Name     string                `json:"name" required:"true"`
	Accounts []ident.ClientAccount `json:"accounts" doc:"Accounts that send it; none means all."`
	// Rate is in requests per second for each account.
	Rate  float64             `json:"rate" required:"true" min:"0.001" max:"100000" doc:"Requests per second for each account."`
	From  time.Duration       `json:"from" default:"0s" doc:"When it starts."`
	To    time.Duration       `json:"to" default:"1h" doc:"When it ends."`
	Class ident.PriorityClass `json:"class" default:"interactive" enum:"interactive|analytical|batch"`
	Model ident.ModelName     `json:"model" doc:"Set for model requests."`
	// Service and Path are set for calls of plain services.
	Service ident.ServiceName `json:"service" doc:"Set for calls of plain services."`
	Path    string            `json:"path" default:"bookings"`
	Prompt  TokenRange        `json:"prompt" doc:"Prompt length in tokens."`
	Output  TokenRange        `json:"output" doc:"Answer length in tokens."`
	// Prefixes is the number of distinct shared prompt prefixes.
	Prefixes int `json:"prefixes" default:"8" min:"1" max:"100000" doc:"Number of distinct prompt prefixes."`
	// Target is the latency within which a completed request counts as in target: of
	// the first token, or for bookings of the whole response.
	Target time.Duration `json:"target" default:"600ms" doc:"First-token target; for bookings, the target for the whole answer."`
	// Deadline is the time from the intended start after which the request is canceled.
	Deadline time.Duration `json:"deadline" default:"30s" doc:"When the caller gives up."`
}

// Booking reports whether the workload calls a plain service.
func (w Workload) Booking() bool { return w.Service != "" }

// Fault is a fault that is injected during the run.
type Fault struct {
	At      time.Duration `json:"at" required:"true"`
	Target  string        `json:"target" required:"true"`
	Kind    string        `json:"kind" required:"true" enum:"crash|restart|pause|slow|leave|partition|config-down|config-stale|heal"`
	Seconds float64       `json:"seconds" default:"0" min:"0" max:"3600"`
}

// Window is an interval of time, counted from the start of the run.
type Window struct {
	From time.Duration `json:"from" required:"true"`
	To   time.Duration `json:"to" required:"true"`
}

// Importance holds the weights of the measures in Summary.Score. They need not sum
// to 1.
type Importance struct {
	Bookings      float64 `json:"bookings" default:"1" min:"0"`
	Interactive   float64 `json:"interactive" default:"1" min:"0"`
	Analytical    float64 `json:"analytical" default:"1" min:"0"`
	Batch         float64 `json:"batch" default:"1" min:"0"`
	SmallAccounts float64 `json:"small_accounts" default:"1" min:"0"`
}

// ParseScenario parses and validates a scenario. It reports every error, with its
// place in the file.
func ParseScenario(file string, data []byte) (*Scenario, jsonc.Faults) {
	s := new(Scenario)
	doc, faults := jsonc.Decode(file, data, s)
	if doc == nil {
		return nil, faults
	}
	faults = append(faults, s.validate(doc)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// validate checks the rules that struct tags cannot express.
func (s *Scenario) validate(doc *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	add := func(path, format string, args ...any) {
		faults = append(faults, doc.At(path, format, args...))
	}
	if (len(s.Target.Addresses) > 0) == (s.Target.Dev != nil) {
		add("target", "give either addresses or dev")
	}
	if s.Warmup >= s.Duration {
		add("warmup", "%s is not shorter than the duration %s", s.Warmup, s.Duration)
	}
	if s.Target.Admin == "" && s.Target.Dev == nil && len(s.Faults) > 0 {
		add("faults", "faults need target.dev or target.admin")
	}
	known := make(map[ident.ClientAccount]bool)
	for i, a := range s.Accounts {
		if known[a.ID] {
			add(fmt.Sprintf("accounts[%d].id", i), "account %q is listed twice", a.ID)
		}
		known[a.ID] = true
	}
	for i, w := range s.Workloads {
		s.validateWorkload(fmt.Sprintf("workloads[%d]", i), w, known, add)
	}
	return faults
}

func (s *Scenario) validateWorkload(path string, w Workload, known map[ident.ClientAccount]bool, add func(path, format string, args ...any)) {
	if (w.Model != "") == (w.Service != "") {
		add(path, "give either model or service")
	}
	for i, a := range w.Accounts {
		if !known[a] {
			add(fmt.Sprintf("%s.accounts[%d]", path, i), "unknown account %q", a)
		}
	}
	if w.Prompt.Max < w.Prompt.Min {
		add(path+".prompt.max", "%d is less than min %d", w.Prompt.Max, w.Prompt.Min)
	}
	if w.Output.Max < w.Output.Min {
		add(path+".output.max", "%d is less than min %d", w.Output.Max, w.Output.Min)
	}
	if w.To <= w.From {
		add(path+".to", "%s is not after from %s", w.To, w.From)
	}
}
