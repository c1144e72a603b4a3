package command

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

func init() {
	register(spec{
		name:  "version",
		short: "Print the version",
		long:  "Prints the module version, the revision it was built from and the Go version.",
		make:  func(env *environment) flags.Commander { return &versionCommand{env: env} },
	})
}

type versionCommand struct{ env *environment }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.env.out, "anvilpoint %s (revision %s, %s)\n", version, revision, runtime.Version())
	return err
}
