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
	// reportStep is the used credit after which a handler tells the dispatch task,
	// small beside the window of a stream.
	reportStep = 32 << 10
	// readOnLimit is how long a caller waits for the holder of a stream.
	readOnLimit = 10 * time.Second
	// readOnRefusals is how many sidecars are asked for a stream.
	readOnRefusals = 64
)

// stream answers with server-sent events. Nothing is written before the first
// piece or the end has arrived, so that a request that was not run still gets
// its status code.
func (s *callers) stream(w http.ResponseWriter, r *http.Request, t submitted) {
	out := events{control: http.NewResponseController(w), writer: w}
	var used int64
	for {
		d, ok := s.next(r, t)
		if !ok {
			out.breakOff()
			return
		}
		if !out.begun {
			if d.end != nil && answeredOtherwise(w, d) {
				return
			}
			out.begin(d.id)
		}
		used += out.pieces(d)
		if d.end != nil {
			out.end(d.end)
			return
		}
		if !out.flush() {
			s.dispatch.Send(context.Background(), callerLeft{ticket: t.ticket})
			return
		}
		used = s.consumed(t, used)
	}
}

// consumed reports used credit once enough has come together, and returns what
// is left to report.
func (s *callers) consumed(t submitted, used int64) int64 {
	if used < reportStep {
		return used
	}
	s.dispatch.Send(context.Background(), consumed{ticket: t.ticket, bytes: used})
	return 0
}

// answeredOtherwise writes the answer of a request that ended without a stream:
// a problem, or what the engine answered instead of one.
func answeredOtherwise(w http.ResponseWriter, d delivery) bool {
	if d.end.outcome.Kind != outcome.Completed {
		writeProblem(w, d.id, d.end.outcome, d.end.retryAfter)
		return true
	}
	if done := d.end.done; done != nil && done.Status != http.StatusOK {
		writePlain(w, d)
		return true
	}
	return false
}

// events writes server-sent events. Each delivery is formatted into one buffer
// and leaves in one write.
type events struct {
	control *http.ResponseController
	writer  http.ResponseWriter
	buffer  []byte
	begun   bool
}

func (e *events) begin(id ident.RequestID) {
	h := e.writer.Header()
	h.Set(headerType, typeEvents)
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, string(id))
	e.writer.WriteHeader(http.StatusOK)
	e.begun = true
}

// pieces formats the events of a delivery and returns the credit they used.
func (e *events) pieces(d delivery) int64 {
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

// flush reports whether the caller's connection took what was formatted.
func (e *events) flush() bool {
	_, err := e.writer.Write(e.buffer)
	e.buffer = e.buffer[:0]
	return err == nil && e.control.Flush() == nil
}

// end writes the last event: [DONE] after a whole answer, otherwise an event
// named error with a problem document, so that a cut-off answer is never taken
// for a whole one.
func (e *events) end(end *ending) {
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

// breakOff ends an unfinished answer in a way that the caller notices: if it has
// begun, the connection closes without the end of the chunked body.
func (e *events) breakOff() {
	if e.begun {
		panic(http.ErrAbortHandler)
	}
	writeUnfinished(e.writer)
}

// writeUnfinished answers a request that the process ends without having heard
// its outcome. A handler that writes nothing would answer 200.
func writeUnfinished(w http.ResponseWriter) {
	writeProblem(w, "", outcome.MayHaveRun(outcome.ReasonDraining, "the entry stopped before the request had ended"), 0)
}

// readOn answers GET /v1/streams/{id}: the events after Last-Event-ID of a
// stream that the same account requested.
func (s *callers) readOn(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	_, account, ok := s.identify(w, r)
	if !ok {
		return
	}
	id := ident.RequestID(p.ByName("id"))
	if _, named := id.Holder(); !named {
		s.refuse(w, outcome.ReasonNotFound, "this is not the id of a request")
		return
	}
	var after uint64
	if text := r.Header.Get(headerLastEvent); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			s.refuse(w, outcome.ReasonMalformed, "Last-Event-ID is not a sequence number")
			return
		}
	}
	t, ok := s.submit(w, r, submission{
		attach: id, after: after,
		offer: message.Offer{Account: account.ID},
		plan:  request.Plan{FirstOutputTimeout: readOnLimit, Repeatable: true, MaxRefusals: readOnRefusals},
	})
	if ok {
		s.stream(w, r, t)
	}
}
