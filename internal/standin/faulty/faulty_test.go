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

// quiet is how long a test watches that nothing arrives. A shorter wait could
// only make the test miss a fault, not fail without one.
const quiet = 50 * time.Millisecond

// world is two processes on two instances and one connection between them.
type world struct {
	fabric   *faulty.Fabric
	listener net.Listener
	near     net.Conn
	far      net.Conn
	fromFar  <-chan string
	fromNear <-chan string
}

var (
	near = faulty.Process{Name: "entry-0", Instance: "entry-0", Domain: "a"}
	far  = faulty.Process{Name: "sidecar-replica-0", Instance: "replica-0", Domain: "b"}
)

func start(t *testing.T, delay time.Duration) *world {
	t.Helper()
	w := &world{fabric: faulty.NewFabric(delay)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.fabric.Run(ctx) }()
	var err error
	w.listener, err = w.fabric.Network(far).Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := w.listener.Accept()
		must.NoError(t, err)
		accepted <- c
	}()
	w.near, err = w.fabric.Network(near).Dial(t.Context(), w.listener.Addr().String())
	must.NoError(t, err)
	w.far = <-accepted
	w.fromFar, w.fromNear = lines(w.near), lines(w.far)
	t.Cleanup(func() {
		_ = w.listener.Close()
		_, _ = w.near.Close(), w.far.Close()
		cancel()
		<-done
		for range w.fromFar {
		}
		for range w.fromNear {
		}
		goleak.VerifyNone(t)
	})
	return w
}

// lines delivers what a connection reads.
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

func mustBeQuiet(t *testing.T, c <-chan string) {
	t.Helper()
	select {
	case text := <-c:
		t.Fatalf("received %q during the fault", text)
	case <-time.After(quiet):
	}
}

// Guards against a paused process that still receives, and against data that is
// lost by the pause.
func TestPause(t *testing.T) {
	w := start(t, 0)
	w.fabric.Pause(t.Context(), far.Name, true)
	send(t, w.near, "one")
	mustBeQuiet(t, w.fromNear)
	wrote := make(chan error, 1)
	go func() { _, err := w.far.Write([]byte("two\n")); wrote <- err }()
	mustBeQuiet(t, w.fromFar)
	w.fabric.Pause(t.Context(), far.Name, false)
	must.Eq(t, "one", <-w.fromNear)
	must.Eq(t, "two", <-w.fromFar)
	must.NoError(t, <-wrote)
}

// Guards against a one-way partition that stops both directions or none, against
// lost data, and against connections opened through a partition.
func TestOneWayPartition(t *testing.T) {
	w := start(t, 0)
	w.fabric.Cut(t.Context(), "cut", faulty.Cut{From: "a", Outward: true})
	send(t, w.far, "reply")
	must.Eq(t, "reply", <-w.fromFar)
	send(t, w.near, "lost until healed")
	mustBeQuiet(t, w.fromNear)
	ctx, cancel := context.WithTimeout(t.Context(), quiet)
	defer cancel()
	_, err := w.fabric.Network(near).Dial(ctx, w.listener.Addr().String())
	must.ErrorIs(t, err, context.DeadlineExceeded)
	w.fabric.Mend(t.Context(), "cut")
	must.Eq(t, "lost until healed", <-w.fromNear)
}

// Guards against a partition that reaches processes outside it.
func TestPartitionOfOthers(t *testing.T) {
	w := start(t, 0)
	w.fabric.Cut(t.Context(), "cut", faulty.Cut{From: "a", To: "c", Outward: true, Inward: true})
	send(t, w.near, "one")
	must.Eq(t, "one", <-w.fromNear)
}

// Guards against delays that are not applied: between failure domains and for a
// slow process.
func TestDelay(t *testing.T) {
	w := start(t, 20*time.Millisecond)
	began := time.Now()
	send(t, w.near, "one")
	must.Eq(t, "one", <-w.fromNear)
	must.GreaterEq(t, 20*time.Millisecond, time.Since(began))
	w.fabric.Slow(t.Context(), far.Name, 30*time.Millisecond)
	began = time.Now()
	send(t, w.near, "two")
	must.Eq(t, "two", <-w.fromNear)
	must.GreaterEq(t, 50*time.Millisecond, time.Since(began))
}

// Guards against sockets that survive their process.
func TestSever(t *testing.T) {
	w := start(t, 0)
	address := w.listener.Addr().String()
	w.fabric.Sever(t.Context(), far.Name)
	_, open := <-w.fromFar
	must.False(t, open)
	_, err := w.fabric.Network(near).Dial(t.Context(), address)
	must.Error(t, err)
}
