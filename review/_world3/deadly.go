package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0001"
	// restartTime is how long a crashed server is away.
	restartTime = 3 * time.Second
	groupSize   = 6
	// deadlyEvery is the number of requests of which one has the deadly part: a share of 0.029.
	deadlyEvery = 34
)

// playDeadly sends requests with a prompt part that crashes each server which begins to write
// an answer to them, beside sound ones.
func playDeadly(r *record, trouble bool) bool {
	folder := newFolder()
	defer os.RemoveAll(folder)
	s := newStore()
	s.configure(10, []string{"llm"}, route("ask", "streaming", "llm", 2, 8000))

	var mu sync.Mutex
	deadly := make(map[string]bool)
	var crashes []time.Time
	var reached []time.Time
	observe := func(e replicaEvent) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case e.Event == "crashed":
			crashes = append(crashes, e.At)
			r.printf("server %s crashes, crash %d, on request %s", e.Replica, len(crashes), e.Request)
		case e.Event == "reached" && deadly[e.Request]:
			reached = append(reached, e.At)
			r.printf("request %s with the deadly part reaches server %s", e.Request, e.Replica)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	stop := startServers(ctx, s, observe, groupSize, "-mode", "stream", "-deadly", deadlyPart)
	entries := []*entry{newEntry(), newEntry()}
	seeds := []string{entries[0].links, entries[1].links}
	for n, e := range entries {
		e.start(folder, fmt.Sprintf("front-%d", n+1), s.address, seeds)
	}
	r.printf("entries ready")
	time.Sleep(time.Second)

	client := newClient()
	served, sound := 0, 0
	send := func(n int, bad bool) {
		id := fmt.Sprintf("%016x", n)
		parts := fmt.Sprintf("aa%02x:40,%08x:%d", rand.IntN(8), n, 300)
		if bad {
			parts = fmt.Sprintf("aa%02x:40,%s:100,%08x:%d", rand.IntN(8), deadlyPart, n, 300)
			mu.Lock()
			deadly[id] = true
			mu.Unlock()
		}
		limited, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		request := newRequest(limited, "POST", entries[rand.IntN(len(entries))].clients, "/ask/a", id, 8000)
		request.Header.Set(names["parts"], parts)
		request.Header.Set(names["model"], "m")
		request.Header.Set(names["tokens"], "340,24")
		response, err := client.Do(request)
		status, events := 0, 0
		if err == nil {
			defer response.Body.Close()
			status = response.StatusCode
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "id:") {
					events++
				}
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if !bad {
			sound++
			if status == 200 && events == streamEvents {
				served++
			}
			return
		}
		r.printf("request %s with the deadly part got status %d and %d events", id, status, events)
	}
	const length = 34 * time.Second
	var clients sync.WaitGroup
	begin := time.Now()
	for n := 1; time.Since(begin) < length; n++ {
		clients.Add(1)
		since := time.Since(begin)
		bad := trouble && n%deadlyEvery == 0 && since > 3*time.Second && since < 23*time.Second
		go func() { defer clients.Done(); send(n, bad) }()
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	cancel()
	stop()
	mu.Lock()
	defer mu.Unlock()
	after := 0
	if len(crashes) >= 5 {
		for _, at := range reached {
			if at.Sub(crashes[4]) > contactTime {
				after++
			}
		}
		r.printf("the fifth crash was at %.3f s", crashes[4].Sub(r.begin).Seconds())
	}
	r.printf("%d of %d sound requests were served; %d crashes; %d requests with the deadly part reached servers later than %s after the fifth crash, 3 are allowed",
		served, sound, len(crashes), after, contactTime)
	return after > 3
}

// startServers starts servers that are started again some time after they crashed. The
// function that it returns waits until they are no longer watched.
func startServers(ctx context.Context, s *store, observe func(replicaEvent), count int, args ...string) (stop func()) {
	var servers sync.WaitGroup
	for n := range count {
		servers.Add(1)
		ready := make(chan struct{})
		go func() {
			defer servers.Done()
			listen := "127.0.0.1:0"
			for boot := 1; ; boot++ {
				one := startReplica(observe, fmt.Sprintf("i-%d-%d", n, boot), listen, args...)
				listen = one.address
				born := time.Now()
				sequence := 1
				one.register(s, "llm", "ready", born, sequence)
				if boot == 1 {
					close(ready)
				}
				for alive := true; alive; {
					select {
					case <-one.ended:
						alive = false
					case <-time.After(1200 * time.Millisecond):
						sequence++
						one.register(s, "llm", "ready", born, sequence)
					case <-ctx.Done():
						return
					}
				}
				select {
				case <-time.After(restartTime):
				case <-ctx.Done():
					return
				}
				s.remove("servers/" + one.id)
			}
		}()
		<-ready
	}
	return servers.Wait
}
