package main

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// dropAll makes the system drop all packets that arrive for a connection, so that they are
// not acknowledged.
func dropAll(c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	check(err)
	check(raw.Control(func(fd uintptr) {
		// The only instruction of the filter returns the length 0.
		filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
		check(unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &filter[0]}))
	}))
}

// proxy forwards connections to an address. Its open connections can go silent for good;
// new ones then work.
type proxy struct {
	address string
	mu      sync.Mutex
	open    map[*pair]bool
}

// pair is one connection through the proxy.
type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{address: l.Addr().String(), open: make(map[*pair]bool)}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			one := &pair{client: client, server: server}
			p.mu.Lock()
			p.open[one] = true
			p.mu.Unlock()
			go p.copy(one, client, server)
			go p.copy(one, server, client)
		}
	}()
	return p
}

// copy forwards one direction. A silent connection forwards neither bytes nor its end.
func (p *proxy) copy(one *pair, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		one.mu.Lock()
		silent := one.silent
		if n > 0 && !silent {
			_, _ = to.Write(buffer[:n])
		}
		one.mu.Unlock()
		if err != nil {
			p.mu.Lock()
			delete(p.open, one)
			p.mu.Unlock()
			if !silent {
				_ = one.client.Close()
				_ = one.server.Close()
			}
			return
		}
	}
}

// silence makes all open connections silent for good. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for one := range p.open {
		one.mu.Lock()
		one.silent = true
		one.mu.Unlock()
		dropAll(one.client)
	}
	n := len(p.open)
	return n
}
