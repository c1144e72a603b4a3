package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against dropping the answer of a client that reads, or one that is not complete,
// while another client does not take what is there for it.
func TestAnswersThatAreNotTakenAreDroppedFirst(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	piece := [][]byte{make([]byte, 1000)}
	request := func(n ticket) *activeRequest {
		return &activeRequest{ticket: n, deliveries: make(chan delivery, 1)}
	}
	collecting, reading, slow, stopped := request(1), request(2), request(3), request(4)
	d := &dispatch{
		requests: map[ticket]*activeRequest{1: collecting, 2: reading, 3: slow},
		held:     heldAnswers{maxBytes: 1 << 20, ended: map[*activeRequest]struct{}{stopped: {}}},
	}
	for n, r := range []*activeRequest{collecting, reading, slow, stopped} {
		r.readyPieces = piece
		d.holdPieces(now, r, piece)
		if r != collecting {
			r.deliverReady(now.Add(-time.Duration(n)*time.Second), nil)
		}
	}
	<-reading.deliveries
	must.Eq(t, stopped, d.leastTaken())
	d.countHeld()
	counted := d.held.bytes
	must.Eq(t, collecting.readyBytes+slow.deliveredBytes+stopped.deliveredBytes, counted)
	<-stopped.deliveries
	must.Eq(t, slow, d.leastTaken())
	<-slow.deliveries
	must.Eq(t, collecting, d.leastTaken())
	d.countHeld()
	must.MapEmpty(t, d.held.ended)
	must.Eq(t, collecting.readyBytes, d.held.bytes)
}

// Guards against requests that are kept after they have ended and their handlers have taken
// the answers.
func TestEndedRequestsAreForgotten(t *testing.T) {
	d := &dispatch{held: heldAnswers{maxBytes: 1 << 30, ended: make(map[*activeRequest]struct{})}}
	for n := range 10 * maxEnded {
		r := &activeRequest{deliveries: make(chan delivery, 1), deliveredBytes: int64(n%2) * 100_000}
		r.deliveries <- delivery{}
		d.holdEnded(r)
		<-r.deliveries
	}
	must.LessEq(t, maxEnded, len(d.held.ended))
}
