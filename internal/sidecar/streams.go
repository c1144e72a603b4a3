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
	streamsMailboxCapacity = 1024
	streamsTickInterval    = 500 * time.Millisecond
)

// streamMessage is a message to the streams task.
type streamMessage interface{ isStreamMessage() }

type (
	// openStream opens the answer stream of an attempt. Resume is the number of
	// output tokens that the caller already has, and stop ends the call.
	openStream struct {
		key     execution.Key
		account ident.ClientAccount
		resume  uint64
		link    *link.Link
		stop    context.CancelFunc
	}
	// appendStream adds pieces that the backend server produced together.
	appendStream struct {
		key    execution.Key
		pieces [][]byte
	}
	// askContinue asks whether the call should go on. The reply is delayed while all
	// readers lag, and false when the stream has ended.
	askContinue struct {
		key   execution.Key
		reply chan<- bool
	}
	// finishStream ends the answer stream of an attempt.
	finishStream struct {
		key execution.Key
		end streamEnd
	}
	// creditFrame is an entry's credit for a reader.
	creditFrame struct {
		link   *link.Link
		credit *message.Credit
	}
	// attachFrame is an entry's request to read a stream.
	attachFrame struct {
		link   *link.Link
		attach *message.Attach
	}
	// cancelReader reports that the attempt is no longer read on the link.
	cancelReader struct {
		link *link.Link
		key  execution.Key
	}
	// linkDown reports that the link has closed.
	linkDown struct{ link *link.Link }
	// failLiveStreams fails all streams that have not ended, so that entries resume
	// them on other backend servers.
	failLiveStreams struct{ reason outcome.Reason }
	// askUnreadCount asks how many streams have a reader that lacks the end.
	askUnreadCount struct{ reply chan<- int }
)

func (openStream) isStreamMessage()      {}
func (appendStream) isStreamMessage()    {}
func (askContinue) isStreamMessage()     {}
func (finishStream) isStreamMessage()    {}
func (creditFrame) isStreamMessage()     {}
func (attachFrame) isStreamMessage()     {}
func (cancelReader) isStreamMessage()    {}
func (linkDown) isStreamMessage()        {}
func (failLiveStreams) isStreamMessage() {}
func (askUnreadCount) isStreamMessage()  {}

// streamEnd is the status with which an answer ended.
type streamEnd struct {
	// failed is set if the answer is missing or incomplete.
	failed *outcome.Outcome
	status int
	header [][2]string
	// output is the number of output tokens.
	output int64
}

// readerKey identifies a reader by the fields of the frames that it sends.
type readerKey struct {
	link    *link.Link
	request ident.RequestID
	attempt ident.Attempt
}

// answerStream is the answer of one attempt and its readers.
type answerStream struct {
	key     execution.Key
	account ident.ClientAccount
	buffer  *stream.Buffer
	readers map[readerKey]stream.ReaderID
	// stop ends the call at the backend server.
	stop context.CancelFunc
	// continueReply is the reply that a paused call waits for, or nil.
	continueReply chan<- bool
	// end is valid once the buffer has ended.
	end streamEnd
}

// streams is the task that buffers answers and sends them to their readers.
type streams struct {
	mailbox   *task.Mailbox[streamMessage]
	machine   *stream.Machine
	byRequest map[ident.RequestID]*answerStream
	readers   map[readerKey]*answerStream
	nextID    stream.ReaderID
	scratch   []stream.Piece
	metrics   *metrics
}

func newStreams(m *metrics) (*streams, error) {
	machine, err := stream.NewMachine()
	return &streams{
		mailbox:   task.NewMailbox[streamMessage](streamsMailboxCapacity, task.Block),
		machine:   machine,
		byRequest: make(map[ident.RequestID]*answerStream),
		readers:   make(map[readerKey]*answerStream),
		metrics:   m,
	}, err
}

// run handles messages and timers until the context ends.
func (s *streams) run(ctx context.Context) error {
	defer s.mailbox.Close()
	tick := time.NewTicker(streamsTickInterval)
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
	case askContinue:
		s.askContinue(m)
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
	case failLiveStreams:
		s.failLive(now, m.reason)
	case askUnreadCount:
		m.reply <- s.unread()
	}
}

func (s *streams) open(now time.Time, m openStream) {
	if old, known := s.byRequest[m.key.Request]; known {
		old.stop()
		s.remove(old)
	}
	id := s.newReader()
	a := &answerStream{
		key: m.key, account: m.account, stop: m.stop,
		buffer:  s.machine.NewBuffer(now, m.resume, id),
		readers: make(map[readerKey]stream.ReaderID),
	}
	s.byRequest[m.key.Request] = a
	s.addReader(a, readerKey{link: m.link, request: m.key.Request, attempt: m.key.Attempt}, id)
}

func (s *streams) newReader() stream.ReaderID {
	s.nextID++
	return s.nextID
}

func (s *streams) addReader(a *answerStream, key readerKey, id stream.ReaderID) {
	a.readers[key] = id
	s.readers[key] = a
}

// current returns the stream of the attempt, or nil if there is none or a later
// attempt has replaced it.
func (s *streams) current(key execution.Key) *answerStream {
	a, known := s.byRequest[key.Request]
	if !known || a.key != key {
		return nil
	}
	return a
}

func (s *streams) append(now time.Time, m appendStream) {
	a := s.current(m.key)
	if a == nil || a.buffer.Ended() {
		return
	}
	a.buffer.Append(m.pieces)
	s.pump(now, a)
}

