package clientcrowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// ownEntry is an entry of the product's own interface before a sidecar and its service.
type ownEntry struct {
	*process
	address string
}

func startEntry(t *testing.T) *ownEntry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	service := httptest.NewServer(http.HandlerFunc(serveCall))
	t.Cleanup(service.Close)
	// A stream is larger than the credit of its reader.
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 400, Padding: strings.Repeat("p", 4<<10), Slots: 1024})
	t.Cleanup(engine.Close)
	backends := []e2etest.Backend{
		{Server: "logbook-0", Kind: "service", URL: service.URL}, {Server: "engine-0", Kind: "engine", URL: engine.URL},
	}
	cluster, addresses, err := e2etest.NewCluster(ctx, e2etest.Config{Backends: backends, Logger: zerolog.Nop()})
	must.NoError(t, err)
	t.Cleanup(cluster.Close)
	for n, b := range backends {
		sidecar, err := cluster.StartSidecar(b, addresses[n])
		must.NoError(t, err)
		t.Cleanup(func() {
			sidecar.Kill()
			<-sidecar.Done
		})
	}
	s, err := cluster.Settings(message.RoleEntry, "entry-0", "")
	must.NoError(t, err)
	settings := map[string]any{
		"role": "entry", "instance": "entry-0", "failure_domain": "d", "listen": s.Listen, "link_listen": s.LinkListen,
		"operations": s.Operations, "config_service": s.ConfigService, "instance_list": s.InstanceList, "log_level": "error",
		"events": "", "tls": map[string]any{"plain_text": true}, "max_body_bytes": 3 << 20,
	}
	if !*full {
		settings["limits"] = loweredLimits
	}
	data, err := json.Marshal(settings)
	must.NoError(t, err)
	e := &ownEntry{process: startProgram(t, "entry", data), address: s.Listen}
	e.waitUntil(t, "the entry is ready", func() bool { return isOK("http://" + s.Operations + "/readyz") })
	return e
}

// serveCall answers with a short body, or with a long one by the last element of the path.
func serveCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if strings.HasSuffix(r.URL.Path, "/large") {
		_, _ = w.Write(bytes.Repeat([]byte("a"), answerBytes))
		return
	}
	_, _ = io.WriteString(w, "done")
}

// unreadStream asks for a completion as a stream and does not read it.
func unreadStream(t target) client {
	return func(ctx context.Context, connection net.Conn) {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		body := string(e2etest.Completion(true))
		if write(connection, t.begin(), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)) {
			holdUnread(ctx)
		}
	}
}

// checkServes fails the test unless an ordinary call of the service is answered.
func (e *ownEntry) checkServes(t *testing.T) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	e.waitUntil(t, "an ordinary call is answered", func() bool {
		r, err := e2etest.Request(context.Background(), http.MethodGet, "http://"+e.address+"/v1/services/logbook/a", e2etest.AccountKey, nil)
		must.NoError(t, err)
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// ownTarget returns a request that the entry allows.
func ownTarget(method, path string) target {
	return target{method: method, path: path, host: "entry.example", fields: "Authorization: Bearer " + e2etest.AccountKey + "\r\n"}
}

// Guards against clients that take an entry of the product's own interface over the memory
// or the descriptors of its instance, or keep it from serving others.
func TestEntryWithstandsCrowds(t *testing.T) {
	const entryBodyBytes = 3 << 20
	get := ownTarget(http.MethodGet, "/v1/services/logbook/a")
	booking := ownTarget(http.MethodPost, "/v1/services/logbook/b")
	booking.fields += "Idempotency-Key: k\r\n"
	completion := ownTarget(http.MethodPost, "/v1/chat/completions")
	for _, c := range []struct {
		name    string
		clients int
		behave  client
	}{
		{"a header line without end", 200, endlessLine(get)},
		{"header lines without end", 24, endlessLines(get)},
		{"many short lines and no body", 400, manyLines(booking)},
		{"bodies that stop short", 40, stoppingBody(booking, entryBodyBytes)},
		{"bodies in chunks that stop short", 40, stoppingChunks(completion, entryBodyBytes, 64<<10)},
		{"whole bodies", 48, wholeBodies(booking, entryBodyBytes)},
		{"whole bodies that are no completion", 48, wholeBodies(completion, entryBodyBytes)},
		{"connections that send nothing", 1500, silent},
		{"pipelined requests", 100, pipelined(get)},
		{"answers that are not read", 490, unreadAnswer(ownTarget(http.MethodGet, "/v1/services/logbook/large"))},
		{"streams that are not read", 490, unreadStream(completion)},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t)
			press(e.address, crowdSize(c.clients), c.behave)
			e.checkServes(t)
			e.check(t)
		})
	}
}
