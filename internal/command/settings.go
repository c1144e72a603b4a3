package command

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/settings"
)

func init() {
	register(spec{
		name:  "settings",
		short: "Print effective settings or the settings reference",
		long:  "With --settings, prints the settings of a file with every default filled in, as JSON. With --reference, prints the reference of all fields as Markdown.",
		make:  func(env *environment) flags.Commander { return &settingsCommand{env: env} },
	})
}

type settingsCommand struct {
	env       *environment
	Settings  string `long:"settings" value-name:"FILE" description:"settings file"`
	Reference bool   `long:"reference" description:"print the reference of all fields"`
}

// Execute implements flags.Commander.
func (c *settingsCommand) Execute(args []string) error {
	if len(args) > 0 || (c.Settings == "") == !c.Reference {
		return badInputf("give either --settings FILE or --reference")
	}
	if c.Reference {
		_, err := fmt.Fprint(c.env.out, SettingsReference())
		return err
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return badInputf("%v", err)
	}
	text, err := s.Effective()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.out, "%s\n", text)
	return err
}

// SettingsReference returns the page docs/operations/settings.md.
func SettingsReference() string {
	return `# Settings reference

This page is printed by ` + "`anvilpoint settings --reference`" + `; a test compares the two. A settings file is JSON with comments. Durations are strings with a unit, such as "250ms" or "30s". ` + "`anvilpoint check FILE`" + ` reports every fault with file, line, column and field; ` + "`anvilpoint settings --settings FILE`" + ` prints the effective settings.

` + jsonc.Reference(settings.Settings{})
}
