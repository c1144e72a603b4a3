package link

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/message"
)

// delayWindow is the time of the sender's clock over which the least offset
// between the two clocks is kept.
const delayWindow = 30 * time.Second

// delayGauge tells how long a frame was on the way, without clocks that agree:
// the least difference between arrival and the sender's stamp stands for the
// skew of the clocks, and what a frame has beyond it is delay. The window moves
// with the sender's stamps, so that a receiver that was paused still compares
// the frames that waited for it with those from before the pause.
type delayGauge struct {
	begun             bool
	start             time.Time
	current, previous time.Duration
}

// observe takes the time of arrival and the sender's stamp of a frame, and
// returns the frame's delay.
func (g *delayGauge) observe(arrived, sent time.Time) time.Duration {
	offset := arrived.Sub(sent)
	if !g.begun {
		*g = delayGauge{begun: true, start: sent, current: offset, previous: offset}
	}
	if sent.Sub(g.start) > delayWindow {
		g.start, g.previous, g.current = sent, g.current, offset
	}
	g.current = min(g.current, offset)
	return offset - min(g.current, g.previous)
}

// age shortens the remaining time that a message carries by its delay, so that
// work whose frame was delayed is not run after its deadline.
func age(m message.Message, delay time.Duration) {
	late := delay.Milliseconds()
	switch m := m.(type) {
	case *message.Offer:
		m.RemainingMS -= late
	case *message.Book:
		m.RemainingMS -= late
	case *message.BookCommit:
		m.RemainingMS -= late
	}
}
