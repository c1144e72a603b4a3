package sidecar

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	streamsCapacity = 1024
	streamsTick     = 500 * time.Millisecond
)

// streamMessage is a message to the streams task.
type streamMessage interface{ isStreamMessage() }

type (
	// openStream begins the answer of an attempt. Stop ends its call.
	openStream struct {
		key     execution.Key
		account ident.ClientAccount
		resume  uint64
		link    *link.Link
		stop    context.CancelFunc
	}
	// appendStream carries pieces that the backend server produced at once.
	appendStream struct {
		key    execution.Key
		pieces [][]byte
	}
	// mayContinue asks for room; it is answered once a reader has caught up.
	mayContinue struct {
		key   execution.Key
		reply chan<- bool
	}
	// finishStream ends the answer of an attempt.
	finishStream struct {
		key execution.Key
		end streamEnd
	}
	// creditFrame and attachFrame come from entries.
	creditFrame struct {
		link   *link.Link
		credit *message.Credit
	}
	attachFrame struct {
		link   *link.Link
		attach *message.Attach
	}
	// cancelReader says that nobody reads the attempt on the link any more.
	cancelReader struct {
		link *link.Link
		key  execution.Key
	}
	// linkDown says that nothing can be sent on the link any more.
	linkDown struct{ link *link.Link }
	// breakOff fails all live streams, so that entries resume them elsewhere.
	breakOff struct{ reason outcome.Reason }
	// askUnread asks how many streams still have something to send.
	askUnread struct{ reply chan<- int }
)

func (openStream) isStreamMessage()   {}
func (appendStream) isStreamMessage() {}
func (mayContinue) isStreamMessage()  {}
func (finishStream) isStreamMessage() {}
func (creditFrame) isStreamMessage()  {}
func (attachFrame) isStreamMessage()  {}
func (cancelReader) isStreamMessage() {}
func (linkDown) isStreamMessage()     {}
func (breakOff) isStreamMessage()     {}
func (askUnread) isStreamMessage()    {}

// streamEnd is how an answer ended.
type streamEnd struct {
	// failed is set if there is no whole answer.
	failed *outcome.Outcome
	status int
	header [][2]string
	output int64
}

// readerKey finds a reader by the frames that it sends.
type readerKey struct {
	link    *link.Link
	request ident.RequestID
	attempt ident.Attempt
}

// held is one stream.
type held struct {
	key     execution.Key
	account ident.ClientAccount
	holder  *stream.Buffer
	readers map[readerKey]stream.ReaderID
	stop    context.CancelFunc
	waiting chan<- bool
	end     streamEnd
}

// streams is the task that holds answers and sends them to their readers.
type streams struct {
	mailbox *task.Mailbox[streamMessage]
	machine *stream.Machine
	held    map[ident.RequestID]*held
	readers map[readerKey]*held
	nextID  stream.ReaderID
	scratch []stream.Piece
	metrics *metrics
}

func newStreams(m *metrics) (*streams, error) {
	machine, err := stream.NewMachine()
	return &streams{
		mailbox: task.NewMailbox[streamMessage](streamsCapacity, task.Block),
		machine: machine,
		held:    make(map[ident.RequestID]*held),
		readers: make(map[readerKey]*held),
		metrics: m,
	}, err
}

