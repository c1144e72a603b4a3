package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

func parts(p ...ident.PromptPart) quarantine.Traits { return quarantine.Traits{Parts: p} }

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func suspect(p ...ident.PromptPart) quarantine.Suspect {
	return quarantine.Suspect{Traits: quarantine.Traits{Parts: p}, Began: true}
}

func waiting(p ...ident.PromptPart) quarantine.Suspect {
	return quarantine.Suspect{Traits: quarantine.Traits{Parts: p}}
}

func crash(server ident.ServerID, d time.Duration, suspects ...quarantine.Suspect) quarantine.Crash {
	return quarantine.Crash{Server: server, At: at(d), Suspects: suspects}
}

func crashed(q *quarantine.Quarantine, server ident.ServerID, d time.Duration, suspects ...quarantine.Suspect) {
	q.AddCrash(at(d), crash(server, d, suspects...))
}

func allowed(q *quarantine.Quarantine, d time.Duration, p ...ident.PromptPart) bool {
	return q.Check(at(d), parts(p...)).Send
}

// Guards against a second crash by the same part: one crash that only this part explains
// must suffice.
func TestPartThatAloneExplainsACrashIsHeldAfterOneCrash(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("first"))
	crashed(q, "s1", time.Second, suspect("first", "deadly"))
	must.False(t, allowed(q, 50*time.Second, "first", "deadly"))
	must.True(t, allowed(q, time.Second, "first"))
	must.Positive(t, q.Check(at(2*time.Second), parts("deadly")).Wait)
}

// Guards against accusing the first part, which sound requests share, when no output has
// shown yet that it is sound.
func TestSharedFirstPartReturnsAndLeavesTheBlameToTheOther(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspect("first", "deadly"))
	must.False(t, allowed(q, time.Second, "first"))
	must.False(t, allowed(q, 5*time.Second, "first", "deadly"), must.Sprint("a request with two accused parts proves nothing"))
	d := q.Check(at(5*time.Second), parts("first"))
	must.True(t, d.Send)
	must.Eq(t, parts("first"), d.Trial)
	q.BeginTrial(at(5*time.Second), parts("first"))
	must.False(t, allowed(q, 5*time.Second, "first"), must.Sprint("one trial at a time"))
	q.Output(at(5200*time.Millisecond), parts("first"))
	must.True(t, allowed(q, 6*time.Second, "first"))
	must.False(t, allowed(q, 50*time.Second, "first", "deadly"))
}

// Guards against accusing requests that merely waited at a server that crashed while it
// began to write an answer.
func TestWaitingRequestsAreNotBlamedBesideOneThatBegan(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, waiting("new-1"), suspect("deadly"), waiting("new-2"))
	must.True(t, allowed(q, time.Second, "new-1"))
	must.True(t, allowed(q, time.Second, "new-2"))
	must.False(t, allowed(q, time.Second, "deadly"))
}

// Guards against a long hold of a sound part after a crash of another cause.
func TestPartOnWeakEvidenceReturnsByATrial(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, waiting("new"))
	must.False(t, allowed(q, time.Second, "new"))
	must.Eq(t, parts("new"), q.Check(at(4*time.Second), parts("new")).Trial)
	q.BeginTrial(at(4*time.Second), parts("new"))
	q.Output(at(4100*time.Millisecond), parts("new"))
	must.True(t, allowed(q, 5*time.Second, "new"))
	must.Eq(t, quarantine.Decision{Send: true}, q.Check(at(5*time.Second), parts("new")), must.Sprint("no longer accused"))
}

// Guards against accusing a much used part because several servers crash in one outage, in
// which no output could show that it is sound.
func TestManyCrashesInOneOutageDoNotAccuseAProvenPart(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("hot"))
	for n, server := range []ident.ServerID{"s1", "s2", "s3"} {
		crashed(q, server, time.Second+time.Duration(n)*100*time.Millisecond, suspect("hot"))
	}
	must.True(t, allowed(q, 2*time.Second, "hot"))
}

