package link_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
)

// peer is one process with links.
type peer struct {
	config link.Config
	events chan link.Event
	closed chan string
}

func newPeer(t *testing.T, role message.Role) *peer {
	t.Helper()
	c, err := codec.New()
	must.NoError(t, err)
	p := &peer{events: make(chan link.Event, 100), closed: make(chan string, 100)}
	p.config = link.Config{
		Codec: c, Clock: hlc.New(time.Now),
		Hello: func() message.Hello {
			return message.Hello{Version: message.ProtocolVersion, Role: role, Instance: "i-x"}
		},
		Accepts: func(_ message.Role, k message.Kind) bool { return k != message.KindSeal },
		Deliver: func(ctx context.Context, ev link.Event) { p.events <- ev },
		Closed:  func(reason string) { p.closed <- reason },
	}
	return p
}

// next returns the next event other than the arrival of a heartbeat.
func (p *peer) next() link.Event {
	for {
		ev := <-p.events
		if ev.Kind != link.Received {
			return ev
		}
		if _, heartbeat := ev.Messages[0].(*message.Heartbeat); !heartbeat {
			return ev
		}
	}
}

func serve(t *testing.T, p *peer) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(link.Accept(ctx, p.config))
	t.Cleanup(func() { cancel(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

func dial(t *testing.T, p *peer, address string) {
	t.Helper()
	d := link.Dialer{Config: p.config, Address: address, Network: network.System{}, Random: rand.New(rand.NewPCG(1, 2))}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() { cancel(); must.NoError(t, <-done) })
}

// frameOf returns a WebSocket message that contains one frame.
func frameOf(t *testing.T, p *peer, m message.Message) []byte {
	t.Helper()
	frame, err := p.config.Codec.Encode(message.Envelope{Stamp: p.config.Clock.Now(), Message: m})
	must.NoError(t, err)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)
}

// Guards against messages that are lost, reordered or split when many share one
// write.
func TestMessagesArriveInOrder(t *testing.T) {
	server, client := newPeer(t, message.RoleSidecar), newPeer(t, message.RoleEntry)
	dial(t, client, serve(t, server))
	up := client.next()
	must.Eq(t, link.Up, up.Kind)
	must.Eq(t, message.RoleSidecar, up.Link.Peer().Role)
	must.Eq(t, link.Up, server.next().Kind)
	const count = 3000
	go func() {
		for n := range count {
			up.Link.Send(&message.Chunk{Request: "r-1.s", Sequence: uint64(n), Payload: make([]byte, n%700)})
		}
	}()
	for n := 0; n < count; {
		for _, m := range server.next().Messages {
			c, ok := m.(*message.Chunk)
			if !ok {
				continue
			}
			must.Eq(t, uint64(n), c.Sequence)
			must.Eq(t, n%700, len(c.Payload))
			n++
		}
	}
}

// Guards against an invalid frame that affects other links or is not counted, and
// against a dialler that does not reopen a closed link.
func TestInvalidFramesCloseOnlyTheirLink(t *testing.T) {
	server, good := newPeer(t, message.RoleSidecar), newPeer(t, message.RoleEntry)
	address := serve(t, server)
	dial(t, good, address)
	up := good.next()
	must.Eq(t, link.Up, server.next().Kind)
	hello := good.config.Hello()
	second := frameOf(t, good, &hello)
	huge := binary.BigEndian.AppendUint32(nil, codec.MaxFrameBytes+1)
	for _, c := range []struct {
		name, reason string
		messages     [][]byte
	}{
		{"frame before Hello", "out-of-turn", [][]byte{frameOf(t, good, &message.Cancel{})}},
		{"second Hello", "out-of-turn", [][]byte{second, second}},
		{"kind that is not accepted", "out-of-turn", [][]byte{second, frameOf(t, good, &message.Seal{})}},
		{"not a frame", "invalid-frame", [][]byte{second, []byte("hello")}},
		{"truncated length", "invalid-frame", [][]byte{second, {0, 0}}},
		{"length that is too large", "invalid-frame", [][]byte{second, huge}},
		{"unknown kind", "invalid-frame", [][]byte{second, append([]byte{0, 0, 0, 9, 250}, make([]byte, 8)...)}},
		{"message that is too large", "socket", [][]byte{second, make([]byte, 5<<20)}},
		{"other protocol version", "incompatible", [][]byte{frameOf(t, good, &message.Hello{Version: 99, Role: message.RoleEntry})}},
	} {
		t.Run(c.name, func(t *testing.T) {
			socket, _, err := websocket.Dial(t.Context(), "ws://"+address+link.Path, nil)
			must.NoError(t, err)
			defer socket.CloseNow()
			socket.SetReadLimit(-1)
			for _, m := range c.messages {
				// The peer may close before the last message is written.
				_ = socket.Write(t.Context(), websocket.MessageBinary, m)
			}
			must.Eq(t, c.reason, <-server.closed)
		})
	}
	must.True(t, up.Link.Send(&message.Cancel{Request: "r-1.s"}))
	for {
		ev := server.next()
		if ev.Kind == link.Received {
			must.Eq(t, "r-1.s", string(ev.Messages[0].(*message.Cancel).Request))
			break
		}
	}
	up.Link.Close("test")
	must.Eq(t, link.Down, good.next().Kind)
	must.Eq(t, link.Up, good.next().Kind)
	must.False(t, up.Link.Send(&message.Cancel{}))
}
