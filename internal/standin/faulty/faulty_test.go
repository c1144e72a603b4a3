package faulty_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/anvilpoint/anvilpoint/internal/standin/faulty"
)

// silence is how long a test checks that nothing arrives. A shorter time could make
// the test miss a failure, but not fail without one.
const silence = 50 * time.Millisecond

// connection is a connection between two processes on two instances, with the fabric
// that carries it.
type connection struct {
	fabric   *faulty.Fabric
	listener net.Listener
	near     net.Conn
	far      net.Conn
	// fromFar and fromNear deliver the lines that the far and the near end sent.
	fromFar  <-chan string
	fromNear <-chan string
}

var (
	near = faulty.Process{Name: "entry-0", Instance: "entry-0", Domain: "a"}
	far  = faulty.Process{Name: "sidecar-replica-0", Instance: "replica-0", Domain: "b"}
)

func start(t *testing.T, delay time.Duration) *connection {
	t.Helper()
	conn := &connection{fabric: faulty.NewFabric(delay)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = conn.fabric.Run(ctx) }()
	var err error
	conn.listener, err = conn.fabric.Network(far).Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := conn.listener.Accept()
		must.NoError(t, err)
		accepted <- c
	}()
	conn.near, err = conn.fabric.Network(near).Dial(t.Context(), conn.listener.Addr().String())
	must.NoError(t, err)
	conn.far = <-accepted
	conn.fromFar, conn.fromNear = lines(conn.near), lines(conn.far)
	t.Cleanup(func() {
		_ = conn.listener.Close()
		_, _ = conn.near.Close(), conn.far.Close()
		cancel()
		<-done
		for range conn.fromFar {
		}
		for range conn.fromNear {
		}
		goleak.VerifyNone(t)
	})
	return conn
}

// lines delivers the lines that a connection receives.
func lines(c net.Conn) <-chan string {
	out := make(chan string, 16)
	go func() {
		defer close(out)
		for scanner := bufio.NewScanner(c); scanner.Scan(); {
			out <- scanner.Text()
		}
	}()
	return out
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text + "\n"))
	must.NoError(t, err)
}

func mustReceiveNothing(t *testing.T, c <-chan string) {
	t.Helper()
	select {
	case text := <-c:
		t.Fatalf("received %q during the fault", text)
	case <-time.After(silence):
	}
}

// Guards against a paused process that still receives or sends, and against data that
// is lost in the pause.
func TestPause(t *testing.T) {
	conn := start(t, 0)
	conn.fabric.SetPaused(t.Context(), far.Name, true)
	send(t, conn.near, "one")
	mustReceiveNothing(t, conn.fromNear)
	wrote := make(chan error, 1)
	go func() { _, err := conn.far.Write([]byte("two\n")); wrote <- err }()
	mustReceiveNothing(t, conn.fromFar)
	conn.fabric.SetPaused(t.Context(), far.Name, false)
	must.Eq(t, "one", <-conn.fromNear)
	must.Eq(t, "two", <-conn.fromFar)
	must.NoError(t, <-wrote)
}

// Guards against a one-way partition that blocks both directions or none, against data
// lost by it, and against a dial that succeeds across it.
func TestOneWayPartition(t *testing.T) {
	conn := start(t, 0)
	conn.fabric.Partition(t.Context(), "cut", faulty.Partition{From: "a", Outward: true})
	send(t, conn.far, "reply")
	must.Eq(t, "reply", <-conn.fromFar)
	send(t, conn.near, "lost until healed")
	mustReceiveNothing(t, conn.fromNear)
	ctx, cancel := context.WithTimeout(t.Context(), silence)
	defer cancel()
	_, err := conn.fabric.Network(near).Dial(ctx, conn.listener.Addr().String())
	must.ErrorIs(t, err, context.DeadlineExceeded)
	conn.fabric.Heal(t.Context(), "cut")
	must.Eq(t, "lost until healed", <-conn.fromNear)
}

// Guards against a partition that blocks processes that are not on both its sides.
func TestPartitionOfOthers(t *testing.T) {
	conn := start(t, 0)
	conn.fabric.Partition(t.Context(), "cut", faulty.Partition{From: "a", To: "c", Outward: true, Inward: true})
	send(t, conn.near, "one")
	must.Eq(t, "one", <-conn.fromNear)
}

// Guards against delays that are not applied, between failure domains or for a slow
// process.
func TestDelay(t *testing.T) {
	conn := start(t, 20*time.Millisecond)
	began := time.Now()
	send(t, conn.near, "one")
	must.Eq(t, "one", <-conn.fromNear)
	must.GreaterEq(t, 20*time.Millisecond, time.Since(began))
	conn.fabric.SetDelay(t.Context(), far.Name, 30*time.Millisecond)
	began = time.Now()
	send(t, conn.near, "two")
	must.Eq(t, "two", <-conn.fromNear)
	must.GreaterEq(t, 50*time.Millisecond, time.Since(began))
}

// Guards against sockets that stay open after their process was killed.
func TestSever(t *testing.T) {
	conn := start(t, 0)
	address := conn.listener.Addr().String()
	conn.fabric.CloseSockets(t.Context(), far.Name)
	_, open := <-conn.fromFar
	must.False(t, open)
	_, err := conn.fabric.Network(near).Dial(t.Context(), address)
	must.Error(t, err)
}
