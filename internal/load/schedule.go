package load

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At       time.Duration
	Number   int
	Workload int
	Account  int
	Prompt   int
	Output   int
	Prefix   int
}

// Schedule returns all arrivals of the scenario in order of time. The same seed
// gives the same schedule; each workload and account draws from its own source,
// so that a change to one leaves the others' arrivals as they are.
func Schedule(s *Scenario) []Arrival {
	var arrivals []Arrival
	for w, workload := range s.Workloads {
		for a, account := range s.Accounts {
			if sends(workload, account.ID) {
				arrivals = append(arrivals, stream(s, w, a)...)
			}
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	for i := range arrivals {
		arrivals[i].Number = i
	}
	return arrivals
}

func sends(w Workload, account ident.ClientAccount) bool {
	for _, a := range w.Accounts {
		if a == account {
			return true
		}
	}
	return len(w.Accounts) == 0
}

// stream draws the Poisson arrivals of one account in one workload.
func stream(s *Scenario, w, a int) []Arrival {
	workload := s.Workloads[w]
	source := rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(workload.Name+"/"+string(s.Accounts[a].ID))))
	end := min(workload.To, s.Duration)
	var out []Arrival
	for at := workload.From; ; {
		at += time.Duration(source.ExpFloat64() / workload.Rate * float64(time.Second))
		if at >= end {
			return out
		}
		out = append(out, Arrival{
			At: at, Workload: w, Account: a,
			Prompt: draw(source, workload.Prompt),
			Output: draw(source, workload.Output),
			Prefix: source.IntN(workload.Prefixes),
		})
	}
}

func draw(source *rand.Rand, l Length) int { return l.Min + source.IntN(l.Max-l.Min+1) }
