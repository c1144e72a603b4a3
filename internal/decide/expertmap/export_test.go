package expertmap

import "fmt"

// Fingerprint describes everything that decides what the rank does next, so
// that an exhaustive search can tell states apart.
func (r *Rank) Fingerprint() string {
	f, c := r.State()
	e := r.engine
	text := fmt.Sprint(f, c, r.leader.State(), r.floor, r.seen, r.view, e.epoch, e.state.Boot, e.state.Next, e.state.Armed, e.state.Entered,
		e.outstanding, e.waiting, r.join.epoch, r.join.step, r.next.epoch, r.next.step, r.committed, r.promises, r.lead.epoch, r.lead.step, r.lead.formed.epoch)
	for _, w := range r.lead.replies {
		text += fmt.Sprint(w.Kind, w.Incarnation)
	}
	for _, p := range r.peers {
		text += fmt.Sprint(p.incarnation, p.view, p.pending)
	}
	return text
}
