package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

const (
	// creditReportBytes is the amount of used credit after which a handler reports
	// it to the dispatch task. It is small compared with the credit window of a
	// stream.
	creditReportBytes = 32 << 10
	// attachTimeout is how long a client waits for a sidecar that holds the stream.
	attachTimeout = 10 * time.Second
	// maxAttachRefusals is the maximum number of sidecars that are asked for a
	// stream.
	maxAttachRefusals = 64
)

// stream answers with server-sent events. Nothing is written before the first
// piece or the end has arrived, so that a request that was not run still gets
// its status code.
func (s *clientAPI) stream(w http.ResponseWriter, r *http.Request, t submitReply) {
	out := eventWriter{control: http.NewResponseController(w), writer: w}
	var used int64
	for {
		d, ok := s.nextDelivery(r, t)
		if !ok {
			out.abort()
			return
		}
		if !out.started {
			if d.end != nil && answerWithoutStream(w, r, d) {
				return
			}
			out.start(d.id)
		}
		used += out.addPieces(d)
		if d.end != nil {
			out.end(d.end)
			return
		}
		if !out.flush() {
			s.dispatch.Send(context.Background(), clientLeft{ticket: t.ticket})
			return
		}
		used = s.consumed(t, used)
	}
}

// consumed reports used credit once it reaches creditReportBytes, and returns the
// credit that is left to report.
func (s *clientAPI) consumed(t submitReply, used int64) int64 {
	if used < creditReportBytes {
		return used
	}
	s.dispatch.Send(context.Background(), consumed{ticket: t.ticket, bytes: used})
	return 0
}

// answerWithoutStream answers a request that ended before its stream began, and
// returns true: with a problem, or with an answer of the engine that is not 200.
func answerWithoutStream(w http.ResponseWriter, r *http.Request, d delivery) bool {
	if d.end.outcome.Kind != outcome.Completed {
		writeProblem(w, d.id, d.end.outcome, d.end.retryAfter)
		return true
	}
	if done := d.end.done; done != nil && done.Status != http.StatusOK {
		writeVerbatim(w, r, d)
		return true
	}
	return false
}

// eventWriter writes server-sent events. Each delivery is formatted into one buffer
// and written at once.
type eventWriter struct {
	control *http.ResponseController
	writer  http.ResponseWriter
	buffer  []byte
	started bool
}

func (e *eventWriter) start(id ident.RequestID) {
	h := e.writer.Header()
	h.Set(headerType, typeEvents)
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, string(id))
	e.writer.WriteHeader(http.StatusOK)
	e.started = true
}

// addPieces formats the events of a delivery and returns the credit they use.
func (e *eventWriter) addPieces(d delivery) int64 {
	var bytes int64
	for n, piece := range d.pieces {
		e.buffer = append(e.buffer, "id: "...)
		e.buffer = strconv.AppendUint(e.buffer, d.first+uint64(n), 10)
		e.buffer = append(e.buffer, "\ndata: "...)
		e.buffer = append(e.buffer, piece...)
		e.buffer = append(e.buffer, "\n\n"...)
		bytes += stream.CreditCost(piece)
	}
	return bytes
}

// flush writes the formatted events and reports whether the client's connection took
// them.
func (e *eventWriter) flush() bool {
	_, err := e.writer.Write(e.buffer)
	e.buffer = e.buffer[:0]
	return err == nil && e.control.Flush() == nil
}

// end writes the last event: [DONE] after a complete answer, otherwise an event
// named error with a problem document, so that an incomplete answer is never
// mistaken for a complete one.
func (e *eventWriter) end(end *requestEnd) {
	if end.outcome.Kind == outcome.Completed {
		e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
		e.flush()
		return
	}
	document, err := json.Marshal(newProblem(end.outcome))
	if err != nil {
		document = []byte("{}")
	}
	e.buffer = append(e.buffer, "event: error\ndata: "...)
	e.buffer = append(e.buffer, document...)
	e.buffer = append(e.buffer, "\n\n"...)
	e.flush()
}

// abort ends an incomplete answer so that the client notices: if the answer has
// begun, the connection closes without the end of the chunked body.
func (e *eventWriter) abort() {
	if e.started {
		panic(http.ErrAbortHandler)
	}
	writeUnfinished(e.writer)
}

// writeUnfinished answers a request whose outcome is still unknown when the process
// ends. A handler that writes nothing would answer 200.
func writeUnfinished(w http.ResponseWriter) {
	writeProblem(w, "", outcome.MayHaveRun(outcome.ReasonDraining, "the entry stopped before the request had ended"), 0)
}

// attachStream answers GET /v1/streams/{id} with the events after Last-Event-ID of a
// stream that the same account requested.
func (s *clientAPI) attachStream(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	_, account, ok := s.authenticate(w, r)
	if !ok {
		return
	}
	id := ident.RequestID(p.ByName("id"))
	if _, named := id.Holder(); !named {
		s.reject(w, outcome.ReasonNotFound, "this is not the id of a request")
		return
	}
	var after uint64
	if text := r.Header.Get(headerLastEvent); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			s.reject(w, outcome.ReasonMalformed, "Last-Event-ID is not a sequence number")
			return
		}
	}
	t, ok := s.submit(w, r, submission{
		attachTo: id, after: after,
		offer: message.Offer{Account: account.ID},
		plan:  request.Plan{FirstOutputTimeout: attachTimeout, Repeatable: true, MaxRefusals: maxAttachRefusals},
	})
	if ok {
		s.stream(w, r, t)
	}
}
