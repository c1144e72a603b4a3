// Package platform reads the platform's configuration service and instance
// list. Its tasks hand what they read on by messages; nothing is written.
package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// RecordKey is the key of the configuration record at the configuration service.
const RecordKey = "anvilpoint.record"

// storeRevisionHeader carries the revision of the store as a whole.
const storeRevisionHeader = "Anvilpoint-Store-Revision"

// Timing of the configuration watch.
const (
	watchWait  = "25s"
	watchLimit = 30 * time.Second
	readLimit  = 5 * time.Second
	firstPause = 200 * time.Millisecond
	maxPause   = 5 * time.Second
)

// maxValueBytes is the largest value of the configuration service.
const maxValueBytes = 1 << 20

// Value is one value that the configuration service returned.
type Value struct {
	// StoreRevision is the revision of the store when the value was read.
	StoreRevision uint64
	Data          []byte
	// Err is set if the service did not answer; the other fields are then empty.
	Err error
}

// ConfigWatch is the task that reads the record and then waits for changes.
type ConfigWatch struct {
	// URL is the base URL of the configuration service.
	URL    string
	Client *http.Client
	// Deliver receives each value and each failure. It may block.
	Deliver func(ctx context.Context, v Value)
	// Random spreads the pauses after failures. The task owns it.
	Random *rand.Rand
}

// Run watches until the context ends.
func (w *ConfigWatch) Run(ctx context.Context) error {
	var after uint64
	known := false
	pause := firstPause
	for ctx.Err() == nil {
		value, changed, err := w.read(ctx, after, known)
		if err != nil {
			w.Deliver(ctx, Value{Err: err})
			if !sleep(ctx, jitter(w.Random, pause)) {
				return nil
			}
			pause = min(2*pause, maxPause)
			// The next read does not wait: the store may have been replaced and
			// its revision may be behind the one that was seen last.
			known = false
			continue
		}
		pause = firstPause
		known = true
		if changed {
			after = value.StoreRevision
			w.Deliver(ctx, value)
		}
	}
	return nil
}

func (w *ConfigWatch) read(ctx context.Context, after uint64, wait bool) (Value, bool, error) {
	url := w.URL + "/v1/values/" + RecordKey
	limit := readLimit
	if wait {
		url += "?after=" + strconv.FormatUint(after, 10) + "&wait=" + watchWait
		limit = watchLimit
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := get(limited, w.Client, url)
	if err != nil {
		return Value{}, false, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, false, nil
	default:
		return Value{}, false, errors.Errorf("configuration service answered %s", response.Status)
	}
	revision, err := strconv.ParseUint(response.Header.Get(storeRevisionHeader), 10, 64)
	if err != nil {
		return Value{}, false, errors.Wrap(err, "configuration service: store revision")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, false, errors.Wrap(err, "configuration service")
	}
	if len(data) > maxValueBytes {
		return Value{}, false, errors.Errorf("configuration service: the value is larger than %d bytes", maxValueBytes)
	}
	return Value{StoreRevision: revision, Data: data}, true, nil
}

func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform request")
	}
	response, err := client.Do(request)
	return response, errors.Wrap(err, "platform request")
}

// jitter returns a pause between half and one and a half times the given one.
func jitter(random *rand.Rand, pause time.Duration) time.Duration {
	return pause/2 + time.Duration(random.Int64N(int64(pause)))
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
