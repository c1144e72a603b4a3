package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/internal/standin/dev"
)

// echoProgram is run in place of an entry or a sidecar. It answers HTTP requests with the
// name of its instance.
func echoProgram(ctx context.Context, o dev.ProcessOptions) error {
	address := o.Settings.Listen
	if address == "" {
		address = o.Settings.LinkListen
	}
	listener, err := o.Network.Listen(ctx, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		done <- standin.Serve(ctx, listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, string(o.Settings.Instance))
		}))
	}()
	o.Ready()
	select {
	case <-ctx.Done():
	case <-o.Kill:
		cancel()
	case err := <-done:
		return err
	}
	return <-done
}

// start runs a small installation until the test ends.
func start(t *testing.T, change func(*dev.Options)) *dev.Cluster {
	t.Helper()
	o := dev.Defaults()
	o.Listen, o.Admin = "127.0.0.1:0", "127.0.0.1:0"
	o.Entries, o.Replicas, o.Services, o.Domains = 2, 2, 1, dev.DomainNames(2)
	o.Programs = dev.Programs{Entry: echoProgram, Sidecar: echoProgram}
	o.InstanceLag = time.Millisecond
	change(&o)
	c, err := dev.New(o)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-ended)
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	select {
	case <-c.Ready():
	case err := <-ended:
		ended <- err
		t.Fatal("the installation ended before it was ready: ", err)
	}
	return c
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response.StatusCode, string(text)
}

func fault(t *testing.T, c *dev.Cluster, f dev.Fault) {
	t.Helper()
	body, err := json.Marshal(f)
	must.NoError(t, err)
	status, text := call(t, http.MethodPost, c.AdminURL()+"/faults", string(body))
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
}

func instance(t *testing.T, c *dev.Cluster, name string) dev.Instance {
	t.Helper()
	_, text := call(t, http.MethodGet, c.AdminURL()+"/instances", "")
	var list []dev.Instance
	must.NoError(t, json.Unmarshal([]byte(text), &list))
	for _, i := range list {
		if i.Name == name {
			return i
		}
	}
	t.Fatalf("no instance %s in %s", name, text)
	return dev.Instance{}
}

// await waits until a process is in a state and returns it.
func await(t *testing.T, c *dev.Cluster, name, state string) dev.Instance {
	t.Helper()
	for {
		if i := instance(t, c, name); i.State == state {
			return i
		}
		time.Sleep(time.Millisecond)
	}
}

// answers reports whether an address answers a request on a new connection within 100 ms.
func answers(t *testing.T, address string) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	must.NoError(t, err)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

// Guards against a crash, restart or pause that has no effect, does not end after its time,
// or cannot be healed.
func TestProcessFaults(t *testing.T) {
	c := start(t, func(*dev.Options) {})
	entry := instance(t, c, "entry-1")
	must.Eq(t, "domain-1", entry.Domain)
	must.True(t, answers(t, entry.Address))

	fault(t, c, dev.Fault{Target: "entry-1", Kind: "crash"})
	await(t, c, "entry-1", "crashed")
	must.False(t, answers(t, entry.Address))
	fault(t, c, dev.Fault{Target: "entry-1", Kind: "heal"})
	must.Eq(t, uint64(2), await(t, c, "entry-1", "live").Starts)
	must.True(t, answers(t, entry.Address))

	fault(t, c, dev.Fault{Target: "replica-0", Kind: "crash", Seconds: 0.05})
	await(t, c, "replica-0", "live")
	must.Eq(t, uint64(2), instance(t, c, "replica-0").Starts)

	fault(t, c, dev.Fault{Target: "sidecar-replica-0", Kind: "restart"})
	must.Eq(t, uint64(2), await(t, c, "sidecar-replica-0", "live").Starts)

	fault(t, c, dev.Fault{Target: "entry-1", Kind: "pause"})
	must.False(t, answers(t, entry.Address))
	must.Eq(t, []string{"pause"}, instance(t, c, "entry-1").Faults)
	fault(t, c, dev.Fault{Target: "all", Kind: "heal"})
	must.True(t, answers(t, entry.Address))
}

