package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// request returns the traits of a request with the fingerprint and prompt parts.
func request(f ident.Fingerprint, p ...ident.PromptPart) quarantine.Traits {
	return quarantine.Traits{Request: f, Parts: p}
}

// running returns a suspect that the server may have been running when it crashed.
func running(traits quarantine.Traits) quarantine.Suspect {
	return quarantine.Suspect{Traits: traits, Began: true}
}

// silent returns a suspect whose server does not tell whether it was running it.
func silent(traits quarantine.Traits) quarantine.Suspect {
	return quarantine.Suspect{Traits: traits, Silent: true}
}

// queued returns a suspect that the server had not begun to run when it crashed.
func queued(traits quarantine.Traits) quarantine.Suspect { return quarantine.Suspect{Traits: traits} }

func sent(q *quarantine.Quarantine, d time.Duration, traits quarantine.Traits) bool {
	return q.Check(at(d), traits).Send
}

// Guards against a request that crashes a server after each return of the group, because
// sound requests with the same prompt part clear it.
func TestRequestWithProvenPartsIsHeldAfterOneCrash(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(1, "first"))
	crashed(q, "s1", time.Second, running(request(7, "first")))
	q.Output(at(2*time.Second), request(2, "first"))
	must.False(t, sent(q, 50*time.Second, request(7, "first")))
	must.True(t, sent(q, time.Second, request(3, "first")))
}

// Guards against a request without prompt parts, as those for plain services are, that goes
// from server to server.
func TestRequestWithoutPartsIsHeldAfterOneCrash(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", time.Second, silent(request(7)))
	must.False(t, sent(q, 50*time.Second, request(7)))
	must.True(t, sent(q, time.Second, request(8)))
}

// Guards against a long hold of a read that callers repeat often and that was in flight at
// crashes of another cause.
func TestOftenRepeatedRequestIsNotHeldForLong(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(7))
	crashed(q, "s1", time.Second, silent(request(7)))
	must.True(t, sent(q, 1100*time.Millisecond, request(7)))
	q.Output(at(1200*time.Millisecond), request(8))
	crashed(q, "s2", 1300*time.Millisecond, silent(request(7)))
	d := q.Check(at(4400*time.Millisecond), request(7))
	must.True(t, d.Send)
	q.BeginTrial(at(4400*time.Millisecond), d.Trial)
	q.Output(at(4500*time.Millisecond), request(7))
	must.True(t, sent(q, 4600*time.Millisecond, request(7)))
}

// Guards against a request that was sound, then crashes one server and is sent to the next
// ones for ever, protected by its old outputs.
func TestRequestThatTurnedDeadlyIsHeldAfterItsRetry(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(7))
	crashed(q, "s1", time.Second, silent(request(7)))
	crashed(q, "s2", 1100*time.Millisecond, quarantine.Suspect{Traits: request(7), Silent: true, Repeated: true})
	must.False(t, sent(q, 4*time.Second, request(7)))
	q.BeginTrial(at(5*time.Second), request(7))
	q.Output(at(5*time.Second), request(8))
	crashed(q, "s3", 5100*time.Millisecond, silent(request(7)))
	q.BeginTrial(at(9*time.Second), request(7))
	q.Output(at(9*time.Second), request(8))
	crashed(q, "s1", 9100*time.Millisecond, silent(request(7)))
	must.False(t, sent(q, 60*time.Second, request(7)))
}

// Guards against a long hold of a read that callers repeat often, because servers that crash
// one after the other for another reason break off both attempts of one of them.
func TestOftenRepeatedRequestIsNotHeldForLongAfterItsRetry(t *testing.T) {
	for _, one := range []quarantine.Suspect{silent(request(7)), running(request(7)), queued(request(7))} {
		q := quarantine.New(nil)
		q.Output(at(0), request(7))
		crashed(q, "s1", time.Second, one)
		q.Output(at(1200*time.Millisecond), request(8))
		one.Repeated = true
		crashed(q, "s2", 1300*time.Millisecond, one)
		must.True(t, sent(q, 4400*time.Millisecond, request(7)))
	}
}

// Guards against requests that were in flight beside the one that caused the crash and are
// refused for ever, and against trials of all of them at once that leave the cause unknown.
func TestRequestsInFlightAtACrashReturnOneByOne(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, silent(request(7)), silent(request(8)), silent(request(9)))
	must.False(t, sent(q, 50*time.Second, request(8)))
	for _, f := range []ident.Fingerprint{8, 9} {
		d := q.Check(at(61*time.Second), request(f))
		must.Eq(t, request(f), d.Trial)
		q.BeginTrial(at(61*time.Second), d.Trial)
		q.Output(at(62*time.Second), request(f))
		must.True(t, sent(q, 62*time.Second, request(f)))
	}
	q.BeginTrial(at(62*time.Second), request(7))
	crashed(q, "s2", 63*time.Second, running(request(7)))
	must.False(t, sent(q, 5*time.Minute, request(7)))
}

