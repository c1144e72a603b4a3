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
	maxRounds = 4
	// oldPart and newPart are the parts that all prompts share before and after the change of
	// the clients' instructions.
	oldPart, newPart = "aa000001", "bb000002"
	// pressed is the number of requests with the deadly part that come at once at the change,
	// with as many sound ones.
	pressed = 24
)

// playNewPart plays up to maxRounds rounds, each with new servers and entries, until one breaks
// the rule.
func playNewPart(r *record, trouble bool) bool {
	for range maxRounds {
		if playNewPartRound(r, trouble) {
			return true
		}
		endAll()
	}
	return false
}

// playNewPartRound lets the clients of one key change the part that all their prompts share.
// The first requests with the new part include some with a deadly part, at several servers.
func playNewPartRound(r *record, trouble bool) bool {
	folder := newFolder()
	defer os.RemoveAll(folder)
	s := newStore()
	s.configureWith(10, []string{"llm"}, []any{map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}}}, route("ask", "streaming", "llm", 2, 8000))

	var mu sync.Mutex
	deadly := make(map[string]bool)
	var crashes []time.Time
	begun := make(map[string]bool)
	observe := func(e replicaEvent) {
		mu.Lock()
		defer mu.Unlock()
		switch e.Event {
		case "crashed":
			crashes = append(crashes, e.At)
			r.printf("server %s crashes, crash %d, on request %s", e.Replica, len(crashes), e.Request)
		case "begun":
			begun[e.Request] = true
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := startServers(ctx, s, observe, 8, "-mode", "stream", "-deadly", deadlyPart, "-deadly-early", "-first-ms", "90")
	entries := []*entry{newEntry(), newEntry(), newEntry()}
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, e.links)
	}
	for n, e := range entries {
		e.start(folder, fmt.Sprintf("front-%d", n+1), s.address, seeds)
	}
	r.printf("entries ready")
	time.Sleep(4 * time.Second)

	client := newClient()
	type sent struct {
		at     time.Time
		id     string
		status int
	}
	var sound []*sent
	send := func(n int, shared string, bad bool) {
		one := &sent{at: time.Now(), id: fmt.Sprintf("%016x", n)}
		parts := fmt.Sprintf("%s:40,%08x:%d", shared, n, 300)
		if bad {
			parts = fmt.Sprintf("%s:40,%s:100,%08x:%d", shared, deadlyPart, n, 300)
		}
		mu.Lock()
		if bad {
			deadly[one.id] = true
		} else {
			sound = append(sound, one)
		}
		mu.Unlock()
		limited, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		request := newRequest(limited, "POST", entries[rand.IntN(len(entries))].clients, "/ask/a", one.id, 8000)
		request.Header.Set(names["parts"], parts)
		request.Header.Set(names["model"], "m")
		request.Header.Set(names["tokens"], "340,24")
		request.Header.Set(names["clientkey"], "key-1")
		response, err := client.Do(request)
		if err != nil {
			return
		}
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() && !strings.HasPrefix(lines.Text(), "never") {
		}
		mu.Lock()
		defer mu.Unlock()
		one.status = response.StatusCode
		if bad {
			r.printf("request %s with the deadly part got status %d", one.id, one.status)
		}
	}
	var clients sync.WaitGroup
	n := 0
	spawn := func(shared string, bad bool) {
		n++
		clients.Add(1)
		go func(n int) { defer clients.Done(); send(n, shared, bad) }(n)
	}
	begin := time.Now()
	for time.Since(begin) < 4*time.Second {
		spawn(oldPart, false)
		time.Sleep(15 * time.Millisecond)
	}
	change := time.Now()
	r.printf("the clients change the part that their prompts share")
	for i := range 2 * pressed {
		spawn(newPart, trouble && i%2 == 0)
	}
	last := time.Now()
	for time.Since(change) < 14*time.Second {
		spawn(newPart, false)
		if trouble && time.Since(last) > 1500*time.Millisecond {
			last = time.Now()
			spawn(newPart, true)
		}
		time.Sleep(15 * time.Millisecond)
	}
	clients.Wait()
	cancel()
	stop()
	mu.Lock()
	defer mu.Unlock()
	from := change
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * contactTime)
	}
	before, beforeBegun, after, afterBegun := 0, 0, 0, 0
	for _, one := range sound {
		switch {
		case one.at.Before(change):
			before++
			if begun[one.id] {
				beforeBegun++
			}
		case one.at.After(from):
			after++
			if begun[one.id] {
				afterBegun++
			}
		}
	}
	r.printf("%d crashes; of the sound requests %d of %d began before the change, and %d of %d that were sent later than %s after the fifth crash or the last",
		len(crashes), beforeBegun, before, afterBegun, after, 2*contactTime)
	return 2*afterBegun*before < beforeBegun*after
}
