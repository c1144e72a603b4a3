package expertmap

import "fmt"

// Fingerprint describes all state that determines what the rank does next, so that the
// exhaustive search can tell states apart.
func (r *Rank) Fingerprint() string {
	f, c := r.State()
	e := r.engine
	text := fmt.Sprint(f, c, r.leader.State(), r.floor, r.highestSeen, r.view, e.epoch, e.state.Boot, e.state.Next, e.state.Armed, e.state.Entered,
		e.outstanding, e.queue, r.joining.epoch, r.joining.step, r.switching.epoch, r.switching.step, r.committed, r.promises, r.leadership.epoch, r.leadership.step, r.leadership.formed.epoch)
	for _, w := range r.leadership.replies {
		text += fmt.Sprint(w.Kind, w.Incarnation)
	}
	for _, p := range r.peers {
		text += fmt.Sprint(p.incarnation, p.view, p.pending)
	}
	return text
}
