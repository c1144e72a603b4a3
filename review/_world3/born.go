package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// clockStep is by how much the time of day of a server's machine jumps back.
const clockStep = 2400 * time.Millisecond

// calmServers is the number of servers that nothing happens to.
const calmServers = 6

// playBorn starts a server, lets the time of day of its machine jump back, and lets it crash
// and start again under its id. Seconds later the server is drained. Clients come again once it
// has drained for longer than drainTime.
func playBorn(r *record, trouble bool) bool {
	folder := newFolder()
	defer os.RemoveAll(folder)
	s := newStore()
	s.configure(10, []string{"app"}, route("book", "unsafe", "app", 1, 2000))

	var mu sync.Mutex
	var ackedAt time.Time
	leaving := ""
	late, unanswered := 0, 0
	observe := func(e replicaEvent) {
		mu.Lock()
		defer mu.Unlock()
		if e.Event != "reached" || e.Replica != leaving {
			return
		}
		r.printf("request %s reaches server %s %.3f s after the ack that it is draining", e.Request, e.Replica, e.At.Sub(ackedAt).Seconds())
		if e.At.Sub(ackedAt) > drainTime {
			late++
		}
	}
	// listing is what a server writes to the store.
	type listing struct {
		*replica
		state    string
		born     time.Time
		sequence int
	}
	listed := make(map[string]*listing)
	write := func(l *listing) {
		l.sequence++
		l.register(s, "app", l.state, l.born, l.sequence)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			mu.Lock()
			for _, l := range listed {
				write(l)
			}
			mu.Unlock()
		}
	}()
	boot := func(id, listen, file string, born time.Time) *replica {
		one := startReplica(observe, id, listen, "-mode", "work", "-leaving-file", file)
		mu.Lock()
		defer mu.Unlock()
		listed[id] = &listing{replica: one, state: "ready", born: born}
		write(listed[id])
		return one
	}
	for n := range calmServers {
		boot(fmt.Sprintf("i-0-%d", n), "127.0.0.1:0", folder+"/never", time.Now())
	}
	e := newEntry()
	e.start(folder, "front-1", s.address, []string{e.links})
	r.printf("entry ready")
	client := newClient()
	var clients sync.WaitGroup
	n := 0
	send := func() {
		n++
		id := fmt.Sprintf("%016x", n)
		clients.Add(1)
		go func() {
			defer clients.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			response, err := client.Do(newRequest(ctx, "POST", e.clients, "/book/a", id, 2000))
			status := 0
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				status = response.StatusCode
			}
			if status != 200 {
				mu.Lock()
				defer mu.Unlock()
				unanswered++
				r.printf("request %s got status %d, error %v", id, status, err)
			}
		}()
	}
	for round := 1; round <= 3; round++ {
		id, file := fmt.Sprintf("i-%d", round), fmt.Sprintf("%s/leaving-%d", folder, round)
		first := time.Now()
		one := boot(id, "127.0.0.1:0", file, first)
		r.printf("server %s starts, born %d", id, first.UnixMilli())
		time.Sleep(500 * time.Millisecond)
		check(one.process.Process.Kill())
		<-one.ended
		time.Sleep(time.Second)
		born := time.Now()
		if trouble {
			born = born.Add(-clockStep)
		}
		one = boot(id, one.address, file, born)
		r.printf("server %s has crashed and starts again, born %d", id, born.UnixMilli())
		time.Sleep(3 * time.Second)
		for range 15 {
			send()
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		mu.Lock()
		check(os.WriteFile(file, nil, 0o600))
		listed[id].state = "draining"
		write(listed[id])
		ackedAt, leaving = time.Now(), id
		mu.Unlock()
		r.printf("the store acknowledges that server %s is draining", id)
		time.Sleep(drainTime + 500*time.Millisecond)
		for range 20 {
			send()
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		mu.Lock()
		delete(listed, id)
		s.remove("servers/" + id)
		mu.Unlock()
		_ = one.process.Process.Kill()
		r.printf("server %s has left", id)
		time.Sleep(3 * time.Second)
	}
	r.printf("%d requests reached a server later than %s after the ack that it is draining; %d of %d requests were not served", late, drainTime, unanswered, n)
	return late > 0
}
