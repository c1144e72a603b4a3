package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// request returns the traits of a request with the fingerprint and prompt parts.
func request(f ident.Fingerprint, p ...ident.PromptPart) quarantine.Traits {
	return quarantine.Traits{Request: f, Parts: p}
}

func suspectRequest(traits quarantine.Traits, began bool) quarantine.Suspect {
	return quarantine.Suspect{Traits: traits, Began: began}
}

func sent(q *quarantine.Quarantine, d time.Duration, traits quarantine.Traits) bool {
	return q.Check(at(d), traits).Send
}

// Guards against a request that crashes a server after each return of the group, because
// sound requests with the same prompt part clear it.
func TestRequestWithProvenPartsIsHeldAfterOneCrash(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(1, "first"))
	crashed(q, "s1", time.Second, suspectRequest(request(7, "first"), true))
	q.Output(at(2*time.Second), request(2, "first"))
	must.False(t, sent(q, 50*time.Second, request(7, "first")))
	must.True(t, sent(q, time.Second, request(3, "first")))
}

// Guards against a request without prompt parts, as those for plain services are, that goes
// from server to server.
func TestRequestWithoutPartsIsHeldAfterOneCrash(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", time.Second, suspectRequest(request(7), false))
	must.False(t, sent(q, 50*time.Second, request(7)))
	must.True(t, sent(q, time.Second, request(8)))
}

// Guards against a long hold of a read that callers repeat often and that was in flight at
// crashes of another cause.
func TestOftenRepeatedRequestIsNotHeldForLong(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(7))
	crashed(q, "s1", time.Second, suspectRequest(request(7), false))
	must.True(t, sent(q, 1100*time.Millisecond, request(7)))
	q.Output(at(1200*time.Millisecond), request(8))
	crashed(q, "s2", 1300*time.Millisecond, suspectRequest(request(7), false))
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
	crashed(q, "s1", time.Second, suspectRequest(request(7), false))
	crashed(q, "s2", 1100*time.Millisecond, quarantine.Suspect{Traits: request(7), Repeated: true})
	must.False(t, sent(q, 50*time.Second, request(7)))
}

// Guards against holding all requests that were in flight at a crash for as long as the one
// that caused it.
func TestRequestsInFlightAtACrashReturnOneByOne(t *testing.T) {
	q := quarantine.New(nil)
	crashed(q, "s1", 0, suspectRequest(request(7), false), suspectRequest(request(8), false), suspectRequest(request(9), false))
	must.False(t, sent(q, time.Second, request(8)))
	for _, f := range []ident.Fingerprint{8, 9} {
		d := q.Check(at(4*time.Second), request(f))
		must.Eq(t, quarantine.Trait{Request: f}, d.Trial)
		q.BeginTrial(at(4*time.Second), d.Trial)
		q.Output(at(4100*time.Millisecond), request(f))
		must.True(t, sent(q, 4200*time.Millisecond, request(f)))
	}
	must.False(t, sent(q, 4200*time.Millisecond, request(7)), must.Sprint("the only request that is left explains the crash"))
}

// Guards against a blame of the prompt parts for crashes that one request explains.
func TestCrashesByOneRequestDoNotAddUpAgainstItsPart(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(1, "first"))
	for n, d := range []time.Duration{time.Second, 5 * time.Second, 9 * time.Second} {
		crashed(q, ident.ServerID(rune('a'+n)), d, suspectRequest(request(7, "first"), true))
	}
	must.True(t, sent(q, 10*time.Second, request(2, "first")))
}

// Guards against a part that crashes servers and hides behind requests of which no two are
// alike.
func TestPartOfDifferentRequestsIsBlamed(t *testing.T) {
	q := quarantine.New(nil)
	q.Output(at(0), request(1, "first", "turned"))
	crashed(q, "s1", time.Second, suspectRequest(request(7, "first", "turned"), true))
	q.Output(at(4*time.Second), request(2, "first"))
	crashed(q, "s2", 5*time.Second, suspectRequest(request(8, "first", "turned"), true))
	must.False(t, sent(q, 30*time.Second, request(9, "first", "turned")))
	must.True(t, sent(q, 30*time.Second, request(9, "first")))
}

// Guards against a request that is refused for ever after a crash of another cause, because
// several of its parts are accused with it and no other request has them.
func TestRequestWithSeveralAccusedPartsReturnsByATrial(t *testing.T) {
	q := quarantine.New(nil)
	traits := request(7, "a", "b")
	crashed(q, "s1", 0, suspectRequest(traits, true))
	d := q.Check(at(61*time.Second), traits)
	must.True(t, d.Send)
	q.BeginTrial(at(61*time.Second), d.Trial)
	q.Output(at(62*time.Second), traits)
	must.True(t, sent(q, 63*time.Second, traits))
}
