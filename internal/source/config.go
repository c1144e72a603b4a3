// Package source reads the platform's configuration service and instance list.
// Its tasks pass on what they read by messages. It never writes to the platform.
package source

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

// storeRevisionHeader is the response header with the revision of the whole store.
const storeRevisionHeader = "Anvilpoint-Store-Revision"

// listReadTimeout bounds one read of the instance list.
const listReadTimeout = 5 * time.Second

// maxValueBytes is the maximum size of a value of the configuration service.
const maxValueBytes = 1 << 20

// Value is the result of one read of the configuration service.
type Value struct {
	// StoreRevision is the revision of the store when the value was read.
	StoreRevision uint64
	Data          []byte
	// Err is set if the read failed; the other fields are then zero.
	Err error
}

// fetch reads the value at the URL. The second result is false if the service
// has nothing newer; StoreRevision is then set if the service reports it.
func fetch(ctx context.Context, client *http.Client, url string) (Value, bool, error) {
	response, err := get(ctx, client, url)
	if err != nil {
		return Value{}, false, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified, http.StatusNotFound:
		// Without the header the revision stays 0, which means unknown.
		revision, _ := strconv.ParseUint(response.Header.Get(storeRevisionHeader), 10, 64)
		return Value{StoreRevision: revision}, false, nil
	default:
		return Value{}, false, errors.Errorf("read %s: configuration service answered %s", url, response.Status)
	}
	revision, err := strconv.ParseUint(response.Header.Get(storeRevisionHeader), 10, 64)
	if err != nil {
		return Value{}, false, errors.Wrapf(err, "read %s: parse header %s", url, storeRevisionHeader)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, false, errors.Wrapf(err, "read %s: read body", url)
	}
	if len(data) > maxValueBytes {
		return Value{}, false, errors.Errorf("read %s: value is larger than %d bytes", url, maxValueBytes)
	}
	return Value{StoreRevision: revision, Data: data}, true, nil
}

func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "create request for %s", url)
	}
	response, err := client.Do(request)
	return response, errors.Wrap(err, "send request to the platform")
}

// jitter returns a random duration between 0.5 and 1.5 times the given one.
func jitter(random *rand.Rand, pause time.Duration) time.Duration {
	return pause/2 + time.Duration(random.Int64N(int64(pause)))
}
