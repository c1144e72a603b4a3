package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against faults that are hidden behind the first faulty file, against
// a wrong exit code, and against changes that are not shown.
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
	must.Eq(t, ExitDone, code)
	must.StrContains(t, out, "booking share: 0.1 to 0.2")
	code, _, errs := check(a, c, d)
	must.Eq(t, ExitUsage, code)
	must.StrContains(t, errs, "c.json:1:32: booking_share: 2 is more than the maximum 1")
	must.StrContains(t, errs, `d.json:1:10: role: "cook" is not one of entry, sidecar`)
	code, _, _ = check(filepath.Join(dir, "missing"))
	must.Eq(t, ExitUsage, code)
}
