package load_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/load"
)

const scenario = `{
  "name": "test", "duration": "1s", "warmup": "100ms", "drain": "5s", "seed": 7,
  "target": {"addresses": ["http://127.0.0.1:1"]},
  "accounts": [{"id": "large", "key": "k1", "large": true}, {"id": "small", "key": "k2"}],
  "workloads": [
    {"name": "chat", "rate": 40, "model": "m", "output": {"min": 2, "max": 4}},
    {"name": "book", "rate": 10, "service": "ledger", "accounts": ["small"]},
  ],
}`

func parse(t *testing.T, text string) *load.Scenario {
	t.Helper()
	s, faults := load.ParseScenario("test", []byte(text))
	must.NoError(t, faults.Err())
	return s
}

// Guards against policies that cannot be compared because their runs have
// different arrivals.
func TestScheduleFollowsTheSeed(t *testing.T) {
	s := parse(t, scenario)
	first := load.Schedule(s)
	must.Eq(t, first, load.Schedule(s))
	must.Greater(t, 40, len(first))
	for i, a := range first {
		must.Eq(t, i, a.Number)
		must.Less(t, s.Duration, a.At)
	}
	s.Workloads = s.Workloads[:1]
	alone := load.Schedule(s)
	s.Seed++
	must.NotEq(t, alone, load.Schedule(s))
}

// Guards against mistakes in a scenario that go unreported or are reported for the
// wrong field.
func TestScenarioFaultsNameTheirPlace(t *testing.T) {
	_, faults := load.ParseScenario("test", []byte(`{"name": "x", "warmup": "30s", "target": {}, "faults": [{"at": "1s", "target": "a", "kind": "melt"}],
	  "accounts": [{"id": "a", "key": "k"}, {"id": "a", "key": "k"}],
	  "workloads": [{"name": "w", "rate": 0, "accounts": ["b"], "output": {"min": 5, "max": 2}, "from": "3s", "to": "2s"}]}`))
	for _, want := range []string{
		"target: give either", "warmup: 30s is not shorter", `accounts[1].id: account "a" is listed twice`, "faults: faults need",
		`faults[0].kind: "melt" is not one of`, "workloads[0]: give either", `workloads[0].accounts[0]: unknown account "b"`,
		"workloads[0].rate: 0 is less than", "workloads[0].output.max: 2 is less", "workloads[0].to: 2s is not after",
	} {
		must.StrContains(t, faults.Error(), want)
	}
}

// serve answers like an entry. Of every period streams, one is truncated, one skips
// an event and one is refused.
func serve(period int) http.Handler {
	n := 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/ledger/bookings", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Anvilpoint-Outcome", "completed")
		fmt.Fprint(w, "{}")
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, _ *http.Request) {
		n++
		switch {
		case n%period == 0:
			fmt.Fprint(w, "id: 1\ndata: {}\n\n")
		case n%period == 1:
			fmt.Fprint(w, "id: 1\ndata: {}\n\nid: 3\ndata: {}\n\ndata: [DONE]\n\n")
		case n%period == 2:
			w.Header().Set("Anvilpoint-Outcome", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"title": "Overloaded", "reason": "queue-full"}`)
		default:
			fmt.Fprint(w, "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n")
		}
	})
	// Handles one request at a time, so that the counter needs no lock.
	slot := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slot <- struct{}{}
		defer func() { <-slot }()
		mux.ServeHTTP(w, r)
	})
}

// Guards against counting truncated, out-of-order or refused responses as completed.
func TestRunTellsWholeAnswersFromOthers(t *testing.T) {
	s := parse(t, scenario)
	s.Warmup = 0
	server := httptest.NewServer(serve(4))
	defer server.Close()
	results, err := load.Run(context.Background(), s, load.Environment{Addresses: []string{server.URL}}, func(load.Progress) {})
	must.NoError(t, err)
	sum := load.Summarize(s, "test", results)
	interactive, bookings := sum.Classes[0], sum.Classes[3]
	must.Eq(t, interactive.Offered, interactive.Completed+interactive.NotRun+interactive.Broken)
	quarter := interactive.Offered / 4
	must.Between(t, quarter, interactive.NotRun, quarter+1)
	must.Between(t, 2*quarter, interactive.Broken, 2*quarter+2)
	must.Eq(t, bookings.Offered, bookings.Completed)
	must.Eq(t, "queue-full", sum.Reasons[0].Name)
	must.Between(t, 0.5, sum.Jain, 1)
	var page bytes.Buffer
	must.NoError(t, load.WriteReport(&page, s, []*load.Summary{sum}))
	must.StrContains(t, page.String(), "<polyline")
	must.NoError(t, load.WriteTable(&page, []*load.Summary{sum}))
}
