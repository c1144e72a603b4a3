package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// watchCut replaces replicas one after the other. The old one's entry is removed from the
// store without a report of draining, and it serves on for five seconds. The disruption: for
// thirty seconds, the store cuts watches that wait, each at a random time. The rule: no
// request reaches a replica later than drainMs after the store's ack of its removal.
func watchCut(w *world) (bool, error) {
	const (
		service      = "wuno96b"
		clients      = 24
		replacements = 14
		// Watches are cut from this replacement on.
		firstCut   = 3
		cutsLast   = 30 * time.Second
		longestCut = time.Second
		gap        = 3 * time.Second
		servesOn   = 5 * time.Second
	)
	s, err := w.newStore()
	if err != nil {
		return false, err
	}
	var cutsEnd atomic.Int64
	s.cut = func() (time.Duration, bool) {
		return time.Duration(rand.Int64N(int64(longestCut))), time.Now().UnixMilli() < cutsEnd.Load()
	}
	names := 0
	start := func() (*replica, error) {
		names++
		r, err := w.newReplica(fmt.Sprintf("i-%d", names), service, 6, 20*time.Millisecond)
		if err == nil {
			r.register(s, "ready")
		}
		return r, err
	}
	var current []*replica
	for range 3 {
		r, err := start()
		if err != nil {
			return false, err
		}
		current = append(current, r)
	}
	s.put("op/config", configuration(7, []route{{prefix: "/cufi504/", kind: "safe", service: service, timeoutMS: 4000, attempts: 2}}, service))
	entries := newEntries(4)
	if err := w.startEntries(entries, s.address); err != nil {
		return false, err
	}
	if err := w.waitReady(entries); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for c := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			client := newClient(4 * time.Second)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(80 * time.Millisecond):
				}
				w.call(client, entries[c%len(entries)], "GET", "/cufi504/2f", fmt.Sprintf("%02d-%05d", c, n), nil, 4*time.Second)
			}
		}()
	}
	// Nobody is out of touch any more, and the store has been without disturbance.
	time.Sleep(2 * contactMS * time.Millisecond)
	type removal struct {
		replica *replica
		ack     time.Time
	}
	var removals []removal
	for n := range replacements {
		if w.trouble && n == firstCut {
			w.note("store: watches that wait are cut from now on")
			cutsEnd.Store(time.Now().Add(cutsLast).UnixMilli())
		}
		r, err := start()
		if err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		old := current[0]
		current = append(current[1:], r)
		removals = append(removals, removal{replica: old, ack: s.remove("servers/" + old.id)})
		time.AfterFunc(servesOn, old.exit)
		time.Sleep(gap - time.Second)
	}
	time.Sleep(servesOn)
	close(stop)
	group.Wait()
	late, worst := 0, time.Duration(0)
	for _, r := range removals {
		arrivals := r.replica.after(r.ack.Add(drainMS * time.Millisecond))
		late += len(arrivals)
		last := time.Duration(0)
		if all := r.replica.after(r.ack); len(all) > 0 {
			last = all[len(all)-1].at.Sub(r.ack)
		}
		worst = max(worst, last)
		w.note("replica %s: removal acked at %.3f, %d requests later than %d ms after it, the last %d ms after it", r.replica.id, r.ack.Sub(w.begin).Seconds(), len(arrivals), drainMS, last.Milliseconds())
	}
	w.say("%d replicas were removed, %d watches cut; %d requests reached a removed replica later than %d ms after the ack, the last %d ms after it", len(removals), s.cuts, late, drainMS, worst.Milliseconds())
	return late > 0, nil
}
