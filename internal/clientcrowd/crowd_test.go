package clientcrowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdTime is how long a crowd presses.
	crowdTime = 4 * time.Second
	// reconnectPause is the pause of a client before it connects again.
	reconnectPause = 20 * time.Millisecond
	// legalHeadBytes is the size of the largest request head that the operators allow.
	legalHeadBytes = 16 << 10
)

// client sends something over one connection, and returns when it wants a new one. The
// connection is closed when the context ends.
type client func(ctx context.Context, connection net.Conn)

// press lets a number of clients misbehave at the address at the same time for crowdTime.
func press(address string, clients int, behave client) {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for ctx.Err() == nil {
				connectOnce(ctx, address, behave)
				select {
				case <-time.After(reconnectPause):
				case <-ctx.Done():
				}
			}
		})
	}
	group.Wait()
}

func connectOnce(ctx context.Context, address string, behave client) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	behave(ctx, connection)
}

// hold keeps the connection open until the other side closes it.
func hold(connection net.Conn) { _, _ = io.Copy(io.Discard, connection) }

// holdUnread keeps the connection open until the context ends, and reads nothing.
func holdUnread(ctx context.Context) { <-ctx.Done() }

// write writes the texts and reports whether the connection took all of them.
func write(connection net.Conn, texts ...string) bool {
	for _, text := range texts {
		if _, err := io.WriteString(connection, text); err != nil {
			return false
		}
	}
	return true
}

// target is a request that the entry allows.
type target struct {
	method, path, host string
	// fields are the header lines that the entry needs, each with its line break.
	fields string
}

// begin returns the request line and the needed header lines of a request.
func (t target) begin() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", t.method, t.path, t.host, t.fields)
}

// shortLines returns header lines of a few bytes each, with different names, up to the
// number of bytes.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len()+8 <= size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// endlessLine sends a header line without end.
func endlessLine(t target) client {
	return func(_ context.Context, connection net.Conn) {
		filler := strings.Repeat("a", 32<<10)
		for ok := write(connection, t.begin(), "X-Long: "); ok; {
			ok = write(connection, filler)
		}
		hold(connection)
	}
}

// longHead sends one header line of a megabyte that stops, and keeps the connection.
func longHead(t target) client {
	return func(_ context.Context, connection net.Conn) {
		if write(connection, t.begin(), "X-Long: ", strings.Repeat("a", 1_000_000)) {
			hold(connection)
		}
	}
}

// endlessLines sends header lines without end.
func endlessLines(t target) client {
	return func(_ context.Context, connection net.Conn) {
		ok := write(connection, t.begin())
		for n := 0; ok; n++ {
			var b strings.Builder
			for k := range 1000 {
				fmt.Fprintf(&b, "%x:\r\n", n*1000+k)
			}
			ok = write(connection, b.String())
		}
	}
}

// emptyLines sends empty lines without end before a request.
func emptyLines(_ context.Context, connection net.Conn) {
	filler := strings.Repeat("\r\n", 8<<10)
	for write(connection, filler) {
	}
}

// manyLines sends a whole head of legal size made of short lines, and no body.
func manyLines(t target) client {
	return func(_ context.Context, connection net.Conn) {
		begin, end := t.begin(), "Content-Length: 10\r\n\r\n"
		if write(connection, begin, shortLines(legalHeadBytes-len(begin)-len(end)), end) {
			hold(connection)
		}
	}
}

// slowManyLines is manyLines without the end of the head.
func slowManyLines(t target) client {
	return func(_ context.Context, connection net.Conn) {
		begin := t.begin()
		if write(connection, begin, shortLines(legalHeadBytes-len(begin)-4)) {
			hold(connection)
		}
	}
}

// stoppingBody sends a body of the size that stops one byte short.
func stoppingBody(t target, size int) client {
	return func(_ context.Context, connection net.Conn) {
		if write(connection, t.begin(), fmt.Sprintf("Content-Length: %d\r\n\r\n", size), strings.Repeat("b", size-1)) {
			hold(connection)
		}
	}
}

// stoppingChunks sends a body of the size in chunks that stops one byte short.
func stoppingChunks(t target, size, chunk int) client {
	return func(_ context.Context, connection net.Conn) {
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("b", chunk))
		ok := write(connection, t.begin(), "Transfer-Encoding: chunked\r\n\r\n")
		for sent := chunk; ok && sent < size; sent += chunk {
			ok = write(connection, one)
		}
		if ok {
			hold(connection)
		}
	}
}

// wholeBodies sends whole requests with bodies of the size, and waits for each answer.
func wholeBodies(t target, size int) client {
	return func(_ context.Context, connection net.Conn) {
		if write(connection, t.begin(), fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", size), strings.Repeat("b", size)) {
			hold(connection)
		}
	}
}

// silent sends nothing.
func silent(_ context.Context, connection net.Conn) { hold(connection) }

// unreadAnswer sends a request and does not read its answer.
func unreadAnswer(t target) client {
	return func(ctx context.Context, connection net.Conn) {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		if write(connection, t.begin(), "\r\n") {
			holdUnread(ctx)
		}
	}
}

// pipelined sends requests without end and reads no answers.
func pipelined(t target) client {
	return func(_ context.Context, connection net.Conn) {
		filler := string(bytes.Repeat([]byte(t.begin()+"\r\n"), 100))
		for write(connection, filler) {
		}
	}
}

// endlessTrailers sends a chunked request with trailer lines without end.
func endlessTrailers(t target) client {
	return func(_ context.Context, connection net.Conn) {
		ok := write(connection, t.begin(), "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n")
		for n := 0; ok; n++ {
			ok = write(connection, shortLines(16<<10))
		}
	}
}

// longExtension sends a chunk size with an extension without end.
func longExtension(t target) client {
	return func(_ context.Context, connection net.Conn) {
		filler := strings.Repeat("e", 32<<10)
		for ok := write(connection, t.begin(), "Transfer-Encoding: chunked\r\n\r\n1;"); ok; {
			ok = write(connection, filler)
		}
	}
}
