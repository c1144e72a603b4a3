package soak_test

import (
	"context"
	"fmt"
	"hash/fnv"
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
	// promptKinds is the number of first parts that prompts have.
	promptKinds = 7
	// clientTimeout is the timeout of a client for a whole answer. The routes end each
	// request after 2 s.
	clientTimeout = 4 * time.Second
	// idleTimeout is how long a client keeps an idle connection. An entry that drains
	// accepts requests for longer, so that no request is sent on a connection that it
	// has closed.
	idleTimeout = time.Second
)

// kinds are the kinds of requests, which are the first segments of their paths.
var kinds = []string{"safe", "unsafe", "streaming"}

func kindOf(path string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return kind
}

// worker is a client that sends one request after the other until the context ends.
func (c *cluster) worker(ctx context.Context, number int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTimeout}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		e := c.entries[random.IntN(len(c.entries))]
		kind := kinds[random.IntN(len(kinds))]
		c.recorder.answered(c.send(client, e, kind, fmt.Sprintf("%d-%d-%d", e.number, number, n)))
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// send sends one request and returns what the client saw of it.
func (c *cluster) send(client *http.Client, e *entry, kind, id string) result {
	return c.sendTo(client, e, kind, id, pathOf(kind, id))
}

// sendTo is send with the path of the request.
func (c *cluster) sendTo(client *http.Client, e *entry, kind, id, path string) result {
	method := http.MethodPost
	if kind == "safe" {
		method = http.MethodGet
	}
	x := result{id: id, kind: kind, entry: e.number, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.connected = true },
	})
	r := platformtest.NewRequest(c.t, method, e.listen, "own.example", path, id, "key-1", "")
	if kind == "streaming" {
		c.setPrompt(r, id)
	}
	response, err := client.Do(r.WithContext(ctx))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		x.status, x.sealed, x.body = response.StatusCode, platformtest.HasSeal(response.Header), string(body)
		if platformtest.AnnouncesLeaving(response.Header) {
			x.leaving = response.Header.Get(bootHeader)
		}
	}
	x.end, x.err = time.Now(), err
	return x
}

func hash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // A hash never returns an error.
	return h.Sum32()
}

// pathOf returns the path of a request. Every tenth read is the one that can crash servers.
func pathOf(kind, id string) string {
	if kind == "safe" && hash(id)%10 == 0 {
		return deadlyPath
	}
	return "/" + kind + "/x"
}

// setPrompt gives every request one of a few first parts, and every tenth the part that can
// crash servers.
func (c *cluster) setPrompt(r *http.Request, id string) {
	n := hash(id)
	parts := []string{fmt.Sprint("first-", n%promptKinds)}
	if n%10 == 0 {
		parts = append(parts, deadlyPart)
	}
	platformtest.SetPromptParts(r, append(parts, id)...)
}
