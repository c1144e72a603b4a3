package load_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/load"
)

// Guards against example scenarios that ParseScenario no longer accepts.
func TestExampleScenarios(t *testing.T) {
	files, err := filepath.Glob("../../examples/scenarios/*.json")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		must.NoError(t, err)
		_, faults := load.ParseScenario(file, data)
		must.NoError(t, faults.Err())
	}
}
