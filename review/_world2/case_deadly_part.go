package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime is contactMs of the site.
	contactTime = 3 * time.Second
	// deadlyPart is the part of a prompt that crashes each replica that begins to write an
	// answer on it.
	deadlyPart = "dead0bad"
	// deadlyTime is how long requests with the part come, one each deadlyInterval.
	deadlyTime     = 20 * time.Second
	deadlyInterval = time.Second
	crashPause     = 3 * time.Second
)

// prompts describes the prompts of a case and the crashes.
type prompts struct {
	// parts is the number of parts of each prompt, deadlyAt the index of the deadly one.
	parts, deadlyAt int
	// eventBeforeCrash is set if a replica crashes right after the first event of its answer,
	// otherwise right after the head.
	eventBeforeCrash bool
}

func longPrompt(w *world) (outcome, error) {
	return deadlyPartCase(w, prompts{parts: 12, deadlyAt: 9})
}

// shortPrompt is a control: it differs from longPrompt in the number of parts only.
func shortPrompt(w *world) (outcome, error) {
	return deadlyPartCase(w, prompts{parts: 3, deadlyAt: 1})
}

func crashAfterEvent(w *world) (outcome, error) {
	return deadlyPartCase(w, prompts{parts: 3, deadlyAt: 1, eventBeforeCrash: true})
}

// deadlyPartCase plays requests with a part that crashes replicas, among many sound ones.
func deadlyPartCase(w *world, p prompts) (outcome, error) {
	var mutex sync.Mutex
	var crashes, arrivals []time.Time
	crash := func(r *replica, id string) {
		mutex.Lock()
		crashes = append(crashes, time.Now())
		w.record.add("replica %s crashes on request %s, crash %d", r.id, id, len(crashes))
		mutex.Unlock()
		r.crash(crashPause)
		panic(http.ErrAbortHandler)
	}
	_, err := startReplicas(w.store, "assistant", 8, func(_ int, r *replica) {
		r.handle = func(out http.ResponseWriter, request *http.Request, _ []byte) {
			id := requestID(request)
			deadly := strings.Contains(request.Header.Get(name("parts")), deadlyPart)
			if deadly {
				mutex.Lock()
				arrivals = append(arrivals, time.Now())
				mutex.Unlock()
			}
			w.record.add("request %s reaches replica %s, with the deadly part: %t", id, r.id, deadly)
			if !work(request.Context(), 60*time.Millisecond) {
				return
			}
			seal(out)
			out.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(out).Flush()
			if deadly && !p.eventBeforeCrash {
				crash(r, id)
			}
			for n := 1; n <= 6; n++ {
				event(out, n)
				if deadly {
					crash(r, id)
				}
				if !work(request.Context(), 20*time.Millisecond) {
					return
				}
			}
		}
	})
	if err != nil {
		return cannotRun, err
	}
	publish(w.store, 3, route{name: "dish-cost", kind: "streaming", service: "assistant", timeoutMS: 8000, targetMS: 500, attempts: 2})
	if w.entries, err = startEntries(w.scratch, 3, w.store.address); err != nil {
		return cannotRun, err
	}
	var clients sync.WaitGroup
	served, failed := 0, 0
	sendOne := func(client *http.Client, deadly bool) {
		c := call{
			entry: w.entries[rand.IntN(len(w.entries))], route: "dish-cost", id: newID(), body: []byte("prompt " + newID()), deadline: 8 * time.Second,
			headers: map[string]string{name("model"): "m", name("tokens"): fmt.Sprintf("%d,24", 100*p.parts), name("parts"): p.text(deadly)},
		}
		w.record.add("request %s is sent to %s, with the deadly part: %t", c.id, c.entry.name, deadly)
		got := send(client, c)
		w.record.add("request %s gets status %d, error %v", c.id, got.status, got.err)
		if deadly {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		if got.status == 200 && got.err == nil {
			served++
		} else {
			failed++
		}
	}
	begin := time.Now().Add(4 * time.Second)
	end := begin.Add(deadlyTime)
	for range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := newClient()
			for time.Now().Before(end.Add(2 * time.Second)) {
				sendOne(client, false)
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	if w.trouble {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Until(begin))
			for time.Now().Before(end) {
				clients.Add(1)
				go func() {
					defer clients.Done()
					sendOne(newClient(), true)
				}()
				time.Sleep(deadlyInterval)
			}
		}()
	}
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range arrivals {
			if at.After(crashes[4].Add(contactTime)) {
				late++
			}
		}
	}
	w.say("%d crashes; %d requests with the deadly part reached replicas later than 3 s after the fifth crash", len(crashes), late)
	w.say("of the sound requests %d were served and %d not", served, failed)
	switch {
	case served == 0:
		return cannotRun, nil
	case late > 3:
		w.say("BUDGET is broken")
		return broken, nil
	default:
		return held, nil
	}
}

// text returns the parts of a prompt: the first half are those that all conversations share,
// the others belong to the conversation, and the last one to the request.
func (p prompts) text(deadly bool) string {
	var parts []string
	for n := range p.parts {
		id := fmt.Sprintf("%08x", rand.Uint32())
		if n < p.parts/2 {
			id = fmt.Sprintf("5c1e07a%x", n)
		}
		if deadly && n == p.deadlyAt {
			id = deadlyPart
		}
		parts = append(parts, id+":100")
	}
	return strings.Join(parts, ",")
}