func (s *streams) askContinue(m askContinue) {
	a := s.current(m.key)
	if a == nil || a.buffer.Ended() {
		m.reply <- false
		return
	}
	a.continueReply = m.reply
	a.resumeCall()
}

// resumeCall lets a paused call go on once a reader has caught up.
func (a *answerStream) resumeCall() {
	if a.continueReply == nil || a.buffer.Congested() {
		return
	}
	a.continueReply <- true
	a.continueReply = nil
}

func (s *streams) finish(now time.Time, key execution.Key, end streamEnd) {
	a := s.current(key)
	if a == nil || a.buffer.Ended() {
		return
	}
	a.end = end
	a.buffer.Finish(now)
	s.pump(now, a)
}

// pump sends each reader the pieces that its credit allows.
func (s *streams) pump(now time.Time, a *answerStream) {
	for key, id := range a.readers {
		if !s.send(a, key, id) {
			s.detach(now, a, key)
		}
	}
	a.resumeCall()
}

// send sends the pieces that the reader's credit allows. False means that the
// reader should be detached: it has the end of the stream, or its link is closed.
func (s *streams) send(a *answerStream, key readerKey, id stream.ReaderID) bool {
	pieces, end := a.buffer.Take(id, s.scratch[:0])
	s.scratch = pieces
	for _, p := range pieces {
		chunk := &message.Chunk{Request: key.request, Attempt: key.attempt, Sequence: p.Sequence, Payload: p.Payload}
		if !key.link.Send(chunk) {
			return false
		}
	}
	s.metrics.chunks.Add(float64(len(pieces)))
	if end {
		key.link.Send(a.endMessage(key))
	}
	return !end
}

func (a *answerStream) endMessage(key readerKey) message.Message {
	if f := a.end.failed; f != nil {
		return &message.Failed{Request: key.request, Attempt: key.attempt, Kind: f.Kind, Reason: f.Reason}
	}
	return &message.Done{
		Request: key.request, Attempt: key.attempt, Last: a.buffer.LastSequence(),
		Status: a.end.status, Header: a.end.header, Output: a.end.output,
	}
}

func (s *streams) credit(now time.Time, m creditFrame) {
	key := readerKey{link: m.link, request: m.credit.Request, attempt: m.credit.Attempt}
	a, known := s.readers[key]
	if !known {
		return
	}
	a.buffer.AddCredit(a.readers[key], m.credit.Bytes)
	s.pump(now, a)
}

// attach adds a reader that continues a stream. A stream of another account is
// treated as missing.
func (s *streams) attach(now time.Time, m attachFrame) {
	frame := m.attach
	a, known := s.byRequest[frame.Request]
	id := s.newReader()
	if !known || a.account != frame.Account || !a.buffer.Attach(now, id, frame.After) {
		m.link.Send(&message.Failed{Request: frame.Request, Attempt: frame.Attempt, Kind: outcome.NotRun, Reason: outcome.ReasonStreamGone})
		return
	}
	s.addReader(a, readerKey{link: m.link, request: frame.Request, attempt: frame.Attempt}, id)
	// Accepted is sent at once, because the next piece may be long in coming.
	m.link.Send(&message.Accepted{Request: frame.Request, Attempt: frame.Attempt})
	s.pump(now, a)
}

// cancelReader removes a reader whose caller has left. A call without readers is
// stopped at once.
func (s *streams) cancelReader(now time.Time, m cancelReader) {
	key := readerKey{link: m.link, request: m.key.Request, attempt: m.key.Attempt}
	a, known := s.readers[key]
	if !known {
		a = s.current(m.key)
	}
	if a == nil {
		return
	}
	s.detach(now, a, key)
	if len(a.readers) == 0 && !a.buffer.Ended() {
		a.stop()
	}
}

func (s *streams) detachLink(now time.Time, l *link.Link) {
	for key, a := range s.readers {
		if key.link == l {
			s.detach(now, a, key)
		}
	}
}

func (s *streams) detach(now time.Time, a *answerStream, key readerKey) {
	id := a.readers[key]
	delete(a.readers, key)
	delete(s.readers, key)
	a.buffer.Detach(now, id)
	a.resumeCall()
}

// failLive stops the calls of all streams that have not ended and fails them.
func (s *streams) failLive(now time.Time, reason outcome.Reason) {
	for _, a := range s.byRequest {
		if a.buffer.Ended() {
			continue
		}
		a.stop()
		failed := outcome.MayHaveRun(reason, "")
		s.finish(now, a.key, streamEnd{failed: &failed})
	}
}

// unread returns the number of streams with a reader that has not been sent the end.
func (s *streams) unread() int {
	n := 0
	for _, a := range s.byRequest {
		if len(a.readers) > 0 {
			n++
		}
	}
	return n
}

func (s *streams) tick(now time.Time) {
	for _, a := range s.byRequest {
		a.buffer.Tick(now)
		if a.buffer.StopWork() {
			a.stop()
		}
		if a.buffer.Expired() {
			s.remove(a)
		}
	}
	s.metrics.streams.Set(float64(len(s.byRequest)))
}

func (s *streams) remove(a *answerStream) {
	for key := range a.readers {
		delete(s.readers, key)
	}
	if a.continueReply != nil {
		a.continueReply <- false
		a.continueReply = nil
	}
	delete(s.byRequest, a.key.Request)
}
