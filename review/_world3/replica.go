package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replicaEvent is what a replica's process tells the test on its standard output.
type replicaEvent struct {
	Replica string    `json:"replica"`
	Event   string    `json:"event"`
	Request string    `json:"request,omitempty"`
	At      time.Time `json:"at"`
}

// runReplica is the main function of a replica's process: a stand-in of a backend server.
func runReplica(args []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	id := flags.String("id", "", "instance id")
	listen := flags.String("listen", "127.0.0.1:0", "address")
	mode := flags.String("mode", "work", "work or stream")
	leaving := flags.String("leaving-file", "", "file that exists once the replica is leaving")
	deadly := flags.String("deadly", "", "prompt part that crashes the replica as it writes an answer")
	early := flags.Bool("deadly-early", false, "crash before the first byte of the answer")
	firstMS := flags.Int("first-ms", 0, "time until the first event in ms")
	check(flags.Parse(args))
	// The end of the test's process closes the pipe.
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	l, err := net.Listen("tcp", *listen)
	check(err)
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	tell := func(event, request string) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(replicaEvent{Replica: *id, Event: event, Request: request, At: time.Now()})
	}
	tell("listening "+l.Addr().String(), "")
	var running atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		request := r.Header.Get(names["id"])
		h := w.Header()
		h.Set(names["id"], request)
		if expected := r.Header.Get(names["expect"]); expected != "" && expected != *id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		tell("reached", request)
		tell("run", request)
		running.Add(1)
		defer running.Add(-1)
		h.Set(names["seal"], "seal."+request)
		h.Set(names["load"], fmt.Sprintf("%d,0,8", running.Load()))
		if _, err := os.Stat(*leaving); *leaving != "" && err == nil {
			h.Set("Server-Leaving", "1")
		}
		switch *mode {
		case "work":
			time.Sleep(workTime)
			_, _ = fmt.Fprintf(w, "%s %s", *id, request)
		case "stream":
			time.Sleep(time.Duration(*firstMS) * time.Millisecond)
			isDeadly := *deadly != "" && strings.Contains(r.Header.Get(names["parts"]), *deadly+":")
			if isDeadly && *early {
				tell("crashed", request)
				os.Exit(3)
			}
			tell("begun", request)
			writeStream(w, r, isDeadly, request, tell)
		}
		tell("answered", request)
	})
	check(http.Serve(l, handler))
}

// workTime is how long a request runs in mode work.
const workTime = 400 * time.Millisecond

// streamEvents is the number of events of a stream.
const streamEvents = 6

// writeStream writes a stream. If the request is deadly, the process crashes once it has begun
// to write the answer.
func writeStream(w http.ResponseWriter, r *http.Request, deadly bool, request string, tell func(event, request string)) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for n := first; n <= streamEvents; n++ {
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		if deadly {
			tell("crashed", request)
			os.Exit(3)
		}
	}
}

// replica is a replica's process as the test sees it.
type replica struct {
	id, address string
	process     *exec.Cmd
	stdin       io.WriteCloser
	ended       chan struct{}
}

// startReplica starts a replica's process. Observe gets its events, from one goroutine.
func startReplica(observe func(replicaEvent), id, listen string, args ...string) *replica {
	r := &replica{id: id, ended: make(chan struct{})}
	r.process = exec.Command(os.Args[0], append([]string{"replica", "-id", id, "-listen", listen}, args...)...)
	r.process.Stderr = os.Stderr
	stdin, err := r.process.StdinPipe()
	check(err)
	r.stdin = stdin
	out, err := r.process.StdoutPipe()
	check(err)
	check(r.process.Start())
	started(r.process)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		check(fmt.Errorf("replica %s did not start", id))
	}
	var first replicaEvent
	check(json.Unmarshal(lines.Bytes(), &first))
	r.address = strings.TrimPrefix(first.Event, "listening ")
	go func() {
		defer close(r.ended)
		for lines.Scan() {
			var e replicaEvent
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				observe(e)
			}
		}
		_ = r.process.Wait()
	}()
	return r
}

// register writes the replica's entry to the store.
func (r *replica) register(s *store, service, state string, born time.Time, sequence int) {
	s.put("servers/"+r.id, map[string]any{
		"service": service, "address": r.address, "zone": "z1", "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": sequence, "born": born.UnixMilli(),
	})
}
