package link

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// A WebSocket message holds one or more frames, each with its length before it,
// so that frames that are ready at once share one write and one read.
const lengthBytes = 4

// batchBytes is the size at which the writer stops adding frames to a WebSocket
// message. A single larger frame still travels, alone.
const batchBytes = 64 << 10

// readLimitBytes bounds one WebSocket message.
const readLimitBytes = codec.MaxFrameBytes + lengthBytes + batchBytes

// appendFrame adds one frame with its length to the batch.
func appendFrame(batch, frame []byte) []byte {
	batch = binary.BigEndian.AppendUint32(batch, uint32(len(frame)))
	return append(batch, frame...)
}

// splitBatch decodes the frames of one WebSocket message. The messages do not
// refer to the batch afterwards.
func splitBatch(c *codec.Codec, batch []byte, to []message.Envelope) ([]message.Envelope, error) {
	for len(batch) > 0 {
		if len(batch) < lengthBytes {
			return to, errors.Wrap(codec.ErrFrame, "a frame's length is cut off")
		}
		size := binary.BigEndian.Uint32(batch)
		batch = batch[lengthBytes:]
		if uint64(size) > uint64(len(batch)) {
			return to, errors.Wrapf(codec.ErrFrame, "a frame of %d bytes is cut off", size)
		}
		envelope, err := c.Decode(batch[:size])
		if err != nil {
			return to, err
		}
		to = append(to, envelope)
		batch = batch[size:]
	}
	return to, nil
}
