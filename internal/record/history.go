package record

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/message"
)

// MaxValueBytes is the largest value that the configuration service holds.
const MaxValueBytes = 1 << 20

// historyLength is how many values a process keeps to make patches from. A peer
// that is further behind gets the whole value.
const historyLength = 8

// historyBytes bounds the memory of the kept values.
const historyBytes = 4 << 20

// patchWindow is the encoder's window. It covers the base and the value, so
// that every part of the value can refer to the base.
const patchWindow = 2 * MaxValueBytes

// dictionaryID marks the base of a patch within the frame.
const dictionaryID = 1

// ErrPatch marks a push that does not give the value that it names.
var ErrPatch = errors.New("record push does not apply")

// History keeps the latest values that a process has had in force and turns
// them into pushes. One task owns it.
type History struct {
	values []held
	// pushes caches what was made for the newest value, by base, since many
	// peers need the same patch.
	pushes map[message.Digest]message.RecordPush
}

type held struct {
	digest message.Digest
	value  []byte
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{pushes: make(map[message.Digest]message.RecordPush)}
}

// Add makes the value the newest one.
func (h *History) Add(digest message.Digest, value []byte) {
	h.values = append(h.values, held{digest, value})
	for len(h.values) > historyLength || (len(h.values) > 1 && h.bytes() > historyBytes) {
		h.values = h.values[1:]
	}
	clear(h.pushes)
}

func (h *History) bytes() int {
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

// Push returns the newest value for a peer that holds the base: a patch if the
// base is kept, and else the whole value. Both are compressed.
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
	packed, err := compress(value, old)
	if err != nil {
		return message.RecordPush{}, err
	}
	if old == nil {
		push.Whole = packed
	} else {
		push.Patch = packed
	}
	h.pushes[base] = push
	return push, nil
}

// Open returns the value of a push. The error wraps ErrPatch if the base is not
// kept or the result is not the value that the push names.
func (h *History) Open(push *message.RecordPush) ([]byte, error) {
	packed, base := push.Whole, []byte(nil)
	if len(push.Patch) > 0 {
		packed, base = push.Patch, h.find(push.Base)
		if base == nil {
			return nil, errors.Wrapf(ErrPatch, "base of revision %d is not kept", push.Base.Revision)
		}
	}
	value, err := decompress(packed, base)
	if err != nil {
		return nil, errors.Wrapf(ErrPatch, "%v", err)
	}
	if DigestOf(push.Record.Revision, value) != push.Record {
		return nil, errors.Wrap(ErrPatch, "the content does not match the digest")
	}
	return value, nil
}

func compress(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(patchWindow), zstd.WithLowerEncoderMem(true),
		// The digest already protects the content.
		zstd.WithEncoderCRC(false),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "record compression")
	}
	packed := encoder.EncodeAll(value, nil)
	return packed, errors.Wrap(encoder.Close(), "record compression")
}

func decompress(packed, base []byte) ([]byte, error) {
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
	return decoder.DecodeAll(packed, nil)
}
