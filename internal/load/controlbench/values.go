package controlbench

import (
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// valueStore holds the published values, and parses each only once for all processes,
// because the result depends only on the value.
type valueStore struct {
	parsed map[string]parsed
	values map[message.Digest][]byte
}

// parsed is the result of record.Parse.
type parsed struct {
	snapshot *record.Snapshot
	faults   jsonc.Faults
}

func newValueStore() *valueStore {
	return &valueStore{parsed: make(map[string]parsed), values: make(map[message.Digest][]byte)}
}

func (s *valueStore) parse(file string, value []byte) (*record.Snapshot, jsonc.Faults) {
	if result, ok := s.parsed[string(value)]; ok {
		return result.snapshot, result.faults
	}
	snapshot, faults := record.Parse(file, value)
	s.parsed[string(value)] = parsed{snapshot, faults}
	return snapshot, faults
}

const (
	// maxDigests is the number of values that a history keeps as bases of patches.
	maxDigests = 8
	// patchSize is the size of a patch in bytes.
	patchSize = 200
)

// fakeHistory replaces record.History without the cost of compression: a push only
// names its value. As with the real one, a patch cannot be opened without its base.
type fakeHistory struct {
	store *valueStore
	// digests are the last maxDigests values, the newest last.
	digests []message.Digest
}

func newFakeHistory(store *valueStore) *fakeHistory { return &fakeHistory{store: store} }

// Add implements control.History.
func (h *fakeHistory) Add(digest message.Digest, value []byte) {
	h.store.values[digest] = value
	h.digests = append(h.digests, digest)
	h.digests = h.digests[max(0, len(h.digests)-maxDigests):]
}

// Push implements control.History.
func (h *fakeHistory) Push(base message.Digest) (message.RecordPush, error) {
	if len(h.digests) == 0 {
		return message.RecordPush{}, errors.New("push record: history is empty")
	}
	push := message.RecordPush{Record: h.digests[len(h.digests)-1]}
	if h.holds(base) {
		push.Base, push.Patch = base, make([]byte, patchSize)
		return push, nil
	}
	// The length does not matter: measurements of size use record.History.
	push.Whole = make([]byte, 1)
	return push, nil
}

// Open implements control.History.
func (h *fakeHistory) Open(push *message.RecordPush) ([]byte, error) {
	value, ok := h.store.values[push.Record]
	if !ok || (push.Base != (message.Digest{}) && !h.holds(push.Base)) {
		return nil, record.ErrPatch
	}
	return value, nil
}

func (h *fakeHistory) holds(d message.Digest) bool {
	for _, digest := range h.digests {
		if digest == d {
			return true
		}
	}
	return false
}
