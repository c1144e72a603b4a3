package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica stands in for a replica of a service.
type replica struct {
	id, service, address string
	store                *store
	born                 int64
	mutex                sync.Mutex
	sequence             int
	state                string
	server               *http.Server
	handle               func(w http.ResponseWriter, r *http.Request, body []byte)
	stopBeat             chan struct{}
	// firstWrite is how long after its start the replica first writes its entry.
	firstWrite time.Duration
	// down is set from a crash to the next start.
	down bool
}

// heartbeat is the interval at which a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// start starts the replica at its address, or at a free one the first time.
func (r *replica) start() error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.address, r.born, r.sequence, r.state, r.down = l.Addr().String(), time.Now().UnixMilli(), 0, "ready", false
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.stopBeat = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	if r.firstWrite == 0 {
		r.write()
	}
	go r.beat(r.stopBeat, r.firstWrite)
	return nil
}

// write writes the replica's entry in the store. The caller holds the mutex.
func (r *replica) write() {
	r.sequence++
	r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 12, "state": r.state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
}

func (r *replica) beat(stop chan struct{}, first time.Duration) {
	next := heartbeat
	if first > 0 {
		next = first
	}
	timer := time.NewTimer(next)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(heartbeat)
			r.mutex.Lock()
			r.write()
			r.mutex.Unlock()
		case <-stop:
			return
		}
	}
}

// crash ends the replica at once: it refuses connections and cuts those that are open. It
// starts again under its id after the pause.
func (r *replica) crash(pause time.Duration) {
	r.mutex.Lock()
	server, down := r.server, r.down
	if !down {
		r.down = true
		close(r.stopBeat)
	}
	r.mutex.Unlock()
	if down {
		return
	}
	_ = server.Close()
	go func() {
		time.Sleep(pause)
		_ = r.start()
	}()
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		w.Header().Set(name("instance"), r.id)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.Header().Set(name("request-id"), request.Header.Get(name("request-id")))
	if request.Header.Get(name("expect-instance")) != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.handle(w, request, body)
}

func seal(w http.ResponseWriter) {
	w.Header().Set(name("seal"), "3e1b.07.5a2.600.0.c9f2a4d1")
}

// work waits for the time that the work takes, or until the caller has left.
func work(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// event writes one event of a stream.
func event(w http.ResponseWriter, n int) {
	fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
	_ = http.NewResponseController(w).Flush()
}

func requestID(r *http.Request) string { return r.Header.Get(name("request-id")) }

// restart ends the replica and starts it again under its id and at its address.
func (r *replica) restart() error {
	r.mutex.Lock()
	server := r.server
	close(r.stopBeat)
	r.mutex.Unlock()
	_ = server.Close()
	return r.start()
}
