package link

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// lengthPrefixBytes is the size of the length before each frame. A WebSocket message
// holds one or more frames, so that they share one write and one read.
const lengthPrefixBytes = 4

// maxBatchBytes is the size in bytes from which on no more frames are added to a
// WebSocket message. A larger frame is sent all the same.
const maxBatchBytes = 64 << 10

// maxMessageBytes is the size in bytes of the largest WebSocket message that is read.
const maxMessageBytes = codec.MaxFrameBytes + lengthPrefixBytes + maxBatchBytes

// appendFrame appends a frame and its length prefix to the batch.
func appendFrame(batch, frame []byte) []byte {
	batch = binary.BigEndian.AppendUint32(batch, uint32(len(frame)))
	return append(batch, frame...)
}

// splitBatch decodes the frames of one WebSocket message and appends them to envelopes.
// The decoded messages do not refer to the batch.
func splitBatch(c *codec.Codec, batch []byte, envelopes []message.Envelope) ([]message.Envelope, error) {
	for len(batch) > 0 {
		if len(batch) < lengthPrefixBytes {
			return envelopes, errors.Wrapf(codec.ErrFrame, "length prefix truncated: %d of %d bytes", len(batch), lengthPrefixBytes)
		}
		size := binary.BigEndian.Uint32(batch)
		batch = batch[lengthPrefixBytes:]
		if uint64(size) > uint64(len(batch)) {
			return envelopes, errors.Wrapf(codec.ErrFrame, "frame truncated: %d of %d bytes", len(batch), size)
		}
		envelope, err := c.Decode(batch[:size])
		if err != nil {
			return envelopes, err
		}
		envelopes = append(envelopes, envelope)
		batch = batch[size:]
	}
	return envelopes, nil
}
