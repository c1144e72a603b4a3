package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// promptVersion draws the parts of prompts that no server has seen before.
type promptVersion struct {
	name string
	// shared draws the shared parts of a prompt.
	shared func(random *rand.Rand) []ident.PromptPart
	// ownPart adds a part that no other request has.
	ownPart bool
}

func (v *promptVersion) sound(random *rand.Rand) []ident.PromptPart {
	list := v.shared(random)
	if v.ownPart {
		list = append(list, ident.PromptPart(fmt.Sprint("own-", random.Uint64())))
	}
	return list
}

func (v *promptVersion) deadly(random *rand.Rand) []ident.PromptPart {
	list := v.sound(random)
	return slices.Insert(list, random.IntN(len(list)+1), "deadly")
}

func numberedParts(n int) []ident.PromptPart {
	var list []ident.PromptPart
	for k := range n {
		list = append(list, ident.PromptPart(fmt.Sprint("part-", k)))
	}
	return list
}

// promptVersions returns versions with n shared parts: that always come together, of which
// each prompt has the first ones, and of which each has any.
func promptVersions(n int) []*promptVersion {
	together := func(*rand.Rand) []ident.PromptPart { return numberedParts(n) }
	nested := func(random *rand.Rand) []ident.PromptPart { return numberedParts(1 + random.IntN(n)) }
	overlapping := func(random *rand.Rand) []ident.PromptPart {
		list := numberedParts(n)
		random.Shuffle(n, func(i, k int) { list[i], list[k] = list[k], list[i] })
		return list[:1+random.IntN(n)]
	}
	var list []*promptVersion
	for _, own := range []bool{false, true} {
		list = append(list,
			&promptVersion{name: fmt.Sprintf("%d together, own part %t", n, own), shared: together, ownPart: own},
			&promptVersion{name: fmt.Sprintf("%d nested, own part %t", n, own), shared: nested, ownPart: own},
			&promptVersion{name: fmt.Sprintf("%d overlapping, own part %t", n, own), shared: overlapping, ownPart: own})
	}
	return list
}

// newVersionDay returns a day on which clients begin to use a new version of prompts, by the
// bits of the variant.
func newVersionDay(version *promptVersion, variant int) poisonedDay {
	d := poisonedDay{
		servers: 3, entries: 3, soundPerSecond: 60, deadlyPerSecond: 1, atOnce: 1, length: 30 * time.Second,
		version: version, versionLag: 300 * time.Millisecond, crashAfterHead: variant&1 != 0, otherCrashes: variant >> 1 & 1,
	}
	if variant&4 != 0 {
		d.servers, d.entries, d.versionLag = 6, 7, -80*time.Millisecond
	}
	if variant&8 != 0 {
		d.cuts, d.lost, d.soundPerSecond, d.slowness = true, 0.1, 30, 5
	}
	return d
}

// Guards against prompt parts that stay held for ever, because no request has one of them
// alone: clients begin to use several new shared parts while one more is deadly. Over sets of
// parts, servers, entries, cut links, lost messages and crashes of another cause, sound
// requests are served again and few servers crash.
func TestSharedPartsThatComeTogetherAreServedAgain(t *testing.T) {
	const firstSeed = uint64(5000)
	seed, crashes := firstSeed, 0
	for _, n := range []int{1, 2, 3, 5, 12} {
		for k, version := range promptVersions(n) {
			for variant := k % 2; variant < 16; variant += 2 {
				seed++
				r := newPoisonedRun(newVersionDay(version, variant), seed)
				r.run()
				for _, fault := range r.broken() {
					t.Errorf("%s, variant %d, seed %d: %s", version.name, variant, seed, fault)
				}
				crashes += len(r.crashes)
			}
		}
	}
	t.Logf("%d crashes in %d days", crashes, seed-firstSeed)
}

// Guards against a hold that no trial can end: whatever sets of parts were accused by a
// crash, requests with some of these sets are all served within a bounded time, also if a
// part of the trials end without an answer or are never heard of again.
func TestEveryHoldEndsByATrial(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var prompts []quarantine.Traits
		for n := range 1 + random.IntN(6) {
			list := numberedParts(1 + random.IntN(12))
			random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
			prompts = append(prompts, request(ident.Fingerprint(n+1), list[:1+random.IntN(len(list))]...))
		}
		q := quarantine.New(nil)
		var suspects []quarantine.Suspect
		for _, p := range prompts {
			p.Request += 100
			suspects = append(suspects, quarantine.Suspect{Traits: p, Began: random.IntN(2) == 0})
		}
		crashed(q, "s1", 0, suspects...)
		// Each prompt comes once a second, the hold of a minute and then at most one trial of
		// each set have to be over.
		const limit = time.Minute + 30*time.Second
		for now := time.Duration(0); now < limit; now += 100 * time.Millisecond {
			p := prompts[random.IntN(len(prompts))]
			d := q.Check(at(now), p)
			if !d.Send {
				q.Refused(at(now), p)
				continue
			}
			q.BeginTrial(at(now), d.Trial)
			switch random.IntN(4) {
			case 0:
				q.AttemptEnded(at(now+50*time.Millisecond), p)
			case 1:
			default:
				q.Output(at(now+50*time.Millisecond), p)
			}
		}
		for _, p := range prompts {
			must.Eq(t, quarantine.Decision{Send: true}, q.Check(at(limit), p), must.Sprintf("seed %d, prompts %v", seed, prompts))
		}
	}
}