// Guards against a crash of a trial that leaves requests held which were in flight beside
// the cause of the first crash.
func TestSecondCrashOfARequestClearsThoseInFlightBesideIt(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, running(request(7)), running(request(8)))
	crashed(q, "s2", 4*time.Second, running(request(7)))
	must.True(t, sent(q, 5*time.Second, request(8)))
	must.False(t, sent(q, 2*time.Minute, request(7)))
}

// Guards against a long hold of requests that waited in a server's queue when it crashed.
func TestRequestThatOnlyWaitedIsNotHeldForLong(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, queued(request(7)), queued(request(8)))
	must.False(t, sent(q, time.Second, request(7)))
	must.True(t, sent(q, 4*time.Second, request(7)))
	crashed(q, "s2", 5*time.Second, running(request(9)), queued(request(8)))
	must.True(t, sent(q, 9*time.Second, request(8)))
}

// Guards against a call that was in flight by chance and hides a stream that crashes the
// server before its head, because nothing tells whether the server was running the call.
func TestCallInFlightDoesNotHideAStreamThatWaited(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(1))
	crashed(q, "s1", time.Second, silent(request(1)), queued(request(7, "deadly")))
	must.False(t, sent(q, 2*time.Second, request(8, "deadly")))
	must.False(t, sent(q, 2*time.Second, request(7)))
}

// Guards against a blame of the prompt parts for crashes that one request explains.
func TestCrashesByOneRequestDoNotAddUpAgainstItsPart(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(1, "first"))
	for n, d := range []time.Duration{time.Second, 5 * time.Second, 9 * time.Second} {
		crashed(q, ident.ServerID(rune('a'+n)), d, running(request(7, "first")))
	}
	must.True(t, sent(q, 10*time.Second, request(2, "first")))
}

// Guards against a part that turned deadly and crashes more servers than two, because the
// retry of one request counts against the request only, which was sound before, too.
func TestPartOfARequestThatCrashesTwoServersIsBlamed(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(7, "first", "turned"))
	crashed(q, "s1", time.Second, queued(request(7, "first", "turned")))
	q.Output(at(1500*time.Millisecond), request(1, "first"))
	crashed(q, "s2", 1600*time.Millisecond, quarantine.Suspect{Traits: request(7, "first", "turned"), Repeated: true})
	must.False(t, sent(q, 1700*time.Millisecond, request(8, "first", "turned")))
}

// Guards against the refusal of all requests with a common first part, which was shown to be
// sound between the two crashes by a request that has it.
func TestRetryDoesNotBlameAPartThatWasProvenInBetween(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(7, "first", "turned"))
	crashed(q, "s1", time.Second, queued(request(7, "first", "turned")))
	q.Output(at(1500*time.Millisecond), request(1, "first"))
	crashed(q, "s2", 1600*time.Millisecond, quarantine.Suspect{Traits: request(7, "first", "turned"), Repeated: true})
	must.True(t, sent(q, 1700*time.Millisecond, request(8, "first")))
}

// Guards against a part that crashes servers and hides behind requests of which no two are
// alike.
func TestPartOfDifferentRequestsIsBlamed(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(1, "first", "turned"))
	crashed(q, "s1", time.Second, running(request(7, "first", "turned")))
	q.Output(at(4*time.Second), request(2, "first"))
	crashed(q, "s2", 5*time.Second, running(request(8, "first", "turned")))
	must.False(t, sent(q, 30*time.Second, request(9, "first", "turned")))
	must.True(t, sent(q, 30*time.Second, request(9, "first")))
}

// Guards against a request that is refused for ever after a crash of another cause, because
// several of its parts are accused with it and no other request has them.
func TestRequestWithSeveralAccusedPartsReturnsByATrial(t *testing.T) {
	q := quarantine.New(nil)
	traits := request(7, "a", "b")
	crashed(q, "s1", 0, running(traits))
	d := q.Check(at(61*time.Second), traits)
	must.True(t, d.Send)
	q.BeginTrial(at(61*time.Second), d.Trial)
	q.Output(at(62*time.Second), traits)
	must.True(t, sent(q, 63*time.Second, traits))
}

