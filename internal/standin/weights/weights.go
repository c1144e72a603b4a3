// Package weights is the stand-in of the weight store: it serves blobs of any name
// and size at a limited rate, and refuses downloads while the rate is exceeded.
package weights

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// MaxBytes is the maximum size of a blob.
	MaxBytes = 1 << 40
	// defaultBytes is the size of a blob if the request has no parameter bytes.
	defaultBytes = 1 << 20
	// maxChunkBytes is the maximum size of one write of a download.
	maxChunkBytes = 64 << 10
)

// mailboxCapacity is the number of requests that wait for the store's task before
// senders block.
const mailboxCapacity = 1024

type Config struct {
	// BytesPerSecond is the rate for all readers together, and the pace of each
	// download.
	BytesPerSecond float64
	// Burst is the number of bytes beyond the rate that the store serves after an
	// idle time.
	Burst float64
}

// Store limits the rate by a token bucket that its task, Run, owns. A download is
// admitted while the budget is positive and may make it negative, so that a blob
// larger than the burst can be served; further downloads are refused until the
// budget is positive again.
type Store struct {
	config  Config
	mailbox *task.Mailbox[*admission]
	// budget is in bytes, as of the time updatedAt.
	budget    float64
	updatedAt time.Time
}

// decision tells whether a download may start.
type decision struct {
	admitted bool
	// retryAfter is the time until the budget is positive again.
	retryAfter time.Duration
}

// admission asks whether a download of that many bytes may start.
type admission struct {
	bytes int64
	reply chan<- decision
}

// New returns a store with a full budget. Run must be running for its handler to
// answer.
func New(c Config) *Store {
	return &Store{config: c, mailbox: task.NewMailbox[*admission](mailboxCapacity, task.Block), budget: c.Burst}
}

// ErrInvalidRate means that the configured rate or burst is not positive.
var ErrInvalidRate = errors.New("the rate and the burst of the weight store must be positive")

// Run decides on downloads until the context ends. The error is ErrInvalidRate.
func (s *Store) Run(ctx context.Context) error {
	defer s.mailbox.Close()
	if s.config.BytesPerSecond <= 0 || s.config.Burst <= 0 {
		return ErrInvalidRate
	}
	s.updatedAt = time.Now()
	for {
		select {
		case a := <-s.mailbox.Receive():
			a.reply <- s.admit(time.Now(), a.bytes)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Store) admit(now time.Time, bytes int64) decision {
	s.budget = min(s.config.Burst, s.budget+now.Sub(s.updatedAt).Seconds()*s.config.BytesPerSecond)
	s.updatedAt = now
	if s.budget <= 0 {
		return decision{retryAfter: time.Duration((1 - s.budget) / s.config.BytesPerSecond * float64(time.Second))}
	}
	s.budget -= float64(bytes)
	return decision{admitted: true}
}

// Handler serves GET /v1/weights/{name}?bytes=N.
func (s *Store) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/weights/:name", s.get)
	return router
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	bytes := int64(defaultBytes)
	if text := r.URL.Query().Get("bytes"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > MaxBytes {
			standin.WriteError(w, http.StatusBadRequest, "bytes must be a number from 0 to 2^40")
			return
		}
		bytes = n
	}
	d, ok := task.Ask(r.Context(), s.mailbox, func(reply chan<- decision) *admission {
		return &admission{bytes: bytes, reply: reply}
	})
	switch {
	case !ok:
		standin.WriteStopped(w)
	case !d.admitted:
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.retryAfter.Seconds()))))
		standin.WriteError(w, http.StatusTooManyRequests, "the weight store is over its rate")
	default:
		s.send(w, r, bytes)
	}
}

// send writes a blob of zeros at the store's rate.
func (s *Store) send(w http.ResponseWriter, r *http.Request, bytes int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(bytes, 10))
	chunk := make([]byte, min(maxChunkBytes, max(1, int64(s.config.BytesPerSecond/10))))
	ticker := time.NewTicker(max(1, time.Duration(float64(len(chunk))/s.config.BytesPerSecond*float64(time.Second))))
	defer ticker.Stop()
	for left := bytes; left > 0; left -= int64(len(chunk)) {
		if _, err := w.Write(chunk[:min(int64(len(chunk)), left)]); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}
