package clientcrowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

const (
	// bodyBytes is the size of the largest body that the operators allow.
	bodyBytes = 4 << 20
	// answerBytes is the size of the answers of the replicas to /safe/large, below the limit
	// of an answer.
	answerBytes = 1_900_000
	replicaHost = "own.example"
)

// hostedEntry is a gateway between a store and three replicas.
type hostedEntry struct {
	*process
	// address is where clients connect, ready where the platform asks for the readiness, and
	// metrics where operators read metrics.
	address, ready, metrics string
}

func startGateway(t *testing.T) *hostedEntry {
	t.Helper()
	store := platformtest.NewStore(t)
	store.Put(platform.ConfigurationKey, platformtest.ConfigDocument(1, "svc"))
	for n := range 3 {
		replica := platformtest.NewReplica(t, fmt.Sprint("replica-", n))
		replica.SetHandler(serveReplica)
		replica.Register(store, "svc", "ready")
	}
	a := freeAddresses(t, 4)
	settings := map[string]any{
		"role": "entry", "instance": "entry-0", "failure_domain": "z1", "listen": a[0], "ready_listen": a[1],
		"link_listen": a[2], "metrics_listen": a[3], "store": store.Address(), "grace": "6s", "log_level": "error",
	}
	if !*full {
		settings["limits"] = loweredLimits
	}
	data, err := json.Marshal(settings)
	must.NoError(t, err)
	e := &hostedEntry{process: startProgram(t, "gateway", data), address: a[0], ready: a[1], metrics: a[3]}
	e.waitUntil(t, "the entry is ready", func() bool { return isOK("http://" + a[1] + platform.ReadyPath) })
	return e
}

// serveReplica answers with 200 and a short body, with a long body or with a stream of
// long events, by the last element of the path.
func serveReplica(w http.ResponseWriter, r *http.Request) {
	platformtest.SetSeal(w)
	switch {
	case strings.HasSuffix(r.URL.Path, "/large"):
		_, _ = w.Write(bytes.Repeat([]byte("a"), answerBytes))
	case strings.HasSuffix(r.URL.Path, "/events"):
		w.Header().Set("Content-Type", "text/event-stream")
		data := strings.Repeat("e", 200_000)
		for n := 1; n <= 50; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
		}
	default:
		_, _ = io.WriteString(w, "done")
	}
}

func isOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil checks the condition 600 times at intervals of 50 ms, and ends the test if it is
// never met or the process ends.
func (p *process) waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 600 {
		if condition() {
			return
		}
		select {
		case <-p.ended:
			t.Fatalf("the process has ended: %v", p.command.ProcessState)
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Fatalf("condition not met after 600 checks: %s", what)
}

// checkServes fails the test unless an ordinary request is answered by a replica.
func (e *hostedEntry) checkServes(t *testing.T) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	attempt := 0
	e.waitUntil(t, "an ordinary request is answered", func() bool {
		attempt++
		r := platformtest.NewRequest(t, http.MethodPost, e.address, replicaHost, "/safe/ordinary", fmt.Sprint("ordinary-", attempt), "key-1", "hello")
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return err == nil && response.StatusCode == http.StatusOK && string(body) == "done"
	})
}

// hostedTarget returns a request that the gateway allows.
func hostedTarget(method, path string) target {
	return target{method: method, path: path, host: replicaHost, fields: headerLines(method, path)}
}

// headerLines returns the header lines of a client's request, each with its line break.
func headerLines(method, path string) string {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+replicaHost+path, nil)
	if err != nil {
		panic(err)
	}
	platformtest.SetClientHeader(r, "crowd", "key-1")
	var b strings.Builder
	if err := r.Header.Write(&b); err != nil {
		panic(err)
	}
	return b.String()
}

// Guards against clients that take an entry over the memory or the descriptors of its
// instance, or keep it from serving others.
func TestGatewayWithstandsCrowds(t *testing.T) {
	post, get := hostedTarget(http.MethodPost, "/unsafe/a"), hostedTarget(http.MethodGet, "/safe/a")
	for _, c := range []struct {
		name    string
		clients int
		behave  client
	}{
		{"a header line without end", 200, endlessLine(get)},
		{"a header line of a megabyte", 120, longHead(get)},
		{"header lines without end", 24, endlessLines(get)},
		{"many short lines and no body", 400, manyLines(post)},
		{"many short lines without end of the head", 400, slowManyLines(post)},
		{"empty lines without end", 24, emptyLines},
		{"bodies that stop short", 32, stoppingBody(post, bodyBytes)},
		{"bodies in long chunks that stop short", 32, stoppingChunks(post, bodyBytes, 64<<10)},
		{"bodies in short chunks that stop short", 32, stoppingChunks(post, bodyBytes, 512)},
		{"whole bodies", 48, wholeBodies(post, bodyBytes)},
		{"whole bodies for repeatable calls", 48, wholeBodies(hostedTarget(http.MethodPost, "/safe/a"), bodyBytes)},
		{"connections that send nothing", 1500, silent},
		{"answers that are not read", 200, unreadAnswer(hostedTarget(http.MethodGet, "/safe/large"))},
		{"streams that are not read", 200, unreadAnswer(hostedTarget(http.MethodGet, "/streaming/events"))},
		{"pipelined requests", 100, pipelined(get)},
		{"trailers without end", 24, endlessTrailers(post)},
		{"a chunk extension without end", 24, longExtension(post)},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startGateway(t)
			press(e.address, crowdSize(c.clients), c.behave)
			e.checkServes(t)
			e.check(t)
		})
	}
}

// Guards against connections to the other listeners of an entry that take its descriptors or
// its memory.
func TestGatewayWithstandsCrowdsAtOtherListeners(t *testing.T) {
	for _, c := range []struct {
		name    string
		clients int
		behave  client
	}{
		{"connections that send nothing", 1500, silent},
		{"header lines without end", 24, endlessLines(target{method: http.MethodGet, path: platform.ReadyPath, host: replicaHost})},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startGateway(t)
			for _, address := range []string{e.ready, e.metrics} {
				press(address, crowdSize(c.clients), c.behave)
			}
			e.waitUntil(t, "the entry answers that it is ready", func() bool { return isOK("http://" + e.ready + platform.ReadyPath) })
			e.checkServes(t)
			e.check(t)
		})
	}
}
