package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

const (
	workerCount = 12
	// patience is how long a client waits for the end of an answer. The routes end each
	// request after two seconds.
	patience = 4 * time.Second
	// idleTime is how long a client keeps an idle connection. An entry that stops goes
	// on taking requests for longer, so that no request meets its close.
	idleTime = time.Second
)

var kinds = []string{"safe", "unsafe", "streaming"}

func kindOf(path string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return kind
}

// worker sends one request after the other until the context ends.
func (w *world) worker(ctx context.Context, number int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTime}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		e := w.entries[random.IntN(len(w.entries))]
		kind := kinds[random.IntN(len(kinds))]
		w.history.answered(w.ask(client, e, kind, fmt.Sprintf("%d-%d-%d", e.number, number, n)))
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// ask sends one request and returns what came back.
func (w *world) ask(client *http.Client, e *entry, kind, id string) result {
	method := http.MethodPost
	if kind == "safe" {
		method = http.MethodGet
	}
	x := result{id: id, kind: kind, entry: e.number, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.reached = true },
	})
	r := platformtest.NewRequest(w.t, method, e.listen, "own.example", "/"+kind+"/x", id, "key-1", "")
	response, err := client.Do(r.WithContext(ctx))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		x.status, x.sealed, x.body = response.StatusCode, platformtest.HasSeal(response.Header), string(body)
	}
	x.end, x.err = time.Now(), err
	return x
}
