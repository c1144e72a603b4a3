package quarantine_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// longPrompt returns n part ids of the size.
func longPrompt(n, size int) []ident.PromptPart {
	var list []ident.PromptPart
	for k := range n {
		id := fmt.Sprint("p", k, "-")
		list = append(list, ident.PromptPart(id+strings.Repeat("x", max(size-len(id), 0))))
	}
	return list
}

// Guards against a deadly part that is never held because of its place in the prompt or the
// size of its id, and against a hold of the other parts.
func TestDeadlyPartIsHeldWhereverItStands(t *testing.T) {
	for _, n := range []int{1, 8, 9, 12, 40, 200, 4096} {
		for _, size := range []int{1, 64, 65, 300} {
			sound := longPrompt(n, size)
			for _, place := range []int{0, n / 2, n} {
				deadly := slices.Insert(slices.Clone(sound), place, ident.PromptPart(strings.Repeat("deadly", 1+size/6)))
				s := newSet()
				s.Output(at(0), "svc", quarantine.TraitsOf(1, sound))
				s.Crashed(at(time.Second), "svc", "s1", running(quarantine.TraitsOf(2, deadly)))
				must.False(t, s.Check(at(50*time.Second), "svc", quarantine.TraitsOf(3, deadly)).Send, must.Sprintf("%d parts of %d bytes, the deadly one after %d", n, size, place))
				must.True(t, s.Check(at(2*time.Second), "svc", quarantine.TraitsOf(4, sound)).Send)
			}
		}
	}
}

// Guards against prompts with more parts than are told apart that crash servers again and
// again.
func TestPartsBeyondTheBoundAreWatchedTogether(t *testing.T) {
	s := newSet()
	sound := longPrompt(5000, 8)
	deadly := append(slices.Clone(sound), "deadly")
	s.Output(at(0), "svc", quarantine.TraitsOf(1, sound))
	s.Crashed(at(time.Second), "svc", "s1", running(quarantine.TraitsOf(2, deadly)))
	must.False(t, s.Check(at(50*time.Second), "svc", quarantine.TraitsOf(3, deadly)).Send)
	must.True(t, s.Check(at(2*time.Second), "svc", quarantine.TraitsOf(4, sound)).Send)
}

// Guards against two long ids that are taken for one part, and against ids that differ
// between processes.
func TestLongPartIDsAreReplacedByDigests(t *testing.T) {
	long := strings.Repeat("x", 300)
	list := quarantine.TraitsOf(1, []ident.PromptPart{ident.PromptPart(long + "a"), ident.PromptPart(long + "b"), "short", "short"}).Parts
	must.SliceLen(t, 3, list)
	for _, p := range list {
		must.LessEq(t, 64, len(p))
	}
	must.SliceContains(t, list, ident.PromptPart("short"))
	must.SliceContains(t, list, quarantine.TraitsOf(2, []ident.PromptPart{ident.PromptPart(long + "a")}).Parts[0])
	must.Eq(t, "sha256-7cc37fbce43bc079a5a94e24f7b7ff85", string(quarantine.TraitsOf(1, []ident.PromptPart{ident.PromptPart(long)}).Parts[0]), must.Sprint("the digest is the same in each process"))
}

// Guards against a part that turned deadly and hides behind parts that no other request has,
// as conversations add one in each turn.
func TestPartThatTurnedDeadlyBesideNewPartsIsHeld(t *testing.T) {
	s := newSet()
	crashes := 0
	for n := range 40 {
		now := time.Duration(n) * 3 * time.Second
		deadly := quarantine.TraitsOf(ident.Fingerprint(1000+n), []ident.PromptPart{"first", "turned", ident.PromptPart(fmt.Sprint("turn-", n))})
		if n == 0 {
			s.Output(at(now), "svc", deadly)
			continue
		}
		s.Output(at(now), "svc", quarantine.TraitsOf(ident.Fingerprint(n+1), []ident.PromptPart{"first", ident.PromptPart(fmt.Sprint("sound-", n))}))
		d := s.Check(at(now+time.Second), "svc", deadly)
		if d.Send {
			crashes++
			s.BeginTrial(at(now+time.Second), "svc", d.Trial)
			s.Crashed(at(now+1100*time.Millisecond), "svc", ident.ServerID(fmt.Sprint("s", n)), running(deadly))
		}
	}
	must.LessEq(t, 8, crashes)
	must.True(t, s.Check(at(121*time.Second), "svc", quarantine.TraitsOf(9, []ident.PromptPart{"first", "new"})).Send)
}

// Guards against deadly parts that are not learned, and against the refusal of sound
// requests, on days of conversations with many parts.
func TestLongPromptsAreServedBesideADeadlyPart(t *testing.T) {
	seed := uint64(6000)
	for _, n := range []int{40, 200} {
		for _, version := range promptVersions(n) {
			seed++
			r := newPoisonedRun(newVersionDay(version, int(seed)%4), seed)
			r.run()
			for _, fault := range r.broken() {
				t.Errorf("%s, seed %d: %s", version.name, seed, fault)
			}
		}
	}
}
