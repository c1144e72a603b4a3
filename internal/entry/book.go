package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// headerReplayed marks the stored answer of an earlier call with the same key.
const headerReplayed = "Anvilpoint-Replayed"

// book answers a call that must run at most once. The call continues when its client
// disconnects; a later call with the same key gets the answer.
func (s *clientAPI) book(w http.ResponseWriter, r *http.Request, sub submission) {
	end := make(chan bookingEnd, 1)
	started := s.bookings.Send(context.WithoutCancel(r.Context()), startBooking{
		begin: booking.BeginCall{
			Key: message.KeyID{
				Account: sub.offer.Account, Service: sub.offer.Service, Key: ident.IdempotencyKey(r.Header.Get(headerKey)),
			},
			Method: sub.offer.Method, Path: sub.offer.Path, Header: sub.offer.Header, Body: sub.offer.Body,
		},
		deadline: sub.plan.FirstOutputTimeout, reply: end,
	})
	if !started.Accepted() {
		writeBooked(w, bookingEnd{result: message.BookResult{Kind: outcome.Unknown, Reason: outcome.ReasonDraining}})
		return
	}
	select {
	case b := <-end:
		holdOrAbort(r, len(b.result.Body))
		writeBooked(w, b)
	case <-r.Context().Done():
	case <-s.bookings.Closed():
		panic(http.ErrAbortHandler)
	}
}

func writeBooked(w http.ResponseWriter, b bookingEnd) {
	r := b.result
	if r.Kind != outcome.Completed {
		o := outcome.Outcome{Kind: r.Kind, Reason: r.Reason, Detail: bookingDetail(r)}
		writeProblem(w, b.id, o, time.Duration(r.RetryAfterMS)*time.Millisecond)
		return
	}
	h := w.Header()
	for _, field := range r.Header {
		h.Add(field[0], field[1])
	}
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	h.Set(headerRequestID, string(b.id))
	h.Set(headerOutcome, string(outcome.Completed))
	if r.Replayed {
		h.Set(headerReplayed, "true")
	}
	w.WriteHeader(r.Status)
	// The client may have gone away; the stored answer is not affected.
	_, _ = w.Write(r.Body)
}

// bookingDetail returns a problem detail that tells the client what to do.
func bookingDetail(r message.BookResult) string {
	switch r.Reason {
	case outcome.ReasonKeyReused:
		return "The key was used for another request. This one was not run."
	case outcome.ReasonKeyFuture:
		return "The key's creation time lies in the future. Check the clock."
	case outcome.ReasonKeyTooOld:
		return "The key is older than the memory of its home, which may have run it before a restart. Look the booking up at the service."
	case outcome.ReasonPredecessor:
		return "An earlier home of the key cannot say whether it ran. Look the booking up at the service."
	case outcome.ReasonServerFailed:
		if r.Kind == outcome.Unknown {
			return "The service broke off during the call. Look the booking up at the service."
		}
		return "The service could not be reached. The call was not run."
	}
	if r.Kind == outcome.Unknown {
		return "The key's home gave no final answer. Send the same key again to learn its result."
	}
	return "The call was not run. Send it again with the same key."
}
