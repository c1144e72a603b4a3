package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// BenchmarkItem measures one item from offer to charge, with four queued items per
// account. docs/CAPACITY.md uses the increase per account.
func BenchmarkItem(b *testing.B) {
	for _, accounts := range []int{10, 70, 280} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			now := time.Unix(0, 0)
			s := admission.New(admission.Config{Slots: 32, MaxItems: 1 << 20, Rate: 1e9})
			n := 0
			offer := func() {
				s.Offer(now, admission.Item{
					ID:      admission.ID{Request: ident.RequestID(fmt.Sprint(n)), Attempt: 1},
					Account: ident.ClientAccount(fmt.Sprint(n % accounts)), Weight: 1, Class: ident.Interactive,
					Cost: 100, Deadline: now.Add(time.Minute),
				})
				n++
			}
			for range 4 * accounts {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				offer()
				item, ok := s.Next(now)
				if !ok {
					b.Fatal("Next returned no item although items are queued")
				}
				s.Charge(now, item.ID, item.Cost)
			}
		})
	}
}
