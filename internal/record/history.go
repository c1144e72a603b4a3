package record

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/message"
)

// MaxValueBytes is the largest value, in bytes, that the configuration service stores.
const MaxValueBytes = 1 << 20

// maxHistoryValues is the number of values that a process keeps as bases of
// patches. A peer with an older value gets the whole new value.
const maxHistoryValues = 8

// maxHistoryBytes limits the total size of the kept values in bytes. The newest
// value is kept at any size.
const maxHistoryBytes = 4 << 20

// patchWindowBytes is the window of the zstd encoder. It covers the base and the
// value, so that every part of the value can refer to the base.
const patchWindowBytes = 2 * MaxValueBytes

// dictionaryID identifies the base of a patch as the dictionary of a zstd frame.
const dictionaryID = 1

// ErrPatch marks a push from which the value that it names cannot be restored.
var ErrPatch = errors.New("record push does not apply")

// History keeps the values that were most recently in force at a process and
// makes pushes from them. One task owns it.
type History struct {
	values []revisionValue
	// pushes caches the pushes of the newest value by their base, since many peers
	// need the same patch.
	pushes map[message.Digest]message.RecordPush
}

type revisionValue struct {
	digest message.Digest
	value  []byte
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{pushes: make(map[message.Digest]message.RecordPush)}
}

// Add makes the value the newest one.
func (h *History) Add(digest message.Digest, value []byte) {
	h.values = append(h.values, revisionValue{digest, value})
	for len(h.values) > maxHistoryValues || (len(h.values) > 1 && h.totalBytes() > maxHistoryBytes) {
		h.values = h.values[1:]
	}
	clear(h.pushes)
}

func (h *History) totalBytes() int {
	total := 0
	for _, v := range h.values {
		total += len(v.value)
	}
	return total
}

// Newest returns the newest value, or false if there is none.
func (h *History) Newest() (message.Digest, []byte, bool) {
	if len(h.values) == 0 {
		return message.Digest{}, nil, false
	}
	last := h.values[len(h.values)-1]
	return last.digest, last.value, true
}

func (h *History) find(digest message.Digest) []byte {
	for _, v := range h.values {
		if v.digest == digest {
			return v.value
		}
	}
	return nil
}

// Push returns a push of the newest value to a peer that holds the base: a patch
// if the history still has the base, and the whole value otherwise. Both are
// compressed.
func (h *History) Push(base message.Digest) (message.RecordPush, error) {
	digest, value, ok := h.Newest()
	if !ok {
		return message.RecordPush{}, errors.New("no record to push")
	}
	old := h.find(base)
	if old == nil {
		base = message.Digest{}
	}
	if push, ok := h.pushes[base]; ok {
		return push, nil
	}
	push := message.RecordPush{Record: digest, Base: base}
	compressed, err := compress(value, old)
	if err != nil {
		return message.RecordPush{}, err
	}
	if old == nil {
		push.Whole = compressed
	} else {
		push.Patch = compressed
	}
	h.pushes[base] = push
	return push, nil
}

// Open restores the value of a push. The error wraps ErrPatch if the history does
// not have the base or the result does not match the digest in the push.
func (h *History) Open(push *message.RecordPush) ([]byte, error) {
	compressed, base := push.Whole, []byte(nil)
	if len(push.Patch) > 0 {
		compressed, base = push.Patch, h.find(push.Base)
		if base == nil {
			return nil, errors.Wrapf(ErrPatch, "the base, revision %d, is not in the history", push.Base.Revision)
		}
	}
	value, err := decompress(compressed, base)
	if err != nil {
		return nil, errors.Wrapf(ErrPatch, "decompress revision %d: %v", push.Record.Revision, err)
	}
	if DigestOf(push.Record.Revision, value) != push.Record {
		return nil, errors.Wrapf(ErrPatch, "the content does not match the digest of revision %d", push.Record.Revision)
	}
	return value, nil
}

func compress(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(patchWindowBytes), zstd.WithLowerEncoderMem(true),
		// The digest already detects corrupted content.
		zstd.WithEncoderCRC(false),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	compressed := encoder.EncodeAll(value, nil)
	return compressed, errors.Wrap(encoder.Close(), "compress record")
}

func decompress(compressed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxValueBytes),
	}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(compressed, nil)
}
