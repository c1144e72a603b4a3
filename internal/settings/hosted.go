package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Hosted is the settings of a process on a platform that publishes routes and
// backend servers in a key-value store: an entry that calls backend servers over
// HTTP, or a sidecar beside a rank of an expert-parallel group.
type Hosted struct {
	Role     message.Role        `json:"role" required:"true" enum:"entry|sidecar" doc:"The kind of the process."`
	Instance ident.InstanceID    `json:"instance" required:"true" doc:"The name of the instance, unique over all instances."`
	Domain   ident.FailureDomain `json:"failure_domain" required:"true" doc:"The failure domain of the instance."`
	Region   ident.Region        `json:"region" default:"default" doc:"The region of the failure domain."`
	// Listen serves clients; ReadyListen serves the platform's readiness checks.
	Listen      string `json:"listen" doc:"Entry only: IP address and port for clients."`
	ReadyListen string `json:"ready_listen" doc:"Entry only: IP address and port on which the platform asks whether the process is ready."`
	LinkListen  string `json:"link_listen" required:"true" doc:"IP address and port for links from other anvilpoint processes."`
	Metrics     string `json:"metrics_listen" required:"true" doc:"IP address and port for /metrics, /healthz and /readyz."`
	// Seeds are the entries from which the addresses of other entries are first
	// requested. They may be out of date.
	Seeds []string `json:"seeds" doc:"Addresses for links of entries that are asked first."`
	Store string   `json:"store" required:"true" doc:"Host and port of the platform's store."`
	// Server is the address of the rank beside a sidecar, and Service its service.
	Server  string            `json:"server" doc:"Sidecar only: host and port of the model engine beside it."`
	Service ident.ServiceName `json:"service" doc:"Sidecar only: the service of the engine."`
	Grace   time.Duration     `json:"grace" default:"8s" min:"1s" max:"1h" doc:"Time between the request to stop and the end of the process by force."`
	// In each RetryWindow, all entries together may send RetryRatio retries for each
	// request of a service, and RetrySlack further ones.
	RetryRatio  float64       `json:"retry_ratio" default:"0.2" min:"0" max:"1" doc:"Retries that a service may get for each of its requests, over all entries."`
	RetrySlack  float64       `json:"retry_slack" default:"100" min:"0" doc:"Retries beyond the ratio in one window, over all entries."`
	RetryWindow time.Duration `json:"retry_window" default:"10s" min:"1s" max:"10m" doc:"Length of the window for retries."`
	LogLevel    string        `json:"log_level" default:"info" enum:"debug|info|warn|error" doc:"The least severe log level that is written."`
	Limits      Limits        `json:"limits" doc:"What the process may hold."`
}

// ParseHosted reads the settings of a process on a platform and reports every fault.
func ParseHosted(file string, data []byte) (*Hosted, jsonc.Faults) {
	s := new(Hosted)
	doc, faults := jsonc.Decode(file, data, s)
	if doc == nil {
		return nil, faults
	}
	faults = append(faults, s.check(doc)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// LoadHosted reads a settings file of a process on a platform.
func LoadHosted(file string) (*Hosted, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, faults := ParseHosted(file, data)
	return s, faults.Err()
}

func (s *Hosted) check(doc *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	report := func(path, format string, args ...any) {
		faults = append(faults, doc.At(path, format, args...))
	}
	checkAddress("link_listen", s.LinkListen, report)
	checkAddress("metrics_listen", s.Metrics, report)
	checkAddress("store", s.Store, report)
	if s.Role == message.RoleEntry {
		checkAddress("listen", s.Listen, report)
		checkAddress("ready_listen", s.ReadyListen, report)
		return faults
	}
	checkAddress("server", s.Server, report)
	if s.Service == "" {
		report("service", "the field is required for a sidecar")
	}
	return faults
}
