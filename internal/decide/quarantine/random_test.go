package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// dayLength is the length of a random day, outageLength that of an outage of the group
	// after a crash.
	dayLength    = 60 * time.Second
	outageLength = 4 * time.Second
	// meanInterval is the mean time between two requests.
	meanInterval = 14 * time.Millisecond
	firstParts   = 180
	entryCount   = 10
)

// day is a simulated day of a group of engines behind several entries, each with a
// quarantine. Messages between entries arrive at once.
type day struct {
	random  *rand.Rand
	entries []*quarantine.Quarantine
	now     time.Duration
	downTo  time.Duration
	crashes int
	// deadlyCrashes counts the crashes by the deadly part.
	deadlyCrashes int
	sound, served int
}

func runRandomDays(t *testing.T) {
	for seed := range uint64(40) {
		d := &day{random: rand.New(rand.NewPCG(seed, 1))}
		for range entryCount {
			d.entries = append(d.entries, quarantine.New(nil))
		}
		d.run()
		must.LessEq(t, 4, d.deadlyCrashes, must.Sprintf("seed %d: crashes by the deadly part", seed))
		must.GreaterEq(t, 0.9, float64(d.served)/float64(d.sound), must.Sprintf("seed %d: share of sound requests with the first part of deadly ones that are sent while the group is up", seed))
	}
}

func (d *day) run() {
	poisoned := d.random.Float64() * 10
	for d.now < dayLength {
		d.now += time.Duration(d.random.ExpFloat64() * float64(meanInterval))
		p := parts(ident.PromptPart(fmt.Sprint("first-", d.random.IntN(firstParts)*d.random.IntN(firstParts)/firstParts)))
		if d.now.Seconds() > poisoned && d.random.Float64() < 0.03 {
			p = parts("first-7", "deadly")
		}
		other := d.random.Float64() < 0.0005
		d.request(p, other)
	}
}

// request sends a request at a random entry. Other is set if its server then crashes for
// another reason.
func (d *day) request(p quarantine.Traits, other bool) {
	q := d.entries[d.random.IntN(len(d.entries))]
	watched := len(p.Parts) == 1 && p.Parts[0] == "first-7"
	decision := q.Check(at(d.now), p)
	if d.now < d.downTo {
		return
	}
	if watched {
		d.sound++
	}
	if !decision.Send {
		return
	}
	if watched {
		d.served++
	}
	if !decision.Trial.Empty() {
		q.BeginTrial(at(d.now), decision.Trial)
		for _, e := range d.entries {
			if e != q {
				for _, part := range decision.Trial.Parts {
					e.PeerTrial(at(d.now), quarantine.Trait{Part: part})
				}
			}
		}
	}
	deadly := len(p.Parts) == 2
	if deadly || other {
		d.crash(p, deadly)
		return
	}
	d.share(q.Output(at(d.now), p))
}

func (d *day) crash(p quarantine.Traits, deadly bool) {
	d.crashes++
	if deadly {
		d.deadlyCrashes++
	}
	d.downTo = d.now + outageLength
	c := crash(ident.ServerID(fmt.Sprint("s", d.crashes)), d.now, quarantine.Suspect{Traits: p, Began: deadly})
	var proofs []quarantine.Proof
	for _, e := range d.entries {
		proofs = append(proofs, e.AddCrash(at(d.now), c)...)
	}
	d.share(proofs)
}

func (d *day) share(proofs []quarantine.Proof) {
	if len(proofs) == 0 {
		return
	}
	for _, e := range d.entries {
		e.AddProofs(at(d.now), proofs)
	}
}
