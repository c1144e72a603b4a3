package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

// awaitQuarantine waits until the entry holds a prompt part.
func (f *fixture) awaitQuarantine() {
	f.t.Helper()
	f.awaitMetric("the entry knows of the crash", "anvilpoint_quarantined_prompt_parts 1")
}

// Guards against a prompt part that crashes one backend server after the other, by the
// request itself, by other requests, or through another entry, and against a refusal of
// sound requests with the same first part.
func TestPromptPartThatCrashedAServerIsNotSentAgain(t *testing.T) {
	replicas := []*platformtest.Replica{platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2"), platformtest.NewReplica(t, "i-3")}
	for _, r := range replicas {
		r.SetHandler(r.CrashOnPart("deadly"))
	}
	f := newFixture(t, replicas...)
	peer := f.startPeer()
	must.Eq(t, http.StatusOK, f.prompt("first", "last-1").status)
	must.Eq(t, http.StatusBadGateway, f.prompt("first", "deadly", "last-2").status)

	refused := f.prompt("first", "deadly", "last-3")
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.NotEq(t, "", refused.header.Get("Retry-After"))
	must.Eq(t, http.StatusOK, f.prompt("first", "last-4").status)

	peer.awaitQuarantine()
	must.Eq(t, http.StatusServiceUnavailable, peer.prompt("first", "deadly", "last-5").status)
	must.Eq(t, http.StatusOK, peer.prompt("first", "last-6").status)
	must.Eq(t, 1, countPart(replicas, "deadly"))
}

// Guards against a deadly part that is let through because of its place in a long prompt or
// the size of its id.
func TestDeadlyPartOfALongPromptIsNotSentAgain(t *testing.T) {
	long := "deadly-" + strings.Repeat("x", 100)
	replicas := []*platformtest.Replica{platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2"), platformtest.NewReplica(t, "i-3")}
	for _, r := range replicas {
		r.SetHandler(r.CrashOnPart(long))
	}
	f := newFixture(t, replicas...)
	var parts []string
	for n := range 60 {
		parts = append(parts, fmt.Sprint("turn-", n))
	}
	must.Eq(t, http.StatusOK, f.promptWithBody("body-1", append(parts, "last")...).status)
	must.Eq(t, http.StatusBadGateway, f.promptWithBody("body-2", append(parts, long, "last")...).status)
	must.Eq(t, http.StatusServiceUnavailable, f.promptWithBody("body-3", append(parts, long, "last")...).status)
	must.Eq(t, http.StatusOK, f.promptWithBody("body-4", append(parts, "last")...).status)
}

// Guards against the refusal of all requests with new shared parts that always come together,
// after one request that had a deadly part, too.
func TestNewSharedPartsAreServedAfterADeadlyRequest(t *testing.T) {
	replicas := []*platformtest.Replica{platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2"), platformtest.NewReplica(t, "i-3")}
	for _, r := range replicas {
		r.SetHandler(r.CrashOnPart("deadly"))
	}
	f := newFixture(t, replicas...)
	must.Eq(t, http.StatusBadGateway, f.prompt("instructions", "tools", "deadly", "last-1").status)
	must.Eq(t, http.StatusServiceUnavailable, f.prompt("instructions", "tools", "last-2").status)
	f.eventually("sound requests with the parts are served", func() bool {
		return f.prompt("instructions", "tools", "last-3").status == http.StatusOK
	})
	must.Eq(t, http.StatusServiceUnavailable, f.promptWithBody("another", "instructions", "tools", "deadly", "last").status)
	must.Eq(t, 1, countPart(replicas, "deadly"))
}

// countPart returns how many requests with the prompt part reached one of the replicas.
func countPart(replicas []*platformtest.Replica, part string) int {
	n := 0
	for _, r := range replicas {
		for _, one := range r.Received() {
			if one.HasPart(part) {
				n++
			}
		}
	}
	return n
}

// countBody returns how many requests with the body reached one of the replicas.
func countBody(replicas []*platformtest.Replica, body string) int {
	n := 0
	for _, r := range replicas {
		for _, one := range r.Received() {
			if one.Body == body {
				n++
			}
		}
	}
	return n
}

// Guards against a request that crashes one backend server after the other because its
// prompt parts are those of sound requests, and against a refusal of those.
func TestRequestThatCrashedAServerIsNotSentAgain(t *testing.T) {
	replicas := []*platformtest.Replica{platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2"), platformtest.NewReplica(t, "i-3")}
	for _, r := range replicas {
		r.SetHandler(r.CrashOnBody("deadly"))
	}
	f := newFixture(t, replicas...)
	peer := f.startPeer()
	must.Eq(t, http.StatusOK, f.promptWithBody("sound-1", "first", "last").status)
	must.Eq(t, http.StatusBadGateway, f.promptWithBody("deadly", "first", "last").status)

	refused := f.promptWithBody("deadly", "first", "last")
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.NotEq(t, "", refused.header.Get("Retry-After"))
	must.Eq(t, http.StatusOK, f.promptWithBody("sound-2", "first", "last").status)

	peer.awaitMetric("the other entry knows of the request", "anvilpoint_quarantined_requests 1")
	must.Eq(t, http.StatusServiceUnavailable, peer.promptWithBody("deadly", "first", "last").status)
	must.Eq(t, http.StatusOK, peer.promptWithBody("sound-3", "first", "last").status)
	must.Eq(t, 1, countBody(replicas, "deadly"))
}

// Guards against a read that takes down all servers of a plain service one after the other:
// its entry sends it on, and its caller sends it to another entry.
func TestReadThatCrashedAPlainServerIsNotSentAgain(t *testing.T) {
	replicas := []*platformtest.Replica{platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2"), platformtest.NewReplica(t, "i-3")}
	for _, r := range replicas {
		r.SetHandler(r.CrashOnTarget("/safe/deadly"))
	}
	f := newFixture(t, replicas...)
	peer := f.startPeer()
	must.Eq(t, http.StatusBadGateway, f.call(http.MethodGet, "/safe/deadly", key, "").status)
	must.Eq(t, http.StatusServiceUnavailable, f.call(http.MethodGet, "/safe/deadly", key, "").status)
	must.Eq(t, http.StatusOK, f.call(http.MethodGet, "/safe/sound", key, "").status)

	peer.awaitMetric("the other entry knows of the request", "anvilpoint_quarantined_requests 1")
	must.Eq(t, http.StatusServiceUnavailable, peer.call(http.MethodGet, "/safe/deadly", key, "").status)
	must.Eq(t, http.StatusOK, peer.call(http.MethodGet, "/safe/sound", key, "").status)
	deadly := 0
	for _, r := range replicas {
		for _, one := range r.Received() {
			if one.Target == "/safe/deadly" {
				deadly++
			}
		}
	}
	must.Eq(t, 1, deadly)
}

// Guards against an entry that starts after the crash and crashes the next server.
func TestEntryThatStartsLaterLearnsOfTheCrash(t *testing.T) {
	replicas := []*platformtest.Replica{platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2")}
	for _, r := range replicas {
		r.SetHandler(r.CrashOnPart("deadly"))
	}
	f := newFixture(t, replicas...)
	must.Eq(t, http.StatusBadGateway, f.prompt("deadly", "last-1").status)
	peer := f.startPeer()
	peer.awaitQuarantine()
	must.Eq(t, http.StatusServiceUnavailable, peer.prompt("deadly", "last-2").status)
}