// Guards against a leaving instance that only the instance list shows as leaving and not
// its engine, or whose sidecar does not leave with it, and against a slow fault without
// effect.
func TestLeaveAndSlow(t *testing.T) {
	c := start(t, func(*dev.Options) {})
	fault(t, c, dev.Fault{Target: "sidecar-replica-1", Kind: "leave"})
	must.Eq(t, "leaving", instance(t, c, "replica-1").State)
	must.Eq(t, "leaving", instance(t, c, "sidecar-replica-1").State)
	_, text := call(t, http.MethodGet, c.AdminURL()+"/truth/engines", "")
	must.StrContains(t, text, `"server":"replica-1","role":"serve","models":[{"name":"assistant","version":"v1","adapters":[]}],"leaving":true`)
	fault(t, c, dev.Fault{Target: "sidecar-replica-1", Kind: "restart"})
	must.Eq(t, "leaving", await(t, c, "sidecar-replica-1", "leaving").State)

	engine := "http://" + instance(t, c, "replica-0").Address + "/v1/chat/completions"
	took := func() time.Duration {
		began := time.Now()
		status, _ := call(t, http.MethodPost, engine, `{"model":"assistant","messages":[{"role":"user","content":"x"}],"max_tokens":4}`)
		must.Eq(t, http.StatusOK, status)
		return time.Since(began)
	}
	fault(t, c, dev.Fault{Target: "replica-0", Kind: "slow", Factor: 20})
	// Four steps of 20 ms, each slowed by a factor of 20.
	must.GreaterEq(t, 1600*time.Millisecond, took())
	fault(t, c, dev.Fault{Target: "replica-0", Kind: "heal"})
}

// Guards against a partition that does not separate the failure domains, that separates
// processes in the same one, or that cannot be healed.
func TestPartition(t *testing.T) {
	reach := make(chan func(string) bool, 1)
	c := start(t, func(o *dev.Options) {
		o.Entries = 1
		o.Programs.Entry = func(ctx context.Context, p dev.ProcessOptions) error {
			reach <- func(address string) bool {
				short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				conn, err := p.Network.Dial(short, address)
				return err == nil && conn.Close() == nil
			}
			return echoProgram(ctx, p)
		}
	})
	entryReaches := <-reach
	near, far := instance(t, c, "sidecar-replica-0").Address, instance(t, c, "sidecar-replica-1").Address
	must.True(t, entryReaches(near))
	must.True(t, entryReaches(far))
	fault(t, c, dev.Fault{Target: "domain-1", Kind: "partition"})
	must.True(t, entryReaches(near))
	must.False(t, entryReaches(far))
	fault(t, c, dev.Fault{Target: "domain-1", Kind: "heal"})
	must.True(t, entryReaches(far))
}

// Guards against a record that is published with an old revision or without its addresses
// being replaced, and against a refusal that does not name the faults.
func TestPublish(t *testing.T) {
	c := start(t, func(*dev.Options) {})
	put := func(body, query string) (int, string) {
		return call(t, http.MethodPut, c.AdminURL()+"/record"+query, body)
	}
	record, err := dev.DemoRecord(func() dev.Options {
		o := dev.Defaults()
		o.Entries, o.Replicas, o.Services, o.Domains = 2, 2, 1, dev.DomainNames(2)
		return o
	}(), time.Time{})
	must.NoError(t, err)
	status, text := put(string(record), "")
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
	must.StrContains(t, text, `"revision":2,"readdressed":["replica-0","replica-1","service-0"]`)
	_, stored := call(t, http.MethodGet, c.AdminURL()+"/record", "")
	must.StrContains(t, stored, instance(t, c, "sidecar-service-0").Address)
	status, text = put(stored, "")
	must.Eq(t, http.StatusConflict, status)
	must.StrContains(t, text, "greater than 2")
	status, text = put(strings.Replace(stored, `"revision":`, `"revision":9,"colour":`, 1), "")
	must.Eq(t, http.StatusUnprocessableEntity, status)
	must.StrContains(t, text, "colour")
	status, text = put(strings.Replace(stored, `"revision":`, `"revision":9,"colour":`, 1), "?force=true")
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, text, `"forced":true`)
	status, _ = put(strings.Replace(stored, `"revision":2`, `"revision":8`, 1), "")
	must.Eq(t, http.StatusConflict, status)
	status, _ = put("not JSON", "")
	must.Eq(t, http.StatusUnprocessableEntity, status)
}

