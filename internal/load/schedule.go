package load

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Arrival is one request of the schedule. Workload and Account are indexes into the
// scenario; Prompt and Output are lengths in tokens; Prefix is the number of the
// shared prompt prefix.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At time.Duration
	// Number is the position in the schedule.
	Number   int
	Workload int
	Account  int
	Prompt   int
	Output   int
	Prefix   int
}

// Schedule returns all arrivals of the scenario in order of time. The same seed
// gives the same schedule. Each pair of workload and account has its own
// random source, so that a change to one leaves the arrivals of the others as they
// are.
func Schedule(s *Scenario) []Arrival {
	var arrivals []Arrival
	for w, workload := range s.Workloads {
		for a, account := range s.Accounts {
			if isSender(workload, account.ID) {
				arrivals = append(arrivals, poissonArrivals(s, w, a)...)
			}
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	for i := range arrivals {
		arrivals[i].Number = i
	}
	return arrivals
}

// isSender reports whether the account sends the requests of the workload.
func isSender(w Workload, account ident.ClientAccount) bool {
	for _, a := range w.Accounts {
		if a == account {
			return true
		}
	}
	return len(w.Accounts) == 0
}

// poissonArrivals draws the arrivals of one account in one workload, as a Poisson
// process. w and a are indexes into the scenario.
func poissonArrivals(s *Scenario, w, a int) []Arrival {
	workload := s.Workloads[w]
	random := rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(workload.Name+"/"+string(s.Accounts[a].ID))))
	end := min(workload.To, s.Duration)
	var out []Arrival
	for at := workload.From; ; {
		at += time.Duration(random.ExpFloat64() / workload.Rate * float64(time.Second))
		if at >= end {
			return out
		}
		out = append(out, Arrival{
			At: at, Workload: w, Account: a,
			Prompt: drawLength(random, workload.Prompt),
			Output: drawLength(random, workload.Output),
			Prefix: random.IntN(workload.Prefixes),
		})
	}
}

func drawLength(random *rand.Rand, l TokenRange) int { return l.Min + random.IntN(l.Max-l.Min+1) }
