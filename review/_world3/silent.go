package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
)

// playSilent makes the open connections to the store go silent for good, now and then, and
// publishes a configuration half a second later that moves a route to another service.
func playSilent(r *record, trouble bool) bool {
	folder, err := os.MkdirTemp("", "world3-")
	check(err)
	defer os.RemoveAll(folder)
	s := newStore()
	p := newProxy(s.address)
	services := []string{"old", "new"}
	version, current := 10, 0
	publish := func() { s.configure(version, services, route("read", "safe", services[current], 2, 2000)) }
	publish()
	var replicas []*replica
	for _, name := range services {
		one := startReplica(func(replicaEvent) {}, "i-"+name, "127.0.0.1:0")
		one.register(s, name, "ready", time.Now(), 1)
		replicas = append(replicas, one)
	}
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			for i, one := range replicas {
				one.register(s, services[i], "ready", r.begin, sequence)
			}
		}
	}()
	e := newEntry()
	e.start(folder, "front-1", p.address, []string{e.links})
	r.printf("entry ready; version %d sends the route to service %s", version, services[current])

	var mu sync.Mutex
	var silentAt, ackedAt time.Time
	late, worst := 0, time.Duration(0)
	client := newClient()
	send := func(n int) {
		id := fmt.Sprintf("%016x", n)
		sent := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		response, err := client.Do(newRequest(ctx, "GET", e.clients, "/read/a", id, 1000))
		if err != nil {
			r.printf("request %s got no answer: %v", id, err)
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		mu.Lock()
		defer mu.Unlock()
		allowed := "i-" + services[current]
		switch {
		case response.StatusCode != 200 || strings.HasPrefix(string(body), allowed+" "):
		case sent.Sub(ackedAt) <= applyTime || sent.Sub(silentAt) <= contactTime:
		default:
			late++
			worst = max(worst, sent.Sub(ackedAt))
			r.printf("request %s, sent %.3f s after the silence and %.3f s after the ack of version %d, got %d and was run by %.20q", id,
				sent.Sub(silentAt).Seconds(), sent.Sub(ackedAt).Seconds(), version, response.StatusCode, body)
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
				clients.Add(1)
				go func() { defer clients.Done(); send(n) }()
			}
		}
	}()
	time.Sleep(4 * time.Second)
	for range 7 {
		mu.Lock()
		silentAt = time.Now()
		mu.Unlock()
		if trouble {
			r.printf("%d open connections to the store go silent", p.silence())
		}
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		version, current = version+3, 1-current
		publish()
		ackedAt = time.Now()
		r.printf("version %d is acknowledged; it sends the route to service %s", version, services[current])
		mu.Unlock()
		time.Sleep(9*time.Second + 100*time.Millisecond)
	}
	close(stop)
	clients.Wait()
	r.printf("%d requests were run by the old service, the last one sent %.3f s after the ack", late, worst.Seconds())
	return late > 0
}
