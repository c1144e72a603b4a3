package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// lingerTime is how long a server that leaves serves beyond drainTime.
	lingerTime = 1500 * time.Millisecond
	// serverCount is the number of servers, of which one leaves at a time.
	serverCount = 8
)

// playDrain makes the open connections to the store go silent. A third of a second later a
// server leaves: its list entry is removed, it serves for drainTime and a little longer, says
// in all its answers that it is leaving, and exits. Clients come again once the entry has been
// in touch for contactTime.
func playDrain(r *record, trouble bool) bool {
	folder := newFolder()
	defer os.RemoveAll(folder)
	s := newStore()
	p := newProxy(s.address)
	s.configure(10, []string{"app"}, route("book", "unsafe", "app", 1, 2000))

	var mu sync.Mutex
	var silentAt, ackedAt time.Time
	leaving := ""
	sentAt := make(map[string]time.Time)
	late, unanswered := 0, 0
	observe := func(e replicaEvent) {
		mu.Lock()
		defer mu.Unlock()
		if e.Event != "reached" || e.Replica != leaving {
			return
		}
		sent := sentAt[e.Request]
		r.printf("request %s, sent %.3f s after the silence, reaches server %s %.3f s after the ack of its leaving", e.Request,
			sent.Sub(silentAt).Seconds(), e.Replica, e.At.Sub(ackedAt).Seconds())
		if sent.Sub(silentAt) > contactTime && e.At.Sub(ackedAt) > drainTime {
			late++
		}
	}
	args := []string{"-mode", "work", "-leaving-file"}
	var listed sync.Map
	boots := 0
	boot := func() (*replica, string) {
		boots++
		file := fmt.Sprintf("%s/leaving-%d", folder, boots)
		one := startReplica(observe, fmt.Sprintf("i-%d", boots), "127.0.0.1:0", append(args, file)...)
		listed.Store(one, time.Now())
		one.register(s, "app", "ready", time.Now(), 1)
		return one, file
	}
	type server struct {
		*replica
		file string
	}
	var servers []server
	for range serverCount {
		one, file := boot()
		servers = append(servers, server{one, file})
	}
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			mu.Lock()
			listed.Range(func(key, born any) bool {
				key.(*replica).register(s, "app", "ready", born.(time.Time), sequence)
				return true
			})
			mu.Unlock()
		}
	}()
	e := newEntry()
	e.start(folder, "front-1", p.address, []string{e.links})
	r.printf("entry ready")
	client := newClient()
	var clients sync.WaitGroup
	n := 0
	send := func() {
		n++
		id := fmt.Sprintf("%016x", n)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
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
				unanswered++
				mu.Unlock()
				r.printf("request %s got status %d, error %v", id, status, err)
			}
		}()
	}
	for range 5 {
		for range 20 {
			send()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		s.awaitWatch()
		mu.Lock()
		silentAt = time.Now()
		mu.Unlock()
		if trouble {
			r.printf("%d open connections to the store go silent", p.silence())
		}
		time.Sleep(300 * time.Millisecond)
		mu.Lock()
		gone := servers[0]
		listed.Delete(gone.replica)
		check(os.WriteFile(gone.file, nil, 0o600))
		s.remove("servers/" + gone.id)
		ackedAt, leaving = time.Now(), gone.id
		mu.Unlock()
		r.printf("the store acknowledges that server %s leaves", gone.id)
		time.AfterFunc(drainTime+lingerTime, func() {
			r.printf("server %s exits", gone.id)
			_ = gone.process.Process.Kill()
		})
		time.Sleep(time.Until(silentAt.Add(contactTime + 50*time.Millisecond)))
		for time.Since(silentAt) < 6*time.Second {
			send()
			time.Sleep(100 * time.Millisecond)
		}
		clients.Wait()
		one, file := boot()
		servers = append(servers[1:], server{one, file})
		time.Sleep(2 * time.Second)
	}
	r.printf("%d requests reached a server later than %s after the ack of its leaving; %d of %d requests were not served", late, drainTime, unanswered, n)
	return late > 0
}
