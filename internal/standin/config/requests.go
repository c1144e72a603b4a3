package config

import "time"

// request is a message to the store's task.
type request interface {
	serve(s *Store, now time.Time)
}

type (
	// putRequest stores a value.
	putRequest struct {
		key   string
		data  []byte
		reply chan<- uint64
	}
	// latestRequest reads the newest value, also during a fault.
	latestRequest struct {
		key   string
		reply chan<- []byte
	}
	// read is a read over HTTP. With wait it is kept until the key has a version
	// above the revision after.
	read struct {
		key   string
		after uint64
		wait  bool
		reply chan<- answer
	}
	// cancelRead withdraws a read whose wait has expired or whose client has
	// disconnected.
	cancelRead struct{ read *read }
	// faultRequest fires an event of the chart standin-store.
	faultRequest struct {
		event   string
		staleBy uint64
		reply   chan<- struct{}
	}
	// statsRequest asks for the statistics.
	statsRequest struct{ reply chan<- Stats }
)

// answerKind is the outcome of a read.
type answerKind int

const (
	found answerKind = iota
	missing
	unchanged
	// rateLimited means that the read was above the limit of reads per second.
	rateLimited
	// aborted means that the call ends without an answer.
	aborted
)

type answer struct {
	kind     answerKind
	data     []byte
	revision uint64
}

func (p *putRequest) serve(s *Store, _ time.Time) {
	s.revision++
	s.stats.Puts++
	s.versions[p.key] = append(s.versions[p.key], value{revision: s.revision, data: p.data})
	p.reply <- s.revision
	if s.lifecycle.In("serving") {
		s.notifyWatchers()
	}
}

func (l *latestRequest) serve(s *Store, _ time.Time) {
	versions := s.versions[l.key]
	if len(versions) == 0 {
		l.reply <- nil
		return
	}
	l.reply <- versions[len(versions)-1].data
}

func (r *read) serve(s *Store, now time.Time) {
	if s.lifecycle.In("down") {
		s.stats.Aborted++
		r.reply <- answer{kind: aborted}
		return
	}
	if !s.limiter.AllowN(now, 1) {
		s.stats.Refused++
		r.reply <- answer{kind: rateLimited}
		return
	}
	s.countRead(r, now)
	if a := s.lookUp(r); a.kind == found || !r.wait {
		r.reply <- a
		return
	}
	s.watchers[r] = struct{}{}
}

func (c *cancelRead) serve(s *Store, _ time.Time) { delete(s.watchers, c.read) }

func (f *faultRequest) serve(s *Store, now time.Time) {
	s.staleBy = f.staleBy
	s.lifecycle.Fire(now, f.event)
	f.reply <- struct{}{}
}

func (c *statsRequest) serve(s *Store, _ time.Time) {
	stats := s.stats
	stats.Waiting = len(s.watchers)
	stats.Revision = s.revision
	stats.State = s.lifecycle.State()
	c.reply <- stats
}

func (s *Store) countRead(r *read, now time.Time) {
	s.stats.Reads++
	if r.wait {
		s.stats.Watches++
	}
	if second := now.Unix(); second != s.currentSecond {
		s.currentSecond, s.readsInSecond = second, 0
	}
	s.readsInSecond++
	s.stats.ReadsInBusiestSecond = max(s.stats.ReadsInBusiestSecond, s.readsInSecond)
}

// lookUp returns the newest version of the key that is visible to readers.
func (s *Store) lookUp(r *read) answer {
	visible := s.revision
	if s.lifecycle.In("stale") {
		visible = s.frozenRevision
	}
	versions := s.versions[r.key]
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

// notifyWatchers answers the watches whose value has changed.
func (s *Store) notifyWatchers() {
	for r := range s.watchers {
		if a := s.lookUp(r); a.kind == found {
			r.reply <- a
			delete(s.watchers, r)
		}
	}
}

// abortWatchers ends every waiting read without an answer.
func (s *Store) abortWatchers() {
	for r := range s.watchers {
		s.stats.Aborted++
		r.reply <- answer{kind: aborted}
		delete(s.watchers, r)
	}
}

func (s *Store) freezeRevision() { s.frozenRevision = s.revision - min(s.staleBy, s.revision) }
