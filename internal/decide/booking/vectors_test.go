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

// homeFixture is one home without other processes, which a test calls directly.
type homeFixture struct {
	t    *testing.T
	home *booking.Home
	now  time.Time
	n    uint64
}

func newHomeFixture(t *testing.T, validFrom time.Time) *homeFixture {
	f := &homeFixture{t: t, now: epoch}
	self := booking.Replica{ID: "svc-0", Address: "a0"}
	f.home = booking.NewHome(f.now, booking.Identity{Service: service, Self: self, Incarnation: ident.NewIncarnation(f.now)})
	f.step(booking.RecordAdopted{Record: message.Digest{Revision: 1}, Replicas: []booking.Replica{self}, KeysValidFrom: validFrom})
	f.step(booking.InstanceListRead{Addresses: []string{"a0"}, Candidates: []string{"a0"}})
	return f
}

func (f *homeFixture) step(in booking.Input) []booking.Action { return f.home.Step(f.now, in) }

func (f *homeFixture) wait(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(time.Second, end.Sub(f.now)))
		f.step(booking.Tick{})
	}
}

// book sends Book and returns the answer: Reserved or BookResult.
func (f *homeFixture) book(account ident.ClientAccount, name ident.ServiceName, key ident.IdempotencyKey, body string) message.Message {
	f.n++
	actions := f.step(booking.Received{From: "e", Message: &message.Book{
		Request: ident.RequestID(string(rune('a' + f.n))), Key: message.KeyID{Account: account, Service: name, Key: key},
		Fingerprint: booking.Fingerprint("POST", "/book", []byte(body)), RemainingMS: 3000, Record: message.Digest{Revision: 1},
	}})
	must.Len(f.t, 1, actions)
	return actions[0].(booking.Reply).Message
}

// commit runs a reserved key and returns the result that the entry gets.
func (f *homeFixture) commit(m message.Message) message.BookResult {
	r, ok := m.(*message.Reserved)
	must.True(f.t, ok, must.Sprintf("%#v", m))
	actions := f.step(booking.Received{From: "e", Message: &message.BookCommit{Request: r.Request, Incarnation: r.Incarnation, Nonce: r.Nonce, RemainingMS: 1000}})
	run, ok := actions[0].(booking.Run)
	must.True(f.t, ok)
	actions = f.step(booking.CallFinished{Nonce: run.Nonce, Kind: outcome.Completed, Status: 201, Body: []byte("answer")})
	return *actions[0].(booking.Reply).Message.(*message.BookResult)
}

func (f *homeFixture) refused(m message.Message, kind outcome.Kind, reason outcome.Reason) {
	r, ok := m.(*message.BookResult)
	must.True(f.t, ok, must.Sprintf("%#v", m))
	must.Eq(f.t, kind, r.Kind)
	must.Eq(f.t, reason, r.Reason)
}

// Guards against two forms of one key being treated as different keys, and against
// different keys being treated as one.
func TestKeyForms(t *testing.T) {
	f := newHomeFixture(t, time.Time{})
	f.wait(20 * time.Second)
	key := keyAt(f.now, 1)
	first := f.commit(f.book("a", service, key, "x"))
	must.Eq(t, outcome.Completed, first.Kind)
	must.False(t, first.Replayed)

	upper := ident.IdempotencyKey(strings.ToUpper(string(key)))
	again, ok := f.book("a", service, upper, "x").(*message.BookResult)
	must.True(t, ok)
	must.True(t, again.Replayed)
	must.Eq(t, "answer", string(again.Body))

	f.refused(f.book("a", service, key, "other body"), outcome.NotRun, outcome.ReasonKeyReused)
	f.refused(f.book("a", service, keyAt(f.now.Add(6*time.Second), 2), "x"), outcome.NotRun, outcome.ReasonKeyFuture)
	f.refused(f.book("a", service, keyAt(f.now.Add(-30*time.Second), 3), "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	f.refused(f.book("a", service, "truck-17", "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	// The same key of another account or at another service is another key.
	must.False(t, f.commit(f.book("b", service, key, "x")).Replayed)
	must.False(t, f.commit(f.book("a", "other", key, "x")).Replayed)
}

// Guards against refusing opaque keys although the operator stated that no key was
// used before a time at which this process was already running, and against
// relying on a statement about a time before the process started.
func TestOpaqueKeys(t *testing.T) {
	vouched := newHomeFixture(t, epoch.Add(2*time.Second))
	vouched.wait(time.Second)
	vouched.refused(vouched.book("a", service, "truck-17", "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	vouched.wait(2 * time.Second)
	must.Eq(t, outcome.Completed, vouched.commit(vouched.book("a", service, "truck-17", "x")).Kind)

	young := newHomeFixture(t, epoch.Add(-time.Second))
	young.wait(time.Minute)
	young.refused(young.book("a", service, "truck-17", "x"), outcome.Unknown, outcome.ReasonKeyTooOld)
	young.wait(24 * time.Hour)
	must.Eq(t, outcome.Completed, young.commit(young.book("a", service, "truck-18", "x")).Kind)
}

// Guards against a commit that runs a key after its reservation has ended.
func TestLateCommitIsRefused(t *testing.T) {
	f := newHomeFixture(t, time.Time{})
	f.wait(20 * time.Second)
	r := f.book("a", service, keyAt(f.now, 1), "x").(*message.Reserved)
	f.wait(5*time.Second + time.Millisecond)
	commit := booking.Received{From: "e", Message: &message.BookCommit{Request: r.Request, Incarnation: r.Incarnation, Nonce: r.Nonce, RemainingMS: 1000}}
	actions := f.step(commit)
	must.Len(t, 1, actions)
	f.refused(actions[0].(booking.Reply).Message, outcome.NotRun, outcome.ReasonReservationExpired)
}

// Guards against a second run of a key whose first run has an unknown outcome.
func TestUnknownStaysUnknown(t *testing.T) {
	f := newHomeFixture(t, time.Time{})
	f.wait(20 * time.Second)
	key := keyAt(f.now, 1)
	r := f.book("a", service, key, "x").(*message.Reserved)
	run := f.step(booking.Received{From: "e", Message: &message.BookCommit{Request: r.Request, Incarnation: r.Incarnation, Nonce: r.Nonce, RemainingMS: 1000}})[0].(booking.Run)
	f.step(booking.CallFinished{Nonce: run.Nonce, Kind: outcome.Unknown, Reason: outcome.ReasonServerFailed})
	f.refused(f.book("a", service, key, "x"), outcome.Unknown, outcome.ReasonServerFailed)
}