// Guards against faults of the configuration service that have no effect, do not end after
// their time, or keep operators from publishing.
func TestConfigFaults(t *testing.T) {
	c := start(t, func(*dev.Options) {})
	_, record := call(t, http.MethodGet, c.AdminURL()+"/record", "")
	fault(t, c, dev.Fault{Target: "config", Kind: "config-down"})
	_, text := call(t, http.MethodGet, c.AdminURL()+"/truth/config", "")
	must.StrContains(t, text, `"state":"down"`)
	status, _ := call(t, http.MethodPut, c.AdminURL()+"/record", strings.Replace(record, `"revision":1`, `"revision":2`, 1))
	must.Eq(t, http.StatusOK, status)
	fault(t, c, dev.Fault{Target: "config", Kind: "config-stale", Seconds: 0.02})
	for strings.Contains(text, "down") || strings.Contains(text, "stale") {
		_, text = call(t, http.MethodGet, c.AdminURL()+"/truth/config", "")
	}
	must.StrContains(t, text, `"state":"serving"`)
}

// Guards against invalid faults that are accepted or refused without the valid values.
func TestInvalidFaults(t *testing.T) {
	c := start(t, func(*dev.Options) {})
	for body, want := range map[string]string{
		`{"target":"entry-7","kind":"crash"}`:                          "sidecar-service-0",
		`{"target":"entry-0","kind":"melt"}`:                           "config-stale",
		`{"target":"entry-0","kind":"config-down"}`:                    `"valid":["config"]`,
		`{"target":"domain-0","kind":"pause"}`:                         "entry-0",
		`{"target":"domain-0","kind":"partition","peer":"nowhere"}`:    "domain-1",
		`{"target":"domain-0","kind":"partition","direction":"north"}`: "out",
		`{"target":"entry-0","kind":"pause","seconds":-1}`:             "seconds",
		`{"target":"entry-0","kind":"pause","minutes":1}`:              "minutes",
	} {
		status, text := call(t, http.MethodPost, c.AdminURL()+"/faults", body)
		must.Eq(t, http.StatusBadRequest, status, must.Sprint(body))
		must.StrContains(t, text, want)
	}
}

// Guards against invalid options that are accepted, and against a port in use that is
// noticed only after New.
func TestNewRefuses(t *testing.T) {
	for _, change := range []func(*dev.Options){
		func(o *dev.Options) { o.Entries = 0 },
		func(o *dev.Options) { o.Replicas = -1 },
		func(o *dev.Options) { o.Services = dev.MaxServices + 1 },
		func(o *dev.Options) { o.Domains = nil },
		func(o *dev.Options) { o.Listen = "localhost:8080" },
	} {
		o := dev.Defaults()
		change(&o)
		must.Error(t, o.Validate())
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = taken.Close() }()
	o := dev.Defaults()
	o.Admin, o.Listen, o.Entries = "127.0.0.1:0", taken.Addr().String(), 1
	_, err = dev.New(o)
	must.ErrorContains(t, err, "address already in use")
	o.Listen, o.Admin = "127.0.0.1:0", taken.Addr().String()
	_, err = dev.New(o)
	must.ErrorContains(t, err, "address already in use")
}

// Guards against an installation that takes a panic of a process for an orderly end, or
// that cannot be stopped after one.
func TestPanic(t *testing.T) {
	o := dev.Defaults()
	o.Listen, o.Admin = "127.0.0.1:0", "127.0.0.1:0"
	o.Entries, o.Replicas, o.Services, o.Domains = 1, 1, 1, dev.DomainNames(1)
	o.Programs = dev.Programs{Entry: echoProgram, Sidecar: func(context.Context, dev.ProcessOptions) error { panic("broken") }}
	o.Events = new(bytes.Buffer)
	c, err := dev.New(o)
	must.NoError(t, err)
	must.ErrorContains(t, c.Run(t.Context()), "panicked")
	goleak.VerifyNone(t)
}
