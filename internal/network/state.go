package network

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that is closed in both directions. After the
// other side has ended its direction properly the state is another one.
const tcpClose = 7

// WasReset reports whether the other side has reset a connection whose input has ended. The
// kernel reports a reset once: if a write gets the error, the reader sees an ordinary end of
// its input. It returns false if the connection does not tell.
func WasReset(connection net.Conn) bool {
	reset := false
	controlSocket(connection, func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset
}

// HasPendingInput reports whether an idle connection has unread bytes, or whether the other
// side has closed it. It returns false if the connection does not tell.
func HasPendingInput(connection net.Conn) bool {
	pending := false
	told := controlSocket(connection, func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = !errors.Is(err, syscall.EAGAIN)
	})
	return pending || told == socketClosed
}

// told says whether a connection's socket could be examined.
type told int

const (
	noSocket told = iota
	socketClosed
	socketExamined
)

// controlSocket calls the function with the socket under a connection.
func controlSocket(connection net.Conn, examine func(fd uintptr)) told {
	if wrapper, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = wrapper.NetConn()
	}
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return noSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil || raw.Control(examine) != nil {
		return socketClosed
	}
	return socketExamined
}
