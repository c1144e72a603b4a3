package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/settings"
)

const sidecar = `{
  // beside ledger-0
  "role": "sidecar", "instance": "i-1", "failure_domain": "ch-nord-a",
  "link_listen": "127.0.0.1:9000", "operations": "127.0.0.1:9001",
  "config_service": "http://127.0.0.1:7000", "instance_list": "http://127.0.0.1:7001",
  "tls": {"plain_text": true},
  "backend": {"server": "ledger-0", "kind": "service", "url": "http://127.0.0.1:9100"},
}`

// Guards against defaults that are not applied.
func TestDefaults(t *testing.T) {
	s, faults := settings.Parse("s.json", []byte(sidecar))
	must.NoError(t, faults.Err())
	must.Eq(t, 30*time.Second, s.Grace)
	must.Eq(t, int64(1<<20), s.MaxBodyBytes)
}

// Guards against faults that are reported without their position, or only the first
// of several being reported.
func TestFaultsNameTheirPlace(t *testing.T) {
	text := strings.Replace(sidecar, `"tls"`, `"graze": "1s", "grace": 30, "log_level": "loud",`+"\n"+`  "tls"`, 1)
	_, faults := settings.Parse("s.json", []byte(text))
	must.Eq(t, []string{
		`s.json:6:3: graze: unknown field`,
		`s.json:6:27: grace: expected a duration with a unit such as "250ms" or "30s", found a number`,
		`s.json:6:44: log_level: "loud" is not one of debug, info, warn, error`,
	}, strings.Split(faults.Error(), "\n"))
}

// Guards against invalid values that are accepted and only fail at run time.
func TestImpossibleValues(t *testing.T) {
	for want, change := range map[string][2]string{
		"link_listen: ":                {"127.0.0.1:9000", "localhost:9000"},
		"is more than the maximum":     {`"tls"`, `"grace": "2h", "tls"`},
		"required for a sidecar":       {`"backend": {"server": "ledger-0", "kind": "service", "url": "http://127.0.0.1:9100"},`, ""},
		"tls.certificate: the field":   {`"plain_text": true`, ``},
		"not an http or https URL":     {"http://127.0.0.1:7000", "ftp://x"},
		"instance: the field":          {`"instance": "i-1",`, ""},
		"set twice":                    {`"role": "sidecar"`, `"role": "sidecar", "role": "entry"`},
		"s.json:2:3: (document): inva": {"// beside", "/ beside"},
	} {
		text := strings.Replace(sidecar, change[0], change[1], 1)
		must.NotEq(t, sidecar, text)
		_, faults := settings.Parse("s.json", []byte(text))
		must.StrContains(t, faults.Error(), want)
	}
}

// Guards against effective settings that Parse does not read back unchanged.
func TestEffectiveSettingsReadBack(t *testing.T) {
	s, faults := settings.Parse("s.json", []byte(sidecar))
	must.NoError(t, faults.Err())
	text, err := s.Effective()
	must.NoError(t, err)
	must.StrContains(t, string(text), `"grace": "30s"`)
	back, faults := settings.Parse("effective.json", text)
	must.NoError(t, faults.Err())
	must.Eq(t, s, back)
}
