package link

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/message"
)

// delayWindow is the time, by the sender's clock, over which the minimum offset between
// arrival and sending is taken.
const delayWindow = 30 * time.Second

// delayEstimator estimates how long a frame was on its way without synchronized clocks:
// the minimum difference between arrival and the sender's stamp is taken for the clock
// skew, and any excess is the delay. The window moves with the sender's stamps, so that
// a receiver that was paused still compares the frames that waited for it with those
// from before the pause.
type delayEstimator struct {
	started bool
	// windowStart is the sender's stamp at which the current window began.
	windowStart time.Time
	// currentMin and previousMin are the minimum offsets of the current and the previous
	// window.
	currentMin, previousMin time.Duration
}

// observe returns the delay of a frame by its time of arrival and the sender's stamp.
func (e *delayEstimator) observe(arrived, sent time.Time) time.Duration {
	offset := arrived.Sub(sent)
	if !e.started {
		*e = delayEstimator{started: true, windowStart: sent, currentMin: offset, previousMin: offset}
	}
	if sent.Sub(e.windowStart) > delayWindow {
		e.windowStart, e.previousMin, e.currentMin = sent, e.currentMin, offset
	}
	e.currentMin = min(e.currentMin, offset)
	return offset - min(e.currentMin, e.previousMin)
}

// subtractDelay reduces the remaining time in a message by its delay, so that work whose
// frame was delayed is not run after its deadline.
func subtractDelay(m message.Message, delay time.Duration) {
	delayMS := delay.Milliseconds()
	switch m := m.(type) {
	case *message.Offer:
		m.RemainingMS -= delayMS
	case *message.Book:
		m.RemainingMS -= delayMS
	case *message.BookCommit:
		m.RemainingMS -= delayMS
	}
}
