package e2etest

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/source"
	"github.com/anvilpoint/anvilpoint/task"
)

// store is a minimal configuration service with one value, which its task owns.
type store struct {
	mailbox *task.Mailbox[storeMessage]
	value   storeValue
	// waiters are the readers that wait for the next revision.
	waiters []chan<- storeValue
}

type storeValue struct {
	revision int
	data     []byte
}

// storeMessage replaces the value with data; without data it reads the value as
// soon as its revision is above after.
type storeMessage struct {
	after int
	data  []byte
	reply chan<- storeValue
}

func newStore(data []byte) *store {
	return &store{mailbox: task.NewMailbox[storeMessage](64, task.Block), value: storeValue{revision: 1, data: data}}
}

func (s *store) run(ctx context.Context) {
	defer s.mailbox.Close()
	for {
		select {
		case m := <-s.mailbox.Receive():
			s.handle(m)
		case <-ctx.Done():
			return
		}
	}
}

func (s *store) handle(m storeMessage) {
	if m.data == nil {
		if s.value.revision > m.after {
			m.reply <- s.value
			return
		}
		s.waiters = append(s.waiters, m.reply)
		return
	}
	s.value = storeValue{revision: s.value.revision + 1, data: m.data}
	for _, reply := range s.waiters {
		reply <- s.value
	}
	s.waiters = nil
	m.reply <- s.value
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = 0
	}
	v, ok := task.Ask(r.Context(), s.mailbox, func(reply chan<- storeValue) storeMessage {
		return storeMessage{after: after, reply: reply}
	})
	if !ok {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Anvilpoint-Store-Revision", strconv.Itoa(v.revision))
	_, _ = w.Write(v.data)
}

// instanceList serves an instance list in which the sidecar of every backend is
// live.
func instanceList(backends []Backend, addresses []string) http.HandlerFunc {
	var list []source.Instance
	for n, b := range backends {
		list = append(list, source.Instance{
			Name: ident.InstanceID(b.Server), Kind: string(message.RoleSidecar), Domain: "d", Address: addresses[n], State: source.Live,
		})
	}
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) }
}
