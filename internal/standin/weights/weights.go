// Package weights is the stand-in of the weight store: it serves blobs of any
// name and size at a limited rate and refuses what exceeds it.
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

// Limits of one download.
const (
	// MaxBytes is the largest blob.
	MaxBytes     = 1 << 40
	defaultBytes = 1 << 20
	pieceBytes   = 64 << 10
)

const mailboxCapacity = 1024

// Config describes the store.
type Config struct {
	// BytesPerSecond is the rate over all readers.
	BytesPerSecond float64
	// Burst is how many bytes beyond the rate the store serves after a quiet time.
	Burst float64
}

// Store is the task that owns the budget. A download is admitted while the
// budget is positive and may overdraw it, so that one blob larger than the burst
// can be served; the next reader is then refused until the debt is paid.
type Store struct {
	config  Config
	mailbox *task.Mailbox[*admission]
	budget  float64
	at      time.Time
}

// verdict says whether a download may start.
type verdict struct {
	admitted bool
	// retryAfter is the time until the budget is positive again.
	retryAfter time.Duration
}

type admission struct {
	bytes int64
	reply chan<- verdict
}

// New returns a store with a full budget. Run serves it.
func New(c Config) *Store {
	return &Store{config: c, mailbox: task.NewMailbox[*admission](mailboxCapacity, task.Block), budget: c.Burst}
}

// ErrRate means that the configured rate or burst is not positive.
var ErrRate = errors.New("the rate and the burst of the weight store must be positive")

// Run owns the budget until the context ends.
func (s *Store) Run(ctx context.Context) error {
	defer s.mailbox.Close()
	if s.config.BytesPerSecond <= 0 || s.config.Burst <= 0 {
		return ErrRate
	}
	s.at = time.Now()
	for {
		select {
		case a := <-s.mailbox.Receive():
			a.reply <- s.admit(time.Now(), a.bytes)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Store) admit(now time.Time, bytes int64) verdict {
	s.budget = min(s.config.Burst, s.budget+now.Sub(s.at).Seconds()*s.config.BytesPerSecond)
	s.at = now
	if s.budget <= 0 {
		return verdict{retryAfter: time.Duration((1 - s.budget) / s.config.BytesPerSecond * float64(time.Second))}
	}
	s.budget -= float64(bytes)
	return verdict{admitted: true}
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
			standin.Refuse(w, http.StatusBadRequest, "bytes must be a number from 0 to 2^40")
			return
		}
		bytes = n
	}
	v, ok := task.Ask(r.Context(), s.mailbox, func(reply chan<- verdict) *admission {
		return &admission{bytes: bytes, reply: reply}
	})
	switch {
	case !ok:
		standin.Stopped(w)
	case !v.admitted:
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(v.retryAfter.Seconds()))))
		standin.Refuse(w, http.StatusTooManyRequests, "the weight store is over its rate")
	default:
		s.send(w, r, bytes)
	}
}

// send writes zeros at the store's rate.
func (s *Store) send(w http.ResponseWriter, r *http.Request, bytes int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(bytes, 10))
	piece := make([]byte, min(pieceBytes, max(1, int64(s.config.BytesPerSecond/10))))
	pause := time.NewTicker(max(1, time.Duration(float64(len(piece))/s.config.BytesPerSecond*float64(time.Second))))
	defer pause.Stop()
	for left := bytes; left > 0; left -= int64(len(piece)) {
		if _, err := w.Write(piece[:min(int64(len(piece)), left)]); err != nil {
			return
		}
		select {
		case <-pause.C:
		case <-r.Context().Done():
			return
		}
	}
}
