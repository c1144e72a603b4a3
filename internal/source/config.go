// Package source reads the platform's configuration service and instance
// list. Its tasks hand what they read on by messages; nothing is written.
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

// storeRevisionHeader carries the revision of the store as a whole.
const storeRevisionHeader = "Anvilpoint-Store-Revision"

// readLimit bounds one read of the instance list.
const readLimit = 5 * time.Second

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

// fetch reads the value at the URL. The second result is false if the service
// has nothing newer; the store's revision is then set if the service names it.
func fetch(ctx context.Context, client *http.Client, url string) (Value, bool, error) {
	response, err := get(ctx, client, url)
	if err != nil {
		return Value{}, false, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified, http.StatusNotFound:
		// Without the header the revision stays 0, which means that it is not known.
		revision, _ := strconv.ParseUint(response.Header.Get(storeRevisionHeader), 10, 64)
		return Value{StoreRevision: revision}, false, nil
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
