package network

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

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
