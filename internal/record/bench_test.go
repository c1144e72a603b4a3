package record_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/record/recordtest"
)

func BenchmarkParseTargetSize(b *testing.B) {
	for name, encode := range map[string]func(*record.Snapshot) ([]byte, error){
		"schema1": func(s *record.Snapshot) ([]byte, error) { return record.Encode(1, s) },
		"schema2": func(s *record.Snapshot) ([]byte, error) { return record.Encode(2, s) },
		"bundle":  record.EncodeBundle,
	} {
		value, err := encode(recordtest.Snapshot(recordtest.Target))
		must.NoError(b, err)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(value)))
			for b.Loop() {
				_, faults := record.Parse("r", value)
				must.NoError(b, faults.Err())
			}
		})
	}
}