// refused reports whether a request is refused, and records it if so.
func refused(q *quarantine.Quarantine, d time.Duration, p ...ident.PromptPart) bool {
	if allowed(q, d, p...) {
		return false
	}
	q.Refused(at(d), parts(p...))
	return true
}

// Guards against the refusal of all requests with two new shared parts after a crash by a
// request that has a deadly part, too, and against a trial of the deadly one.
func TestRequestWithSomeOfTheAccusedPartsIsTheTrial(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspect("instructions", "tools", "deadly"))
	must.True(t, refused(q, 2900*time.Millisecond, "instructions", "tools"))
	must.True(t, refused(q, 3100*time.Millisecond, "deadly", "instructions", "tools"))
	d := q.Check(at(3100*time.Millisecond), parts("instructions", "tools"))
	must.Eq(t, parts("instructions", "tools"), d.Trial)
	q.BeginTrial(at(3100*time.Millisecond), d.Trial)
	must.True(t, refused(q, 3150*time.Millisecond, "instructions", "tools"), must.Sprint("one trial at a time"))
	q.Output(at(3200*time.Millisecond), parts("instructions", "tools"))
	must.Eq(t, quarantine.Decision{Send: true}, q.Check(at(3300*time.Millisecond), parts("instructions", "tools")))
	must.True(t, refused(q, 50*time.Second, "deadly", "instructions", "tools"))
	must.True(t, refused(q, 50*time.Second, "deadly"))
}

// Guards against a trial that risks more than needed while a request with fewer accused
// parts comes, and against waiting for one that comes no more.
func TestRequestWithTheFewestAccusedPartsIsTriedFirst(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspect("a", "b", "c", "deadly"))
	must.True(t, refused(q, 2900*time.Millisecond, "a"))
	must.True(t, refused(q, 3*time.Second, "a", "b"), must.Sprint("a request with one of the two came lately"))
	must.True(t, refused(q, 4800*time.Millisecond, "a", "b", "c"))
	must.Eq(t, parts("a", "b"), q.Check(at(5*time.Second), parts("a", "b")).Trial, must.Sprint("no request with one of the two came for 2 s"))
}

// Guards against a long hold of sound parts that always come together, because a server
// crashed for another reason during their trial: so many requests are refused that few more
// can crash servers.
func TestPartsOfManyRefusedRequestsAreTriedAgainSoon(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspect("a", "b", "deadly"))
	d := q.Check(at(3*time.Second), parts("a", "b"))
	q.BeginTrial(at(3*time.Second), d.Trial)
	crashed(q, "s2", 3100*time.Millisecond, suspect("a", "b"))
	for n := range 30 {
		must.True(t, refused(q, 3200*time.Millisecond+time.Duration(n)*90*time.Millisecond, "a", "b"))
	}
	must.Eq(t, parts("a", "b"), q.Check(at(6100*time.Millisecond), parts("a", "b")).Trial)
}

// Guards against an early trial of a deadly part, whose requests are few among those served.
func TestPartOfFewRefusedRequestsIsNotTriedEarly(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspect("deadly", "a"))
	crashed(q, "s2", 3*time.Second, suspect("deadly", "b"))
	for n := range 200 {
		now := 3*time.Second + time.Duration(n)*250*time.Millisecond
		must.True(t, refused(q, now, "deadly"))
		for range 4 {
			q.Output(at(now), parts("sound"))
		}
	}
}

// Guards against an early trial of a deadly part because one request that waits is checked
// many times.
func TestWaitingRequestIsCountedOnceAsRefused(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspect("deadly", "a"))
	crashed(q, "s2", 3*time.Second, suspect("deadly", "b"))
	for n := range 300 {
		must.False(t, allowed(q, 3*time.Second+time.Duration(n)*time.Millisecond, "deadly"))
	}
	must.True(t, refused(q, 3300*time.Millisecond, "deadly"))
	must.False(t, allowed(q, 20*time.Second, "deadly"))
}

// Guards against a trial that the other entries learn of for one of its parts only, so that
// they begin another one.
func TestOthersLearnOfAllPartsOfATrial(t *testing.T) {
	own, other := newSet(), newSet()
	for _, m := range own.Crashed(at(0), "svc", "s1", suspect("a", "b", "deadly")) {
		other.Handle(at(0), m)
	}
	d := own.Check(at(4*time.Second), "svc", parts("a", "b"))
	for _, m := range own.BeginTrial(at(4*time.Second), "svc", d.Trial) {
		other.Handle(at(4*time.Second), m)
	}
	for _, p := range []quarantine.Traits{parts("a"), parts("b")} {
		must.False(t, other.Check(at(4100*time.Millisecond), "svc", p).Send)
		must.True(t, other.Check(at(5600*time.Millisecond), "svc", p).Send, must.Sprint("the entry of the trial may be gone"))
	}
}
