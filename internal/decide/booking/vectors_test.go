package booking_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// bench is one home without other processes, asked directly.
type bench struct {
	t    *testing.T
	home *booking.Home
	now  time.Time
	n    uint64
}

func newBench(t *testing.T, validFrom time.Time) *bench {
	b := &bench{t: t, now: epoch}
	self := booking.Replica{ID: "svc-0", Address: "a0"}
	b.home = booking.NewHome(b.now, booking.Identity{Service: service, Self: self, Incarnation: ident.NewIncarnation(b.now)})
	b.step(booking.Adopted{Record: message.Digest{Revision: 1}, Replicas: []booking.Replica{self}, ValidFrom: validFrom})
	b.step(booking.Listed{Addresses: []string{"a0"}, Candidates: []string{"a0"}})
	return b
}

func (b *bench) step(in booking.Input) []booking.Action { return b.home.Step(b.now, in) }

func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(time.Second, end.Sub(b.now)))
		b.step(booking.Tick{})
	}
}

// book sends Book and returns the answer: Reserved or BookResult.
func (b *bench) book(account ident.ClientAccount, name ident.ServiceName, key ident.IdempotencyKey, body string) message.Message {
	b.n++
	actions := b.step(booking.Received{From: "e", Message: &message.Book{
		Request: ident.RequestID(string(rune('a' + b.n))), Key: message.KeyID{Account: account, Service: name, Key: key},
		Fingerprint: booking.Fingerprint("POST", "/book", []byte(body)), RemainingMS: 3000, Record: message.Digest{Revision: 1},
	}})
	must.Len(b.t, 1, actions)
	return actions[0].(booking.Reply).Message
}

// commit runs a reserved key and returns the result that the entry gets.
func (b *bench) commit(m message.Message) message.BookResult {
	r, ok := m.(*message.Reserved)
	must.True(b.t, ok, must.Sprintf("%#v", m))
	actions := b.step(booking.Received{From: "e", Message: &message.BookCommit{Request: r.Request, Incarnation: r.Incarnation, Nonce: r.Nonce, RemainingMS: 1000}})
	run, ok := actions[0].(booking.Run)
	must.True(b.t, ok)
	actions = b.step(booking.Finished{Nonce: run.Nonce, Kind: outcome.Completed, Status: 201, Body: []byte("answer")})
	return *actions[0].(booking.Reply).Message.(*message.BookResult)
}

func (b *bench) refused(m message.Message, kind outcome.Kind, reason outcome.Reason) {
	r, ok := m.(*message.BookResult)
	must.True(b.t, ok, must.Sprintf("%#v", m))
	must.Eq(b.t, kind, r.Kind)
	must.Eq(b.t, reason, r.Reason)
}

// Guards against the forms of keys being told apart or mixed up wrongly.
func TestKeyForms(t *testing.T) {
	b := newBench(t, time.Time{})
	b.wait(20 * time.Second)
	key := keyAt(b.now, 1)
	first := b.commit(b.book("a", service, key, "x"))
	must.Eq(t, outcome.Completed, first.Kind)
	must.False(t, first.Replayed)

	upper := ident.IdempotencyKey(strings.ToUpper(string(key)))
	again, ok := b.book("a", service, upper, "x").(*message.BookResult)
	must.True(t, ok)
	must.True(t, again.Replayed)
	must.Eq(t, "answer", string(again.Body))

	b.refused(b.book("a", service, key, "other body"), outcome.NotRun, outcome.ReasonKeyReused)
	b.refused(b.book("a", service, keyAt(b.now.Add(6*time.Second), 2), "x"), outcome.NotRun, outcome.ReasonKeyFuture)
	b.refused(b.book("a", service, keyAt(b.now.Add(-30*time.Second), 3), "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	b.refused(b.book("a", service, "truck-17", "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	// The same key of another account or at another service is another key.
	must.False(t, b.commit(b.book("b", service, key, "x")).Replayed)
	must.False(t, b.commit(b.book("a", "other", key, "x")).Replayed)
}

// Guards against opaque keys that are refused although the operator vouches for
// them, and against trust in a statement that this process is too young for.
func TestOpaqueKeys(t *testing.T) {
	vouched := newBench(t, epoch.Add(2*time.Second))
	vouched.wait(time.Second)
	vouched.refused(vouched.book("a", service, "truck-17", "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	vouched.wait(2 * time.Second)
	must.Eq(t, outcome.Completed, vouched.commit(vouched.book("a", service, "truck-17", "x")).Kind)

	young := newBench(t, epoch.Add(-time.Second))
	young.wait(time.Minute)
	young.refused(young.book("a", service, "truck-17", "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	young.wait(24 * time.Hour)
	must.Eq(t, outcome.Completed, young.commit(young.book("a", service, "truck-18", "x")).Kind)
}

// Guards against a commit that runs a key after its reservation has ended.
func TestLateCommitIsRefused(t *testing.T) {
	b := newBench(t, time.Time{})
	b.wait(20 * time.Second)
	r := b.book("a", service, keyAt(b.now, 1), "x").(*message.Reserved)
	b.wait(5*time.Second + time.Millisecond)
	commit := booking.Received{From: "e", Message: &message.BookCommit{Request: r.Request, Incarnation: r.Incarnation, Nonce: r.Nonce, RemainingMS: 1000}}
	actions := b.step(commit)
	must.Len(t, 1, actions)
	b.refused(actions[0].(booking.Reply).Message, outcome.NotRun, outcome.ReasonReserveExpired)
}

// Guards against a call whose fate nobody knows being run again.
func TestUnknownStaysUnknown(t *testing.T) {
	b := newBench(t, time.Time{})
	b.wait(20 * time.Second)
	key := keyAt(b.now, 1)
	r := b.book("a", service, key, "x").(*message.Reserved)
	run := b.step(booking.Received{From: "e", Message: &message.BookCommit{Request: r.Request, Incarnation: r.Incarnation, Nonce: r.Nonce, RemainingMS: 1000}})[0].(booking.Run)
	b.step(booking.Finished{Nonce: run.Nonce, Kind: outcome.Unknown, Reason: outcome.ReasonServerFailed})
	b.refused(b.book("a", service, key, "x"), outcome.Unknown, outcome.ReasonServerFailed)
}