// Guards against an entry that starts after a crash, knows none of the outputs since, and
// refuses sound requests with the part of the suspect.
func TestEntryThatStartsLearnsWhatWasProven(t *testing.T) {
	accepting, starting := newSet(), newSet()
	accepting.Output(at(0), "svc", request(1, "first"))
	accepting.Crashed(at(time.Second), "svc", "s1", running(request(7, "first")))
	must.True(t, accepting.Check(at(2*time.Second), "svc", request(2, "first")).Send)
	for _, m := range accepting.State(at(2 * time.Second)) {
		starting.Handle(at(2*time.Second), m)
	}
	must.True(t, starting.Check(at(2*time.Second), "svc", request(2, "first")).Send)
	must.False(t, starting.Check(at(2*time.Second), "svc", request(7, "first")).Send)
}

// Guards against an entry that starts long after a crash and accuses traits whose outputs
// from before the crash nobody remembers any more.
func TestEntryThatStartsLateLearnsWhatWasProven(t *testing.T) {
	accepting, starting := newSet(), newSet()
	accepting.Output(at(0), "svc", request(1, "quiet"))
	accepting.Crashed(at(time.Second), "svc", "s1", running(request(7, "quiet")))
	for n := range 300 {
		accepting.Output(at(time.Duration(n)*time.Second), "svc", request(2))
	}
	for _, m := range accepting.State(at(300 * time.Second)) {
		starting.Handle(at(300*time.Second), m)
	}
	d := starting.Check(at(300*time.Second), "svc", request(3, "quiet"))
	must.True(t, d.Send)
	must.Eq(t, quarantine.Traits{}, d.Trial, must.Sprint("the part is not accused"))
}

// Guards against a request that is sent again after all entries were restarted one by one,
// because each of them dropped a crash that was more than a minute old.
func TestEntryThatStartsLearnsOfACrashMinutesAgo(t *testing.T) {
	accepting, starting := newSet(), newSet()
	accepting.Crashed(at(0), "svc", "s1", running(request(7)))
	accepting.Crashed(at(10*time.Second), "svc", "s2", running(request(7)))
	must.False(t, accepting.Check(at(2*time.Minute), "svc", request(7)).Send)
	for _, m := range accepting.State(at(2 * time.Minute)) {
		starting.Handle(at(2*time.Minute), m)
	}
	must.False(t, starting.Check(at(2*time.Minute), "svc", request(7)).Send)
}

// Guards against a long refusal of sound requests with a rare part, whose only fault is that
// a request which crashes servers has it, too.
func TestPartIsTriedSoonIfItsRequestComesAgain(t *testing.T) {
	own, other := newSet(), newSet()
	for _, m := range own.Crashed(at(0), "svc", "s1", running(request(7, "rare"))) {
		other.Handle(at(0), m)
	}
	must.False(t, own.Check(at(10*time.Second), "svc", request(8, "rare")).Send)
	for _, d := range []time.Duration{time.Second, 2 * time.Second} {
		for _, m := range own.Refused(at(d), "svc", request(7, "rare")) {
			other.Handle(at(d), m)
		}
	}
	for _, s := range []*quarantine.Set{own, other} {
		d := s.Check(at(4*time.Second), "svc", request(8, "rare"))
		must.Eq(t, parts("rare"), d.Trial)
		s.Output(at(5*time.Second), "svc", request(8, "rare"))
		must.Eq(t, quarantine.Decision{Send: true}, s.Check(at(6*time.Second), "svc", request(9, "rare")))
		must.False(t, s.Check(at(50*time.Second), "svc", request(7, "rare")).Send)
	}
}

// Guards against an early trial of a part that crashes servers: its requests are not alike,
// and only the caller of the first one sends that again.
func TestRetryOfTheCallerDoesNotExcuseThePart(t *testing.T) {
	s := newSet()
	s.Crashed(at(0), "svc", "s1", running(request(7, "deadly")))
	s.Refused(at(time.Second), "svc", request(7, "deadly"))
	for n := range ident.Fingerprint(20) {
		s.Refused(at(2*time.Second), "svc", request(100+n, "deadly"))
	}
	must.False(t, s.Check(at(50*time.Second), "svc", request(8, "deadly")).Send)
}

// crashByTrials crashes a server by each trial of the requests that next returns, until one
// is not sent within a day. It returns the number of crashes.
func crashByTrials(t *testing.T, next func(n int) quarantine.Traits) int {
	q := quarantine.New(nil)
	now := time.Duration(0)
	for n := range 100 {
		traits := next(n)
		crashed(q, ident.ServerID(fmt.Sprint("s", n)), now, running(traits))
		wait := q.Check(at(now), next(n+1)).Wait
		if wait > 23*time.Hour {
			return n + 1
		}
		now += wait
		d := q.Check(at(now), next(n+1))
		must.True(t, d.Send, must.Sprintf("trial %d", n))
		q.BeginTrial(at(now), d.Trial)
	}
	return 100
}

