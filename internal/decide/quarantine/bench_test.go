package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// BenchmarkReportAtTheBounds measures a crash report to a quarantine whose evidence is as
// large as its bounds allow.
func BenchmarkReportAtTheBounds(b *testing.B) {
	q := quarantine.New(nil)
	report := func(n int) {
		var suspects []quarantine.Suspect
		for m := range 32 {
			var parts []ident.PromptPart
			for k := range 8 {
				parts = append(parts, ident.PromptPart(fmt.Sprintf("%064d", n*100_000+m*100+k)))
			}
			suspects = append(suspects, running(quarantine.TraitsOf(ident.Fingerprint(n*1000+m+1), parts)))
		}
		crashed(q, ident.ServerID(fmt.Sprint(n)), time.Duration(n)*time.Second, suspects...)
	}
	for n := range 64 {
		report(n)
	}
	n := 64
	for b.Loop() {
		report(n)
		n++
	}
}