// Guards against a part that was sound for a while and then crashes servers again and
// again, protected by old proofs.
func TestPartThatTurnedDeadlyIsHeldAfterTwoOutages(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("first", "turned"))
	crashed(q, "s1", 10*time.Second, suspect("first", "turned"))
	must.True(t, allowed(q, 11*time.Second, "turned"))
	q.Output(at(15*time.Second), parts("first"))
	crashed(q, "s2", 16*time.Second, suspect("first", "turned"))
	must.True(t, allowed(q, 17*time.Second, "first"))
	must.False(t, allowed(q, 60*time.Second, "turned"))
}

// Guards against a part that turned deadly and crashes one server after the other within two
// seconds, because servers that do not form a group count as one outage.
func TestCrashesOfIndependentServersAreSeparateOutages(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("first", "turned"))
	crashed(q, "s1", time.Second, waiting("first", "turned"))
	q.Output(at(1500*time.Millisecond), parts("first"))
	crashed(q, "s2", 1600*time.Millisecond, waiting("first", "turned"))
	must.True(t, allowed(q, 1700*time.Millisecond, "first"))
	must.False(t, allowed(q, 1700*time.Millisecond, "turned"))
}

// Guards against a part that turned deadly and is sent on, although one request with it has
// crashed two servers in a row.
func TestRequestThatCrashesTwoServersIsEnoughEvidence(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("turned"))
	crashed(q, "s1", time.Second, waiting("turned"))
	must.True(t, allowed(q, time.Second, "turned"))
	crashed(q, "s2", 1010*time.Millisecond, quarantine.Suspect{Traits: parts("turned"), Repeated: true})
	must.False(t, allowed(q, 1020*time.Millisecond, "turned"))
}

// Guards against a proof from just before a crash that arrives after it and clears the part
// that caused it.
func TestProofThatWasOnItsWayDuringTheCrashDoesNotClear(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", time.Second, suspect("deadly"))
	q.AddProofs(at(1100*time.Millisecond), []quarantine.Proof{{Trait: quarantine.Trait{Part: "deadly"}, At: at(1050 * time.Millisecond)}})
	crashed(q, "s2", 4*time.Second, suspect("deadly"))
	must.False(t, allowed(q, 5*time.Second, "deadly"))
}

// Guards against crashes that follow each other faster than outputs arrive and so count as
// one outage for ever.
func TestFrequentCrashesOfIndependentServersAreSeparateOutages(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("first", "turned"))
	for n := range 4 {
		now := time.Second + time.Duration(n)*100*time.Millisecond
		q.Output(at(now-50*time.Millisecond), parts("first"))
		crashed(q, ident.ServerID(rune('a'+n)), now, waiting("first", "turned"))
	}
	must.False(t, allowed(q, 1400*time.Millisecond, "turned"))
}

// Guards against an accusation that only one entry can refute, and against a proof that the
// entry which has it does not pass on.
func TestProofOfAnotherEntryClearsAPart(t *testing.T) {
	reporter, other := quarantine.New(nil), quarantine.New(nil)
	other.Output(at(0), parts("p"))
	c := crash("s1", time.Second, suspect("p"))
	reporter.AddCrash(at(time.Second), c)
	must.False(t, allowed(reporter, time.Second, "p"))
	must.True(t, reporter.Check(at(time.Second), parts("p")).Unsettled)
	proofs := other.AddCrash(at(time.Second), c)
	must.SliceLen(t, 1, proofs)
	must.True(t, allowed(other, time.Second, "p"))
	reporter.AddProofs(at(time.Second), proofs)
	must.True(t, allowed(reporter, time.Second, "p"))
}

