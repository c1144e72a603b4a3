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

// store stands in for the platform's metadata store.
type store struct {
	address  string
	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	IsGone   bool   `json:"isGone,omitempty"`
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+name("store-key"), s.get)
	mux.HandleFunc("GET "+name("store-range"), s.list)
	mux.HandleFunc("GET "+name("store-watch"), s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes an item. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(storeItem{Key: key, Value: data})
}

func (s *store) remove(key string) { s.change(storeItem{Key: key, IsGone: true}) }

func (s *store) change(i storeItem) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.IsGone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		StoreRevision uint64 `json:"storeRevision"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	found := []storeItem{}
	s.mutex.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	writeJSON(w, map[string]any{"items": found, "hasMore": false, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []storeItem{}
		s.mutex.Lock()
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
