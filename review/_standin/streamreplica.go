package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readTime is how long a replica reads a prompt before it begins to write.
	readTime = 50 * time.Millisecond
	// eventInterval is the time between two events of a stream, and before the first.
	eventInterval = 100 * time.Millisecond
)

// deadlyPart is the part of a prompt that crashes the replica which begins to write an
// answer on it.
const deadlyPart = "dead07a2"

// streamReplica is a replica in a process of its own, which answers each request with a
// stream that has neither a length nor chunks and ends with its channel. The arguments are
// its id, its address and the number of events of a stream. It writes a line for each
// request and each event to standard output.
func streamReplica(id, address string, pieces int) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	var mutex sync.Mutex
	say := func(format string, args ...any) {
		mutex.Lock()
		defer mutex.Unlock()
		fmt.Fprintf(os.Stdout, "replica %s: %s\n", id, fmt.Sprintf(format, args...))
	}
	say("listens")
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go serveStreams(c, id, pieces, say)
	}
}

func serveStreams(c net.Conn, id string, pieces int, say func(string, ...any)) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	request := r.Header.Get(name("request-id"))
	if expected := r.Header.Get(name("expect-instance")); expected != "" && expected != id {
		say("request %s expects %s, answered 421", request, expected)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", name("instance"), id, name("request-id"), request)
		return
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	say("runs request %s from event %d", request, first)
	time.Sleep(readTime)
	if strings.Contains(r.Header.Get(name("parts")), deadlyPart+":") {
		// The replica crashes as it begins to write the answer.
		say("request %s crashes the replica", request)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		name("request-id"), request, name("seal"), id, request)
	for n := first; n <= pieces; n++ {
		time.Sleep(eventInterval)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", n, n, pieces); err != nil {
			say("request %s: the channel is gone at event %d", request, n)
			return
		}
		say("request %s: event %d", request, n)
	}
	say("request %s: the stream is complete", request)
}

// pieces returns the ids of the events of a stream, in order.
func pieces(body string) []int {
	var ids []int
	for _, line := range strings.Split(body, "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(text)
			ids = append(ids, n)
		}
	}
	return ids
}
