package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// BenchmarkRequestOfALongConversation measures what a request with 200 prompt parts, of which
// the last is new, takes of an entry's task, while nothing is held and while a part is.
func BenchmarkRequestOfALongConversation(b *testing.B) {
	for _, held := range []bool{false, true} {
		b.Run(fmt.Sprintf("held=%t", held), func(b *testing.B) {
			q := quarantine.New(nil)
			if held {
				crashed(q, "s1", 0, running(request(1, "deadly")))
			}
			list := longPrompt(200, 12)
			n := 0
			for b.Loop() {
				n++
				list[199] = ident.PromptPart(fmt.Sprint("turn-", n))
				traits := quarantine.TraitsOf(ident.Fingerprint(n+1), list)
				q.Check(at(0), traits)
				q.Output(at(0), traits)
			}
		})
	}
}

// BenchmarkReportAtTheBounds measures a crash report to a quarantine whose evidence is as
// large as its bounds allow.
func BenchmarkReportAtTheBounds(b *testing.B) {
	q := quarantine.New(nil)
	report := func(n int) {
		var suspects []quarantine.Suspect
		for m := range 32 {
			var parts []ident.PromptPart
			for k := range 16 {
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
