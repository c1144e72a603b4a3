// Package codec encodes messages as frames and decodes them. A frame is the kind
// (one byte), the stamp of the sender's hybrid logical clock (8 bytes, big endian)
// and the message as a CBOR array.
package codec

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// MaxFrameBytes is the size of the largest frame that is sent or accepted, in bytes.
const MaxFrameBytes = 4 << 20

// headerBytes is the size of a frame before the CBOR data: the kind and the stamp.
const headerBytes = 1 + 8

// Limits on nested data, so that a malicious frame cannot exhaust memory.
const (
	maxArrayElements = 65536
	maxMapPairs      = 65536
	maxNestedLevels  = 16
)

// ErrFrame marks a frame that is too short, too large, of an unknown kind or not
// the CBOR encoding of its kind of message.
var ErrFrame = errors.New("invalid frame")

// Codec encodes and decodes frames. It is immutable.
type Codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
}

// New returns a codec.
func New() (*Codec, error) {
	// Floats take 3 bytes instead of 9 if their value can be encoded exactly, such as
	// the zeros in the heartbeats of an idle process.
	encode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR encoder")
	}
	decode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR decoder")
	}
	return &Codec{encode: encode, decode: decode}, nil
}

// Encode returns the frame of an envelope.
func (c *Codec) Encode(e message.Envelope) ([]byte, error) {
	body, err := c.encode.Marshal(e.Message)
	if err != nil {
		return nil, errors.Wrapf(err, "encode message kind %d", message.KindOf(e.Message))
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	frame[0] = byte(message.KindOf(e.Message))
	binary.BigEndian.PutUint64(frame[1:], uint64(e.Stamp))
	frame = append(frame, body...)
	if len(frame) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrame, "encode message kind %d: %d bytes exceed the limit of %d bytes", frame[0], len(frame), MaxFrameBytes)
	}
	return frame, nil
}

// Decode reads a frame. The error wraps ErrFrame.
func (c *Codec) Decode(frame []byte) (message.Envelope, error) {
	if len(frame) < headerBytes || len(frame) > MaxFrameBytes {
		return message.Envelope{}, errors.Wrapf(ErrFrame, "length of %d bytes is not between %d and %d", len(frame), headerBytes, MaxFrameBytes)
	}
	m := message.New(message.Kind(frame[0]))
	if m == nil {
		return message.Envelope{}, errors.Wrapf(ErrFrame, "unknown message kind %d", frame[0])
	}
	if err := c.decode.Unmarshal(frame[headerBytes:], m); err != nil {
		return message.Envelope{}, errors.Wrapf(ErrFrame, "decode message kind %d: %v", frame[0], err)
	}
	stamp := hlc.Stamp(binary.BigEndian.Uint64(frame[1:headerBytes]))
	return message.Envelope{Stamp: stamp, Message: m}, nil
}

// EncodePayload encodes the payload of a message that carries another protocol.
func (c *Codec) EncodePayload(v any) ([]byte, error) { return c.encode.Marshal(v) }

// DecodePayload reads the payload of a message that carries another protocol.
func (c *Codec) DecodePayload(data []byte, v any) error {
	return errors.Wrap(c.decode.Unmarshal(data, v), "decode payload")
}