// Guards against an entry that passes on an output only long after others accused the part.
func TestOutputOfASuspectedPartIsNews(t *testing.T) {
	q := quarantine.New(nil)
	must.SliceEmpty(t, q.Output(at(0), parts("p")))
	crashed(q, "s1", time.Second, suspect("p"))
	must.SliceLen(t, 1, q.Output(at(2*time.Second), parts("p")))
	must.SliceEmpty(t, q.Output(at(3*time.Second), parts("p")))
}

// Guards against trials of all entries at once, each of which may crash a server.
func TestTrialOfAnotherEntryExcludesOwn(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, waiting("p"))
	q.PeerTrial(at(2900*time.Millisecond), quarantine.Trait{Part: "p"})
	must.False(t, allowed(q, 3100*time.Millisecond, "p"))
	must.True(t, allowed(q, 5*time.Second, "p"), must.Sprint("a trial without a result does not block the part for ever"))
}

// Guards against a trial that was refused by the server and blocks the next one.
func TestTrialWithoutResultIsFollowedByTheNext(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, waiting("p"))
	q.BeginTrial(at(4*time.Second), parts("p"))
	q.AttemptEnded(at(4010*time.Millisecond), parts("p"))
	must.True(t, allowed(q, 4020*time.Millisecond, "p"))
}

// Guards against trials that crash a server every few seconds: each crash must lengthen the
// hold, up to a bound.
func TestEachCrashLengthensTheHold(t *testing.T) {
	q := quarantine.New(nil)
	now, previous := time.Duration(0), time.Duration(0)
	for n := range 7 {
		crashed(q, ident.ServerID(rune('a'+n)), now, suspect("deadly"))
		wait := q.Check(at(now), parts("deadly")).Wait
		must.GreaterEq(t, previous, wait)
		must.LessEq(t, 10*time.Minute, wait)
		now, previous = now+wait, wait
		must.Eq(t, parts("deadly"), q.Check(at(now), parts("deadly")).Trial, must.Sprintf("trial %d", n))
		q.BeginTrial(at(now), parts("deadly"))
	}
	must.Eq(t, 10*time.Minute, previous)
	crashed(q, "h", now, suspect("deadly"))
	must.False(t, allowed(q, now+23*time.Hour, "deadly"), must.Sprint("no trial after the eighth crash"))
}

// Guards against two deadly parts of which one hides behind the other.
func TestTwoDeadlyPartsAreBothHeld(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("first"))
	crashed(q, "s1", time.Second, suspect("first", "deadly-1"))
	crashed(q, "s2", time.Second, suspect("first", "deadly-2"))
	must.False(t, allowed(q, 10*time.Second, "first", "deadly-1"))
	must.False(t, allowed(q, 10*time.Second, "first", "deadly-2"))
	must.True(t, allowed(q, 10*time.Second, "first"))
}

// Guards against releasing the part that a trial showed to be deadly, and against holding
// the other parts of the first crash any longer.
func TestCrashOfATrialClearsTheOtherSuspects(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspect("a", "b"))
	q.BeginTrial(at(4*time.Second), parts("a"))
	crashed(q, "s2", 4100*time.Millisecond, suspect("a"))
	must.False(t, allowed(q, 30*time.Second, "a"))
	must.True(t, allowed(q, 5*time.Second, "b"))
}

// Guards against accusing a part long after the crash, once the proof from before the crash
// is forgotten.
func TestOldCrashDoesNotAccuseWhenProofsAreForgotten(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), parts("quiet", "sound"))
	crashed(q, "s1", time.Second, suspect("quiet"))
	for n := range 300 {
		q.Output(at(time.Duration(n)*time.Second), parts("sound"))
	}
	crashed(q, "s2", 301*time.Second, suspect("sound"))
	must.True(t, allowed(q, 302*time.Second, "quiet"))
}

// Guards against the accusation of the parts that all requests of a deadly kind share, while
// sound requests have them too: random days with one deadly part, several servers and many
// sound parts, and crashes of another cause.
func TestSoundPartsAreServedOnRandomDays(t *testing.T) {
	runRandomDays(t)
}
