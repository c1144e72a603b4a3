package stream_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

func payload(sequence uint64) []byte { return []byte("p" + strconv.FormatUint(sequence, 10)) }

// Guards against lost, duplicated or reordered pieces when frames arrive late,
// twice, out of order or from earlier or later attempts.
func TestReceiverOrdersEveryArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.Uint64Range(1, 60).Draw(t, "length")
		var r stream.Receiver
		var got [][]byte
		for attempt := ident.Attempt(1); !r.Complete(); attempt++ {
			r.Begin(attempt)
			from := r.Delivered()
			var frames []uint64
			for s := from + 1; s <= length; s++ {
				frames = append(frames, s)
			}
			frames = append(frames, rapid.SliceOfN(rapid.Uint64Range(0, length), 0, 10).Draw(t, "repeats")...)
			if attempt < 4 {
				frames = frames[:rapid.IntRange(0, len(frames)).Draw(t, "cut")]
			}
			for _, s := range rapid.Permutation(frames).Draw(t, "order") {
				got = r.AddChunk(attempt, s, payload(s), got)
				stray := attempt + ident.Attempt(rapid.IntRange(-1, 1).Draw(t, "stray"))
				if stray != attempt {
					got = r.AddChunk(stray, r.Delivered()+1, []byte("stray"), got)
					r.SetLast(stray, r.Delivered())
				}
			}
			if attempt >= 4 {
				r.SetLast(attempt, length)
			}
		}
		must.Eq(t, length, uint64(len(got)))
		for n, p := range got {
			must.Eq(t, payload(uint64(n)+1), p)
		}
	})
}

// model is the expected state of a reader.
type model struct {
	after, got uint64
	credit     int64
}

// Guards against readers that get wrong pieces, more bytes than their credit or
// the end too early, and against streams that expire while they have readers.
func TestReadersGetEveryPieceWithinTheirCredit(t *testing.T) {
	machine, err := stream.NewMachine()
	must.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		base := rapid.Uint64Range(0, 5).Draw(t, "base")
		h := machine.NewBuffer(now, base, 1)
		readers := map[stream.ReaderID]*model{1: {after: base, got: base, credit: stream.WindowBytes}}
		next, produced := stream.ReaderID(2), base
		pick := func() stream.ReaderID { return stream.ReaderID(rapid.Uint64Range(1, uint64(next)).Draw(t, "reader")) }
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				if h.Ended() {
					t.Skip()
				}
				var pieces [][]byte
				for range rapid.IntRange(1, 40).Draw(t, "pieces") {
					produced++
					pieces = append(pieces, append(payload(produced), make([]byte, rapid.SampledFrom([]int{0, 9000}).Draw(t, "size"))...))
				}
				h.Append(pieces)
			},
			"take": func(t *rapid.T) {
				id := pick()
				pieces, end := h.Take(id, nil)
				m := readers[id]
				if m == nil {
					must.SliceEmpty(t, pieces)
					return
				}
				for _, p := range pieces {
					m.got++
					must.Eq(t, m.got, p.Sequence)
					must.StrHasPrefix(t, string(payload(m.got)), string(p.Payload))
					must.Positive(t, m.credit)
					m.credit -= stream.CreditCost(p.Payload)
				}
				must.Eq(t, h.Ended() && m.got == produced, end)
				if end {
					h.Detach(now, id)
					delete(readers, id)
				}
			},
			"credit": func(t *rapid.T) {
				id, bytes := pick(), rapid.Int64Range(1, stream.WindowBytes).Draw(t, "bytes")
				h.AddCredit(id, bytes)
				if m := readers[id]; m != nil {
					m.credit = min(m.credit+bytes, stream.WindowBytes)
				}
			},
			"attach": func(t *rapid.T) {
				after := rapid.Uint64Range(0, produced+2).Draw(t, "after")
				if h.Attach(now, next, after) {
					must.LessEq(t, produced, after)
					readers[next] = &model{after: after, got: after, credit: stream.WindowBytes}
					next++
				}
			},
			"detach": func(t *rapid.T) {
				id := pick()
				h.Detach(now, id)
				delete(readers, id)
			},
			"finish": func(t *rapid.T) {
				if h.Ended() {
					t.Skip()
				}
				h.Finish(now)
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 70).Draw(t, "seconds")) * time.Second)
				h.Tick(now)
				if len(readers) > 0 {
					must.False(t, h.Expired())
					must.False(t, h.StopWork())
				}
			},
			"": func(t *rapid.T) { must.Eq(t, produced, h.LastSequence()) },
		})
	})
}
