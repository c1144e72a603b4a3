package pathtest

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

// store is a tiny configuration service for one value. Its task owns the value.
type store struct {
	mailbox *task.Mailbox[storeMessage]
	value   storeValue
	waiting []chan<- storeValue
}

type storeValue struct {
	revision int
	data     []byte
}

// storeMessage reads the value once its revision is above after, or, with data,
// replaces it.
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
			s.step(m)
		case <-ctx.Done():
			return
		}
	}
}

func (s *store) step(m storeMessage) {
	if m.data == nil {
		if s.value.revision > m.after {
			m.reply <- s.value
			return
		}
		s.waiting = append(s.waiting, m.reply)
		return
	}
	s.value = storeValue{revision: s.value.revision + 1, data: m.data}
	for _, reply := range s.waiting {
		reply <- s.value
	}
	s.waiting = nil
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

// instanceList shows the sidecars of all backends as live.
func instanceList(backends []Backend, addresses []string) http.HandlerFunc {
	var list []source.Instance
	for n, b := range backends {
		list = append(list, source.Instance{
			Name: ident.InstanceID(b.Server), Kind: string(message.RoleSidecar), Domain: "d", Address: addresses[n], State: source.Live,
		})
	}
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) }
}
