package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against faults that go unreported because an earlier file has faults,
// against a wrong exit code, and against changes that are not shown.
func TestCheckCommand(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := file("a.json", `{"schema": 1, "booking_share": 0.1}`)
	b := file("b.json", `{"schema": 2, "booking_share": 0.2}`)
	c := file("c.json", `{"schema": 2, "booking_share": 2}`)
	d := file("d.json", `{"role": "cook"}`)
	check := func(files ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := run(append([]string{"check"}, files...), &environment{out: &out, err: &errs})
		return code, out.String(), errs.String()
	}
	code, out, _ := check(a, b)
	must.Eq(t, ExitSuccess, code)
	must.StrContains(t, out, "booking share: 0.1 to 0.2")
	code, _, errs := check(a, c, d)
	must.Eq(t, ExitUsage, code)
	must.StrContains(t, errs, "c.json:1:32: booking_share: 2 is more than the maximum 1")
	must.StrContains(t, errs, `d.json:1:10: role: "cook" is not one of entry, sidecar`)
	code, _, _ = check(filepath.Join(dir, "missing"))
	must.Eq(t, ExitUsage, code)
}

// Guards against settings templates that no process accepts once the platform has
// filled them in, and against an invalid configuration of the platform that passes
// the check.
func TestCheckHostedFiles(t *testing.T) {
	dir := t.TempDir()
	check := func(text string) (int, string) {
		path := filepath.Join(dir, "file.json")
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		var out, errs bytes.Buffer
		code := run([]string{"check", path}, &environment{out: &out, err: &errs})
		return code, out.String() + errs.String()
	}
	values := strings.NewReplacer(
		"{{seeds|json}}", `["10.0.0.1:1"]`, "{{bounds.graceS}}", "8", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retrySlack}}", "188",
		"{{bounds.budgetWindowS}}", "10", "{{internalPorts.0}}", "7340", "{{internalPorts.1}}", "7355", "{{ip}}", "10.0.0.1",
		"{{listen.front}}", "10.0.0.1:80", "{{listen.ready}}", "10.0.0.1:81", "{{listen.control}}", "10.0.0.1:82",
		"{{platform.address}}", "10.0.0.2:80", "{{app}}", "10.0.0.1:90", "{{service}}", "s", "{{nodeName}}", "n", "{{zone}}", "z", "{{region}}", "r",
	)
	for _, name := range []string{"entry", "sidecar"} {
		template, err := os.ReadFile(filepath.Join("..", "..", "deploy", name+".settings.json"))
		must.NoError(t, err)
		code, text := check(values.Replace(string(template)))
		must.Eq(t, ExitSuccess, code, must.Sprint(text))
		code, text = check(strings.Replace(values.Replace(string(template)), `"10.0.0.2:80"`, `"nowhere"`, 1))
		must.Eq(t, ExitUsage, code)
		must.StrContains(t, text, "store:")
	}
	code, _ := check(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"/x/","service":"s"}]}`)
	must.Eq(t, ExitSuccess, code)
	code, text := check(`{"version":1,"routes":[{"name":"r","host":"h","prefix":"x","service":"s"}]}`)
	must.Eq(t, ExitUsage, code)
	must.StrContains(t, text, `route "r": prefix "x"`)
}
