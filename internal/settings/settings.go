// Package settings reads and checks the settings file of one process, which is
// JSON with comments.
package settings

import (
	"net"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Settings is the settings of an entry or a sidecar.
type Settings struct {
	Role     message.Role        `json:"role" required:"true" enum:"entry|sidecar" doc:"The kind of the process."`
	Instance ident.InstanceID    `json:"instance" required:"true" doc:"The name of the instance, unique over all instances."`
	Domain   ident.FailureDomain `json:"failure_domain" required:"true" doc:"The failure domain of the instance."`
	Region   ident.Region        `json:"region" default:"default" doc:"The region of the failure domain."`
	// Listen is where an entry accepts requests. A sidecar does not use it.
	Listen string `json:"listen" doc:"Entry only: IP address and port for callers."`
	// LinkListen is where links from other anvilpoint processes are accepted.
	LinkListen string `json:"link_listen" required:"true" doc:"IP address and port for links from other anvilpoint processes. The address is held exclusively."`
	Operations string `json:"operations" required:"true" doc:"IP address and port for /healthz, /readyz, /metrics and /status."`
	// OperatorKeyHash restricts access to /status.
	OperatorKeyHash string        `json:"operator_key_hash" doc:"SHA-256 hash of the operators' key for /status, in hexadecimal. Without it /status is closed."`
	ConfigService   string        `json:"config_service" required:"true" doc:"Base URL of the configuration service."`
	InstanceList    string        `json:"instance_list" required:"true" doc:"Base URL of the instance list."`
	Grace           time.Duration `json:"grace" default:"30s" min:"1s" max:"1h" doc:"How long a stop waits for work in flight."`
	Events          string        `json:"events" default:"-" doc:"File for events, one JSON line each; - is standard output, empty is none."`
	LogLevel        string        `json:"log_level" default:"info" enum:"debug|info|warn|error" doc:"The least severe log level that is written."`
	TLS             TLS           `json:"tls" doc:"How links are protected."`
	Backend         *Backend      `json:"backend" doc:"Sidecar only: the backend server beside it."`
	MaxBodyBytes    int64         `json:"max_body_bytes" default:"1048576" min:"1024" max:"3145728" doc:"Largest request body in bytes."`
	Limits          Limits        `json:"limits" doc:"What the process may hold."`
	Policy          Policy        `json:"policy" default:"shares" enum:"shares|round-robin|least-outstanding" doc:"How work is distributed. The values other than shares are baselines for comparisons: first come, first served at the sidecar, and the named choice of backend server at the entry."`
	Peers           []string      `json:"peers" doc:"Addresses of entries that a new process asks first, beside those in the instance list."`
}

// Policy says how work is distributed.
type Policy string

// The policies. Those other than PolicyShares are baselines for comparison.
const (
	PolicyShares           Policy = "shares"
	PolicyRoundRobin       Policy = "round-robin"
	PolicyLeastOutstanding Policy = "least-outstanding"
)

// Baseline reports whether the policy exists only to compare PolicyShares with it.
func (p Policy) Baseline() bool { return p == PolicyRoundRobin || p == PolicyLeastOutstanding }

// TLS says how links are protected.
type TLS struct {
	PlainText   bool   `json:"plain_text" default:"false" doc:"Accept and open links without TLS. For one machine only."`
	Certificate string `json:"certificate" doc:"File with the certificate in PEM. It is read again when it changes."`
	Key         string `json:"key" doc:"File with the private key in PEM."`
	Authority   string `json:"authority" doc:"File with the certificate authority in PEM."`
}

// Backend is the backend server beside a sidecar.
type Backend struct {
	Server ident.ServerID `json:"server" required:"true" doc:"The id of the backend server in the record."`
	Kind   string         `json:"kind" required:"true" enum:"engine|service" doc:"A model engine or a plain service."`
	URL    string         `json:"url" required:"true" doc:"Base URL of the backend server."`
}

// Address returns the host and port of the backend server, or "" if the URL is invalid.
func (b *Backend) Address() string {
	u, err := url.Parse(b.URL)
	switch {
	case err != nil:
		return ""
	case u.Port() != "":
		return u.Host
	case u.Scheme == "https":
		return net.JoinHostPort(u.Hostname(), "443")
	default:
		return net.JoinHostPort(u.Hostname(), "80")
	}
}

// Parse reads settings and reports every fault.
func Parse(file string, data []byte) (*Settings, jsonc.Faults) {
	s := new(Settings)
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

// Load reads a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, faults := Parse(file, data)
	return s, faults.Err()
}

// Effective returns the settings with all defaults as indented JSON that Parse
// reads back.
func (s *Settings) Effective() ([]byte, error) {
	return jsonc.Encode(s)
}

func (s *Settings) check(doc *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	report := func(path, format string, args ...any) {
		faults = append(faults, doc.At(path, format, args...))
	}
	s.checkAddresses(report)
	checkURL("config_service", s.ConfigService, report)
	checkURL("instance_list", s.InstanceList, report)
	s.checkRole(report)
	s.TLS.check(report)
	return faults
}

// reportFunc reports a fault at a field path.
type reportFunc func(path, format string, args ...any)

func (s *Settings) checkAddresses(report reportFunc) {
	checkAddress("link_listen", s.LinkListen, report)
	checkAddress("operations", s.Operations, report)
	if s.Role == message.RoleEntry {
		checkAddress("listen", s.Listen, report)
	}
}

func (s *Settings) checkRole(report reportFunc) {
	switch {
	case s.Role == message.RoleSidecar && s.Backend == nil:
		report("backend", "the field is required for a sidecar")
	case s.Role == message.RoleSidecar:
		checkURL("backend.url", s.Backend.URL, report)
	case s.Backend != nil:
		report("backend", "an entry has no backend server")
	}
}

func (t TLS) check(report reportFunc) {
	if t.PlainText {
		return
	}
	for _, f := range []struct{ path, value string }{
		{"tls.certificate", t.Certificate}, {"tls.key", t.Key}, {"tls.authority", t.Authority},
	} {
		if f.value == "" {
			report(f.path, "the field is required unless tls.plain_text is true")
		}
	}
}

func checkAddress(path, value string, report reportFunc) {
	if value == "" {
		report(path, "the field is required")
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		report(path, "%q is not an IP address and port", value)
	}
}

func checkURL(path, value string, report reportFunc) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		report(path, "%q is not an http or https URL", value)
	}
}
