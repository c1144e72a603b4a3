package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

var start = time.Unix(1_000_000, 0)

func testConfig() admission.Config {
	return admission.Config{
		Shares:       map[ident.PriorityClass]float64{ident.Interactive: 0.4, ident.Analytical: 0.2, ident.Batch: 0.1},
		BookingShare: 0.1, Rate: 1000, MaxItems: 200,
	}
}

type source struct{ n int }

func (s *source) item(account string, class ident.PriorityClass, cost int64) admission.Item {
	s.n++
	return admission.Item{
		ID:      admission.ID{Request: ident.RequestID(fmt.Sprintf("r-%d.s", s.n)), Attempt: 1},
		Account: ident.ClientAccount(account), Weight: 1, Class: class, Cost: cost, Deadline: start.Add(time.Hour),
	}
}

// serve dispatches n items while every queue is kept full, and returns the cost
// by account and by class.
func serve(s *admission.Scheduler, n int, refill func()) (map[ident.ClientAccount]int64, map[ident.PriorityClass]int64) {
	accounts, classes := map[ident.ClientAccount]int64{}, map[ident.PriorityClass]int64{}
	for range n {
		refill()
		item, ok := s.Next(start)
		if !ok {
			break
		}
		s.Charge(start, item.ID, item.Cost)
		accounts[item.Account] += item.Cost
		classes[item.Class] += item.Cost
	}
	return accounts, classes
}

// Guards against a flood of urgent work that uses up the other classes' shares.
func TestGuaranteedSharesHoldUnderAnyFlood(t *testing.T) {
	s, from := admission.New(testConfig()), &source{}
	rng := rand.New(rand.NewPCG(1, 1))
	refill := func() {
		for _, c := range ident.PriorityClasses() {
			s.Offer(start, from.item("a", c, 1+rng.Int64N(200)))
		}
	}
	_, classes := serve(s, 5000, refill)
	total := classes[ident.Interactive] + classes[ident.Analytical] + classes[ident.Batch]
	must.Greater(t, 0.95*0.2, float64(classes[ident.Analytical])/float64(total))
	must.Greater(t, 0.95*0.1, float64(classes[ident.Batch])/float64(total))
	must.Greater(t, 0.6, float64(classes[ident.Interactive])/float64(total))
}

// Guards against an account that is served more because it sends more work.
func TestAccountsShareByWeight(t *testing.T) {
	s, from := admission.New(testConfig()), &source{}
	refill := func() {
		for range 20 {
			s.Offer(start, from.item("large", ident.Batch, 100))
		}
		heavy := from.item("heavy", ident.Batch, 50)
		heavy.Weight = 3
		s.Offer(start, heavy)
		s.Offer(start, from.item("small", ident.Batch, 10))
		for range 10 {
			s.Offer(start, from.item("small", ident.Batch, 10))
		}
	}
	accounts, _ := serve(s, 4000, refill)
	must.InDelta(t, 1, float64(accounts["large"])/float64(accounts["small"]), 0.05)
	must.InDelta(t, 3, float64(accounts["heavy"])/float64(accounts["small"]), 0.15)
}

// Guards against an account that gains priority while idle and then starves the
// others when it sends again.
func TestIdleAccountSavesNoCredit(t *testing.T) {
	s, from := admission.New(testConfig()), &source{}
	serve(s, 1000, func() { s.Offer(start, from.item("busy", ident.Batch, 100)) })
	accounts, _ := serve(s, 100, func() {
		s.Offer(start, from.item("busy", ident.Batch, 100))
		s.Offer(start, from.item("back", ident.Batch, 100))
	})
	must.Between(t, 4500, accounts["back"], 5500)
}

// Guards against an account that is served more because its cost estimates are low.
func TestRealCostCorrectsEstimate(t *testing.T) {
	s, from := admission.New(testConfig()), &source{}
	real := map[ident.ClientAccount]int64{}
	for range 2000 {
		s.Offer(start, from.item("honest", ident.Batch, 100))
		s.Offer(start, from.item("liar", ident.Batch, 10))
		item, ok := s.Next(start)
		must.True(t, ok)
		s.Charge(start, item.ID, 100)
		real[item.Account] += 100
	}
	must.InDelta(t, 1, float64(real["liar"])/float64(real["honest"]), 0.05)
}

