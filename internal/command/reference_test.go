package command_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/command"
)

// Guards against a settings reference that differs from the typed settings.
// Renew the page with: go run ./cmd/anvilpoint settings --reference
func TestSettingsReferenceIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/settings.md")
	must.NoError(t, err)
	must.Eq(t, command.SettingsReference(), string(page))
}
