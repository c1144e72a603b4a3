package source

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/task"
)

// readTimeoutMargin plus the wait at the service is the timeout of a read.
const readTimeoutMargin = 2 * time.Second

// ReadRequest asks for one read of the record. If After is zero, the service
// answers at once. Otherwise it answers when its revision exceeds After, at the
// latest after Wait.
type ReadRequest struct {
	Number uint64
	After  uint64
	Wait   time.Duration
	// Cancel cancels the running read without starting another.
	Cancel bool
}

// ReadAnswer is the result of one read.
type ReadAnswer struct {
	Number uint64
	Value  Value
	// Changed reports whether Value holds data. If not, the service had nothing newer.
	Changed bool
}

// Reader is the task that reads the configuration service on request.
type Reader struct {
	// URL is the base URL of the configuration service.
	URL    string
	Client *http.Client
	// Deliver receives the answers. It may block.
	Deliver  func(ctx context.Context, a ReadAnswer)
	requests *task.Mailbox[ReadRequest]
}

// NewReader returns a reader that waits for requests.
func NewReader(url string, client *http.Client, deliver func(ctx context.Context, a ReadAnswer)) *Reader {
	return &Reader{URL: url, Client: client, Deliver: deliver, requests: task.NewMailbox[ReadRequest](4, task.DropOldest)}
}

// Request starts a read and cancels the one that runs.
func (r *Reader) Request(ctx context.Context, q ReadRequest) { r.requests.Send(ctx, q) }

// Run carries out requests until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	defer r.requests.Close()
	group := task.NewGroup(ctx)
	cancel := context.CancelFunc(func() {})
	defer func() { cancel() }()
	for {
		select {
		case q := <-r.requests.Receive():
			cancel()
			if q.Cancel {
				continue
			}
			var limited context.Context
			limited, cancel = context.WithTimeout(group.Context(), q.Wait+readTimeoutMargin)
			group.Go("configuration read", func(ctx context.Context) error {
				r.read(limited, ctx, q)
				return nil
			})
		case <-ctx.Done():
			cancel()
			return group.Stop(0)
		}
	}
}

// read carries out one read. The context limited bounds the read, ctx the delivery
// of the answer. A canceled read has no answer.
func (r *Reader) read(limited, ctx context.Context, q ReadRequest) {
	url := r.URL + "/v1/values/" + RecordKey
	if q.After > 0 {
		url += "?after=" + strconv.FormatUint(q.After, 10) + "&wait=" + q.Wait.String()
	}
	value, changed, err := fetch(limited, r.Client, url)
	if limited.Err() == context.Canceled {
		return
	}
	value.Err = err
	r.Deliver(ctx, ReadAnswer{Number: q.Number, Value: value, Changed: changed})
}
