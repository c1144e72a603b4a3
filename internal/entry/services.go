package entry

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/clientconn"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/service"
)

// serviceCost is the cost of a call of a plain service, in tokens.
const serviceCost = 1

// service answers /v1/services/{service}/{path}.
func (s *clientAPI) service(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d, account, ok := s.authenticate(w, r)
	if !ok {
		return
	}
	name := ident.ServiceName(p.ByName("service"))
	wanted, known := d.snapshot.Services[name]
	if !known {
		s.reject(w, outcome.ReasonNotFound, "the service is not known")
		return
	}
	if !slices.Contains(account.Services, name) {
		s.reject(w, outcome.ReasonForbidden, "the account may not use this service")
		return
	}
	class, refusal, ok := d.class(account, r)
	if !ok {
		s.rejectOutcome(w, refusal)
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	sub := serviceSubmission(account, class, wanted, r, p.ByName("path"), body)
	if !sub.plan.Repeatable && r.Header.Get(headerKey) == "" {
		s.reject(w, outcome.ReasonMalformed, "a call that is not repeatable needs an Idempotency-Key")
		return
	}
	if !sub.plan.Repeatable {
		s.book(w, r, sub)
		return
	}
	t, ok := s.submit(w, r, sub)
	if !ok {
		return
	}
	end, ok := s.nextDelivery(r, t)
	if !ok {
		writeUnfinished(w)
		return
	}
	answerService(w, r, end)
}

func serviceSubmission(a record.Account, class record.Class, wanted record.Service, r *http.Request, path string, body []byte) submission {
	repeatable := isRepeatable(wanted, r.Method, path)
	sub := submission{
		offer: message.Offer{
			Account: a.ID, Weight: a.Weight, Class: class.Name, Cost: serviceCost,
			Service: wanted.Name, Method: r.Method, Path: path, Header: service.EndToEndHeader(r.Header), Body: body,
		},
		query:   query{service: wanted.Name, account: a.ID, class: class.Name, cost: serviceCost, creditWait: class.FirstTokenTarget / creditWaitDivisor},
		plan:    request.Plan{FirstOutputTimeout: deadlineOf(class), Repeatable: repeatable},
		collect: true,
	}
	if r.URL.RawQuery != "" {
		sub.offer.Path += "?" + r.URL.RawQuery
	}
	sub.traits = traitsOf(a.ID, r.Method, sub.offer.Path, body)
	return sub
}

func isRepeatable(s record.Service, method, path string) bool {
	for _, pattern := range s.Repeatable {
		if (pattern.Method == "" || pattern.Method == method) && strings.HasPrefix(path, pattern.Prefix) {
			return true
		}
	}
	return false
}

func answerService(w http.ResponseWriter, r *http.Request, d delivery) {
	if d.end.outcome.Kind != outcome.Completed {
		writeProblem(w, d.id, d.end.outcome, d.end.retryAfter)
		return
	}
	writeVerbatim(w, r, d)
}

// holdOrAbort closes the connection without an answer if there is no memory for one of the
// size in bytes. The request has run.
func holdOrAbort(r *http.Request, size int) {
	if clientconn.HoldAnswer(r.Context(), int64(size)) != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeVerbatim writes a complete answer with its own status and headers.
func writeVerbatim(w http.ResponseWriter, r *http.Request, d delivery) {
	size := 0
	for _, piece := range d.pieces {
		size += len(piece)
	}
	holdOrAbort(r, size)
	h := w.Header()
	for _, field := range d.end.done.Header {
		h.Add(field[0], field[1])
	}
	h.Set("Content-Length", strconv.Itoa(size))
	h.Set(headerRequestID, string(d.id))
	h.Set(headerOutcome, string(outcome.Completed))
	w.WriteHeader(d.end.done.Status)
	for _, piece := range d.pieces {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}
