package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	address  string
	// waiting is the number of watch calls for the list of servers that wait for a change.
	waiting int
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	IsGone   bool   `json:"isGone,omitempty"`
}

func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["key"], s.get)
	mux.HandleFunc("GET "+names["range"], s.list)
	mux.HandleFunc("GET "+names["watch"], s.watch)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// put writes a value. It returns once the store has acknowledged it.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.change(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.change(item{Key: key, IsGone: true}) }

func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.IsGone {
		if _, known := s.items[i.Key]; !known {
			return
		}
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{found, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	found := []item{}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	reply(w, map[string]any{"items": found, "hasMore": false, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		s.mu.Lock()
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.URL.Query().Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		s.countWaiting(r, 1)
		select {
		case <-changed:
			s.countWaiting(r, -1)
		case <-timeout:
			s.countWaiting(r, -1)
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			s.countWaiting(r, -1)
			return
		}
	}
}

// countWaiting counts a watch call that waits, if it is for the list of servers.
func (s *store) countWaiting(r *http.Request, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Query().Get("prefix") == "servers/" {
		s.waiting += n
	}
}

// awaitWatch waits until a watch call for the list of servers waits for a change.
func (s *store) awaitWatch() {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		waiting := s.waiting > 0
		s.mu.Unlock()
		if waiting {
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