// Guards against a request that crashes a server every ten minutes for ever: after the third
// crash at most three copies of it may reach servers.
func TestTrialsOfARequestEnd(t *testing.T) {
	must.Eq(t, 6, crashByTrials(t, func(int) quarantine.Traits { return request(7) }))
}

// Guards against a part that crashes a server every ten minutes for ever: after the fifth
// crash at most three requests with it may reach servers.
func TestTrialsOfAPartEnd(t *testing.T) {
	must.Eq(t, 8, crashByTrials(t, func(n int) quarantine.Traits { return request(ident.Fingerprint(n+1), "deadly") }))
}

// Guards against forgetting a request that crashed several servers because many other servers
// crashed since, each for a reason of its own.
func TestOtherCrashesDoNotDisplaceTheEvidence(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "a", 0, running(request(7)))
	crashed(q, "b", 3*time.Second, running(request(7)))
	for n := range 200 {
		crashed(q, ident.ServerID(fmt.Sprint("s", n)), time.Duration(10+n)*time.Second, running(request(ident.Fingerprint(100+n))))
	}
	must.False(t, sent(q, 220*time.Second, request(7)))
}

// Guards against a log that shows the end of a hold and not its beginning.
func TestAccusationIsObserved(t *testing.T) {
	var seen []quarantine.Transition
	q := quarantine.New(func(t quarantine.Transition) { seen = append(seen, t) })
	crashed(q, "s1", 0, silent(request(7)))
	must.Eq(t, []quarantine.Transition{{Trait: quarantine.Trait{Request: 7}, To: "held", Hold: time.Minute}}, seen)
}

// Guards against memory that grows with what callers send: prompts with many or long part
// names, and many requests in flight at a crash.
func TestEvidenceIsBounded(t *testing.T) {
	long := ident.PromptPart(strings.Repeat("x", 16<<10))
	many := make([]ident.PromptPart, 100_000)
	for n := range many {
		many[n] = ident.PromptPart(fmt.Sprint("part-", n))
	}
	for _, p := range quarantine.TraitsOf(1, []ident.PromptPart{long}).Parts {
		must.LessEq(t, 64, len(p))
	}
	must.SliceLen(t, 4096+1, quarantine.TraitsOf(1, many).Parts)

	q := quarantine.New(nil)
	for n := range 100 {
		var suspects []quarantine.Suspect
		for m := range 1000 {
			suspects = append(suspects, running(request(ident.Fingerprint(n*1000+m+1))))
		}
		crashed(q, ident.ServerID(fmt.Sprint("s", n)), time.Duration(n)*time.Second, suspects...)
		crashed(q, ident.ServerID(fmt.Sprint("s", n)), time.Duration(n)*time.Second, suspects...)
	}
	must.SliceLen(t, 64, q.Crashes())
	for _, c := range q.Crashes() {
		must.SliceLen(t, 32, c.Suspects)
	}
}

// Guards against memory that grows with the parts of the prompts that are in flight at
// crashes.
func TestPartsOfAllCrashesAreBounded(t *testing.T) {
	q := quarantine.New(nil)
	for n := range 6 {
		for m := range 8 {
			list := longPrompt(1000, 0)
			for k := range list {
				list[k] += ident.PromptPart(fmt.Sprint(n, ".", m))
			}
			crashed(q, ident.ServerID(fmt.Sprint("s", n)), time.Duration(n)*time.Second, running(quarantine.TraitsOf(ident.Fingerprint(n*100+m+1), list)))
		}
	}
	parts := 0
	for _, c := range q.Crashes() {
		for _, s := range c.Suspects {
			parts += len(s.Parts)
		}
	}
	must.LessEq(t, 4*4096+4096, parts)
}

// Guards against a report that grows with the parts of sound prompts, and against one that
// leaves out a part without a proof.
func TestReportNamesThePartsWithoutAProof(t *testing.T) {
	s := newSet()
	sound := longPrompt(200, 0)
	s.Output(at(0), "svc", quarantine.TraitsOf(1, sound))
	report := s.Crashed(at(time.Second), "svc", "s1", running(quarantine.TraitsOf(2, append(sound, "new-1", "new-2"))))[0].(*message.CrashReport)
	must.SliceContainsAll(t, report.Suspects[0].Parts[:2], []ident.PromptPart{"new-1", "new-2"})
	must.LessEq(t, 2+32, len(report.Suspects[0].Parts))
}

func newSet() *quarantine.Set {
	return quarantine.NewSet(func(ident.ServiceName, quarantine.Transition) {})
}
