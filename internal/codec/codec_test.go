package codec_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

func newCodec(t testing.TB) *codec.Codec {
	c, err := codec.New()
	must.NoError(t, err)
	return c
}

// Guards against fields that are lost or swapped on the wire.
func TestRoundTrip(t *testing.T) {
	c := newCodec(t)
	offer := &message.Offer{Request: "r-1.s", Attempt: 2, Account: "a", Weight: 1.5, Class: "batch", RemainingMS: 7, Header: [][2]string{{"k", "v"}}, Body: []byte("b")}
	frame, err := c.Encode(message.Envelope{Stamp: 42, Message: offer})
	must.NoError(t, err)
	back, err := c.Decode(frame)
	must.NoError(t, err)
	must.Eq(t, message.Envelope{Stamp: 42, Message: offer}, back)
}

// Guards against a frame that makes the decoder panic, or that is decoded to a
// message which cannot be encoded again.
func FuzzDecode(f *testing.F) {
	c := newCodec(f)
	frame, err := c.Encode(message.Envelope{Message: &message.Chunk{Request: "r-1.s", Payload: []byte("x")}})
	must.NoError(f, err)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := c.Decode(data)
		if err != nil {
			must.ErrorIs(t, err, codec.ErrFrame)
			return
		}
		_, err = c.Encode(e)
		must.NoError(t, err)
	})
}
