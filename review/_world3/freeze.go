package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// playFreeze freezes an entry for some seconds while a backend server crashes in the middle of
// an answer that ends with its connection. The server is back before the entry wakes.
func playFreeze(r *record, trouble bool) bool {
	folder, err := os.MkdirTemp("", "world3-")
	check(err)
	defer os.RemoveAll(folder)
	s := newStore()
	s.configure(10, []string{"app"}, route("book", "unsafe", "app", 1, 8000))
	half := make(chan string, 1)
	observe := func(e replicaEvent) {
		r.printf("server %s: %s %s", e.Replica, e.Event, e.Request)
		if e.Event == "half" {
			half <- e.Request
		}
	}
	one := startReplica(observe, "i-1", "127.0.0.1:0", "-mode", "unframed")
	var born, sequence atomic.Int64
	born.Store(time.Now().UnixMilli())
	register := func() {
		one.register(s, "app", "ready", time.UnixMilli(born.Load()), int(sequence.Add(1)))
	}
	register()
	e := newEntry()
	e.start(folder, "front-1", s.address, []string{e.links})
	r.printf("entry ready")
	time.Sleep(2 * time.Second)
	broken := false
	for n := 1; n <= 3; n++ {
		id := fmt.Sprintf("%016x", n)
		type result struct {
			status int
			seal   string
			body   string
			err    error
		}
		done := make(chan result, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			r.printf("request %s sent", id)
			response, err := newClient().Do(newRequest(ctx, "POST", e.clients, "/book/a", id, 8000))
			if err != nil {
				done <- result{err: err}
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			done <- result{response.StatusCode, response.Header.Get(names["seal"]), string(body), err}
		}()
		<-half
		if trouble {
			check(e.process.Process.Signal(syscall.SIGSTOP))
			r.printf("the entry freezes")
			check(one.process.Process.Kill())
			<-one.ended
			r.printf("server %s crashes", one.id)
			s.remove("servers/" + one.id)
			time.Sleep(1500 * time.Millisecond)
			one = startReplica(observe, fmt.Sprintf("i-%d", n+1), one.address, "-mode", "unframed")
			born.Store(time.Now().UnixMilli())
			sequence.Store(0)
			register()
			r.printf("server %s is back as %s", fmt.Sprintf("i-%d", n), one.id)
			time.Sleep(time.Second)
			check(e.process.Process.Signal(syscall.SIGCONT))
			r.printf("the entry wakes")
		}
		got := <-done
		whole := unframedBody(id)
		switch {
		case got.err != nil:
			r.printf("request %s got no whole answer: %v", id, got.err)
		case got.status >= 200 && got.status < 300 && got.body != whole:
			broken = true
			r.printf("request %s got %d with the signature %q and %d of the %d bytes of the server's body, as a whole answer", id, got.status, got.seal, len(got.body), len(whole))
		default:
			r.printf("request %s got %d with %d bytes", id, got.status, len(got.body))
		}
		time.Sleep(4 * time.Second)
	}
	return broken
}