// run is the task.
func (s *streams) run(ctx context.Context) error {
	defer s.mailbox.Close()
	tick := time.NewTicker(streamsTick)
	defer tick.Stop()
	for {
		select {
		case m := <-s.mailbox.Receive():
			s.step(time.Now(), m)
		case now := <-tick.C:
			s.tick(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *streams) step(now time.Time, m streamMessage) {
	switch m := m.(type) {
	case openStream:
		s.open(now, m)
	case appendStream:
		s.append(now, m)
	case mayContinue:
		s.mayContinue(m)
	case finishStream:
		s.finish(now, m.key, m.end)
	case creditFrame:
		s.credit(now, m)
	case attachFrame:
		s.attach(now, m)
	case cancelReader:
		s.cancelReader(now, m)
	case linkDown:
		s.detachLink(now, m.link)
	case breakOff:
		s.breakOff(now, m.reason)
	case askUnread:
		m.reply <- s.unread()
	}
}

func (s *streams) open(now time.Time, m openStream) {
	if old, known := s.held[m.key.Request]; known {
		old.stop()
		s.forget(old)
	}
	id := s.newReader()
	h := &held{
		key: m.key, account: m.account, stop: m.stop,
		holder:  s.machine.NewBuffer(now, m.resume, id),
		readers: make(map[readerKey]stream.ReaderID),
	}
	s.held[m.key.Request] = h
	s.addReader(h, readerKey{link: m.link, request: m.key.Request, attempt: m.key.Attempt}, id)
}

func (s *streams) newReader() stream.ReaderID {
	s.nextID++
	return s.nextID
}

func (s *streams) addReader(h *held, key readerKey, id stream.ReaderID) {
	h.readers[key] = id
	s.readers[key] = h
}

// current returns the stream of the attempt unless a later attempt replaced it.
func (s *streams) current(key execution.Key) *held {
	h, known := s.held[key.Request]
	if !known || h.key != key {
		return nil
	}
	return h
}

func (s *streams) append(now time.Time, m appendStream) {
	h := s.current(m.key)
	if h == nil || h.holder.Ended() {
		return
	}
	h.holder.Append(m.pieces)
	s.pump(now, h)
}

func (s *streams) mayContinue(m mayContinue) {
	h := s.current(m.key)
	if h == nil || h.holder.Ended() {
		m.reply <- false
		return
	}
	h.waiting = m.reply
	h.release()
}

// release lets a paused call go on when a reader has caught up.
func (h *held) release() {
	if h.waiting == nil || h.holder.Congested() {
		return
	}
	h.waiting <- true
	h.waiting = nil
}

func (s *streams) finish(now time.Time, key execution.Key, end streamEnd) {
	h := s.current(key)
	if h == nil || h.holder.Ended() {
		return
	}
	h.end = end
	h.holder.Finish(now)
	s.pump(now, h)
}

// pump sends every reader what its credit allows.
func (s *streams) pump(now time.Time, h *held) {
	for key, id := range h.readers {
		if !s.send(h, key, id) {
			s.detach(now, h, key)
		}
	}
	h.release()
}

// send sends what the reader may have. False means that the reader is done with,
// because it got the end or its link takes nothing any more.
func (s *streams) send(h *held, key readerKey, id stream.ReaderID) bool {
	pieces, end := h.holder.Take(id, s.scratch[:0])
	s.scratch = pieces
	for _, p := range pieces {
		chunk := &message.Chunk{Request: key.request, Attempt: key.attempt, Sequence: p.Sequence, Payload: p.Payload}
		if !key.link.Send(chunk) {
			return false
		}
	}
	s.metrics.chunks.Add(float64(len(pieces)))
	if end {
		key.link.Send(h.endFor(key))
	}
	return !end
}

func (h *held) endFor(key readerKey) message.Message {
	if f := h.end.failed; f != nil {
		return &message.Failed{Request: key.request, Attempt: key.attempt, Kind: f.Kind, Reason: f.Reason}
	}
	return &message.Done{
		Request: key.request, Attempt: key.attempt, Last: h.holder.LastSequence(),
		Status: h.end.status, Header: h.end.header, Output: h.end.output,
	}
}

func (s *streams) credit(now time.Time, m creditFrame) {
	key := readerKey{link: m.link, request: m.credit.Request, attempt: m.credit.Attempt}
	h, known := s.readers[key]
	if !known {
		return
	}
	h.holder.AddCredit(h.readers[key], m.credit.Bytes)
	s.pump(now, h)
}

// attach lets an entry read a stream on. A stream of another account is treated
// like one that does not exist.
func (s *streams) attach(now time.Time, m attachFrame) {
	a := m.attach
	h, known := s.held[a.Request]
	id := s.newReader()
	if !known || h.account != a.Account || !h.holder.Attach(now, id, a.After) {
		m.link.Send(&message.Failed{Request: a.Request, Attempt: a.Attempt, Kind: outcome.NotRun, Reason: outcome.ReasonStreamGone})
		return
	}
	s.addReader(h, readerKey{link: m.link, request: a.Request, attempt: a.Attempt}, id)
	// A reader that has every piece so far may wait long for the next one.
	m.link.Send(&message.Accepted{Request: a.Request, Attempt: a.Attempt})
	s.pump(now, h)
}

// cancelReader removes a reader whose caller left. Work that nobody else reads
// is stopped at once.
func (s *streams) cancelReader(now time.Time, m cancelReader) {
	key := readerKey{link: m.link, request: m.key.Request, attempt: m.key.Attempt}
	h, known := s.readers[key]
	if !known {
		h = s.current(m.key)
	}
	if h == nil {
		return
	}
	s.detach(now, h, key)
	if len(h.readers) == 0 && !h.holder.Ended() {
		h.stop()
	}
}

func (s *streams) detachLink(now time.Time, l *link.Link) {
	for key, h := range s.readers {
		if key.link == l {
			s.detach(now, h, key)
		}
	}
}

func (s *streams) detach(now time.Time, h *held, key readerKey) {
	id := h.readers[key]
	delete(h.readers, key)
	delete(s.readers, key)
	h.holder.Detach(now, id)
	h.release()
}

func (s *streams) breakOff(now time.Time, reason outcome.Reason) {
	for _, h := range s.held {
		if h.holder.Ended() {
			continue
		}
		h.stop()
		failed := outcome.MayHaveRun(reason, "")
		s.finish(now, h.key, streamEnd{failed: &failed})
	}
}

// unread counts the streams that a reader has not got to the end of.
func (s *streams) unread() int {
	n := 0
	for _, h := range s.held {
		if len(h.readers) > 0 {
			n++
		}
	}
	return n
}

func (s *streams) tick(now time.Time) {
	for _, h := range s.held {
		h.holder.Tick(now)
		if h.holder.StopWork() {
			h.stop()
		}
		if h.holder.Expired() {
			s.forget(h)
		}
	}
	s.metrics.held.Set(float64(len(s.held)))
}

func (s *streams) forget(h *held) {
	for key := range h.readers {
		delete(s.readers, key)
	}
	if h.waiting != nil {
		h.waiting <- false
		h.waiting = nil
	}
	delete(s.held, h.key.Request)
}