// Guards against a queue filled by one account that refuses all other accounts.
func TestFullLaneDisplacesTheLongestAccount(t *testing.T) {
	s, from := admission.New(testConfig()), &source{}
	for range 200 {
		must.True(t, s.Offer(start, from.item("large", ident.Batch, 10)).Queued)
	}
	over := s.Offer(start, from.item("large", ident.Batch, 10))
	must.False(t, over.Queued)
	must.Eq(t, outcome.ReasonAccountShare, over.Reason)
	small := s.Offer(start, from.item("small", ident.Batch, 10))
	must.True(t, small.Queued)
	must.Len(t, 1, small.Displaced)
	must.Eq(t, ident.ClientAccount("large"), small.Displaced[0].Account)
}

// Guards against work that is queued although it cannot meet its deadline.
func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	s, from := admission.New(testConfig()), &source{}
	for range 50 {
		s.Offer(start, from.item("a", ident.Batch, 100))
	}
	late := from.item("a", ident.Batch, 100)
	late.Deadline = start.Add(time.Second)
	d := s.Offer(start, late)
	must.False(t, d.Queued)
	must.Eq(t, outcome.ReasonDeadline, d.Reason)
	must.GreaterEq(t, time.Second, d.RetryAfter)
	again := s.Offer(start, late)
	must.False(t, again.Queued)
	must.False(t, again.Duplicate)
}

// Guards against long batch items that hold every slot while urgent work waits.
func TestUrgentSlotsStayFree(t *testing.T) {
	c := testConfig()
	c.Slots, c.UrgentSlots = 4, 1
	s, from := admission.New(c), &source{}
	for range 10 {
		s.Offer(start, from.item("a", ident.Batch, 10))
	}
	for range 3 {
		_, ok := s.Next(start)
		must.True(t, ok)
	}
	_, ok := s.Next(start)
	must.False(t, ok)
	s.Offer(start, from.item("a", ident.Interactive, 10))
	item, ok := s.Next(start)
	must.True(t, ok)
	must.Eq(t, ident.Interactive, item.Class)
}

// attemptLog checks that no attempt runs after it was refused, and that none is
// refused after it ran.
type attemptLog struct {
	ran, never map[admission.ID]bool
}

func (l *attemptLog) refuse(t *rapid.T, id admission.ID) {
	must.False(t, l.ran[id], must.Sprint("refused after it ran", id))
	l.never[id] = true
}

// Guards against refused attempts that run, attempts that run twice and queues
// beyond their bound, with offers that are repeated, late, withdrawn, displaced or
// expired in random order.
func TestRefusedAttemptsNeverRunAndNoneRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig()
		c.MaxItems = 8
		s, now, log := admission.New(c), start, attemptLog{map[admission.ID]bool{}, map[admission.ID]bool{}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := admission.ID{Request: ident.RequestID(fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id"))), Attempt: 1}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				item := admission.Item{
					ID: id, Account: ident.ClientAccount(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")),
					Class: rapid.SampledFrom(ident.PriorityClasses()).Draw(t, "class"),
					Cost:  rapid.Int64Range(0, 500).Draw(t, "cost"), Deadline: now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond),
				}
				d := s.Offer(now, item)
				if !d.Queued && !d.Duplicate {
					log.refuse(t, id)
				}
				for _, x := range d.Displaced {
					log.refuse(t, x.ID)
				}
				must.False(t, d.Queued && log.never[id])
			case 2:
				if item, ok := s.Next(now); ok {
					must.False(t, log.ran[item.ID] || log.never[item.ID], must.Sprint("run", item.ID))
					log.ran[item.ID] = true
					s.Charge(now, item.ID, rapid.Int64Range(0, 900).Draw(t, "real"))
				}
			case 3:
				if s.Withdraw(id) {
					log.refuse(t, id)
				}
			case 4:
				for _, x := range s.Expire(now) {
					log.refuse(t, x.ID)
				}
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			}
			must.LessEq(t, 24, s.Queued())
		}
	})
}
