package config

import "time"

// request is a message to the store's task.
type request interface {
	serve(s *Store, now time.Time)
}

type (
	// put stores a value.
	put struct {
		key   string
		data  []byte
		reply chan<- uint64
	}
	// latest reads the newest value, whatever the faults.
	latest struct {
		key   string
		reply chan<- []byte
	}
	// read is a reader's call. With a wait it is kept until the value changes.
	read struct {
		key   string
		after uint64
		wait  bool
		reply chan<- answer
	}
	// forget takes back a read whose wait has run out or whose reader has gone.
	forget struct{ read *read }
	// fault changes what readers see.
	fault struct {
		event string
		back  uint64
		reply chan<- struct{}
	}
	// count asks for the statistics.
	count struct{ reply chan<- Stats }
)

// answerKind says how a read ended.
type answerKind int

const (
	found answerKind = iota
	missing
	unchanged
	tooMany
	cutOff
)

type answer struct {
	kind     answerKind
	data     []byte
	revision uint64
}

func (p *put) serve(s *Store, _ time.Time) {
	s.revision++
	s.stats.Puts++
	s.history[p.key] = append(s.history[p.key], value{revision: s.revision, data: p.data})
	p.reply <- s.revision
	if s.mode.In("serving") {
		s.wake()
	}
}

func (l *latest) serve(s *Store, _ time.Time) {
	versions := s.history[l.key]
	if len(versions) == 0 {
		l.reply <- nil
		return
	}
	l.reply <- versions[len(versions)-1].data
}

func (r *read) serve(s *Store, now time.Time) {
	if s.mode.In("down") {
		s.stats.Cut++
		r.reply <- answer{kind: cutOff}
		return
	}
	if !s.limiter.AllowN(now, 1) {
		s.stats.Refused++
		r.reply <- answer{kind: tooMany}
		return
	}
	s.countRead(r, now)
	if a := s.look(r); a.kind == found || !r.wait {
		r.reply <- a
		return
	}
	s.watchers[r] = struct{}{}
}

func (f *forget) serve(s *Store, _ time.Time) { delete(s.watchers, f.read) }

func (f *fault) serve(s *Store, now time.Time) {
	s.back = f.back
	s.mode.Fire(now, f.event)
	f.reply <- struct{}{}
}

func (c *count) serve(s *Store, _ time.Time) {
	stats := s.stats
	stats.Waiting = len(s.watchers)
	stats.Revision = s.revision
	stats.State = s.mode.State()
	c.reply <- stats
}

func (s *Store) countRead(r *read, now time.Time) {
	s.stats.Reads++
	if r.wait {
		s.stats.Watches++
	}
	if second := now.Unix(); second != s.second {
		s.second, s.inSecond = second, 0
	}
	s.inSecond++
	s.stats.Busiest = max(s.stats.Busiest, s.inSecond)
}

// look returns what the reader may see now.
func (s *Store) look(r *read) answer {
	visible := s.revision
	if s.mode.In("stale") {
		visible = s.frozen
	}
	versions := s.history[r.key]
	for n := len(versions) - 1; n >= 0; n-- {
		v := versions[n]
		if v.revision > visible {
			continue
		}
		if v.revision <= r.after {
			return answer{kind: unchanged, revision: v.revision}
		}
		return answer{kind: found, data: v.data, revision: v.revision}
	}
	return answer{kind: missing}
}

// wake answers the watchers whose value has changed.
func (s *Store) wake() {
	for r := range s.watchers {
		if a := s.look(r); a.kind == found {
			r.reply <- a
			delete(s.watchers, r)
		}
	}
}

// cut ends every waiting read without an answer.
func (s *Store) cut() {
	for r := range s.watchers {
		s.stats.Cut++
		r.reply <- answer{kind: cutOff}
		delete(s.watchers, r)
	}
}

func (s *Store) freeze() { s.frozen = s.revision - min(s.back, s.revision) }
