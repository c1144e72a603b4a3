package dev_test

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/standin/dev"
)

// Guards against an example record that no longer equals the record that the dev command
// generates by default.
func TestExampleRecordFitsTheDefaults(t *testing.T) {
	file := "../../../examples/records/demo.json"
	example, err := os.ReadFile(file)
	must.NoError(t, err)
	got, faults := record.Parse(file, example)
	must.NoError(t, faults.Err())
	generated, err := dev.DemoRecord(dev.Defaults(), time.Time{})
	must.NoError(t, err)
	want, faults := record.Parse("generated", generated)
	must.NoError(t, faults.Err())
	must.SliceEmpty(t, record.Changes(want, got))
	must.True(t, record.Equal(want, got))
}
