package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/thymerack/thymerack/coordination/placement"
)

// Stream is an answer of numbered events, passed on whole event by whole event.
// One goroutine uses it at a time.
type Stream struct {
	d      *Dispatcher
	ctx    context.Context
	a      *Attempt
	rec    *record
	runner *placement.Runner
	resp   Response
	sent   *sending
	// firstWatch has ended its watch; its context is that of the attempt.
	firstWatch *firstEventWatch
	// watch looks after a run with a backup, or nil; moves is how often it went on from one.
	watch     *watch
	failovers int

	started time.Time
	// buf holds what was read; the first whole bytes of it are whole events that
	// Next has not returned yet.
	buf   []byte
	ready int
	// lastID is the id of the last whole event read.
	lastID string
	events int
	eof    bool
	closed bool
}

// eventTerminator ends an event.
var eventTerminator = []byte("\n\n")

// eventIDField begins the line with an event's id.
var eventIDField = []byte("id:")

// ErrStreamInterrupted says that a stream ended before its last event.
var ErrStreamInterrupted = errors.New("the stream was cut and can't be resumed; ask again")

// errFirstEventTimeout says that an engine didn't begin in its time.
var errFirstEventTimeout = errors.New("the first event was overdue and the engine silent; another one was asked")

// ErrCallerLeft says that a stream's caller closed its connection.
var ErrCallerLeft = errors.New("the caller left before the stream's end; nothing is to be done")

// streamReadSize is how much of a stream is read at once; events of the platform's
// runners have some hundred bytes.
const streamReadSize = 4 << 10

// openStream waits for the first event.
func (d *Dispatcher) openStream(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record, resp Response, sent *sending, started time.Time, firstWatch *firstEventWatch) (*Answer, outcome) {
	s := &Stream{d: d, ctx: ctx, firstWatch: firstWatch, a: a, rec: rec, runner: runner, resp: resp, sent: sent, started: started, lastID: a.LastEventID}
	var err error
	if !resp.Head().Signed {
		err = errUnsigned
	}
	for err == nil && s.ready == 0 && !s.eof {
		err = s.fill()
	}
	firstWatch.stop()
	if err == nil && firstWatch.timedOut.Load() {
		err = errFirstEventTimeout // the connection has been cut
	}
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		s.closeRun()
		d.noteBrokenConnection(ctx, runner)
		d.reportSuspect(ctx, a.Request, runner, rec, took, false)
		rec.addStep(a.Instance, "run", outcomeUnknown, took, err)
		return nil, outcomeUnknown
	}
	d.noteStarted(a.Request, rec, d.o.Clock.Now())
	runner.Answered(took)
	sent.answered()
	if a.Source != nil {
		d.firstEvents.observe(a.Request.Service, took)
	}
	s.startWatch()
	return &Answer{Head: resp.Head(), Stream: s}, outcomeAnswered
}

// Next returns the next whole events; they are valid until the next call. io.EOF
// is the end of a whole stream.
func (s *Stream) Next() ([]byte, error) {
	for {
		if s.ready > 0 {
			out := s.buf[:s.ready]
			s.buf, s.ready = s.buf[s.ready:], 0
			return out, nil
		}
		if s.eof {
			return s.remainder()
		}
		if err := s.fill(); err != nil && !s.resume(err) {
			return nil, s.endError()
		}
	}
}

// endError is why a stream ends before its last event.
func (s *Stream) endError() error {
	if errors.Is(s.ctx.Err(), context.Canceled) {
		return ErrCallerLeft
	}
	return ErrStreamInterrupted
}

// remainder returns what stands behind the last whole event at the end.
func (s *Stream) remainder() ([]byte, error) {
	if len(s.buf) == 0 {
		return nil, io.EOF
	}
	out := s.buf
	s.buf = nil
	return out, nil
}

// fill reads some of the body and finds the events in it.
func (s *Stream) fill() error {
	if cap(s.buf)-len(s.buf) < streamReadSize/2 {
		s.buf = append(make([]byte, 0, len(s.buf)+streamReadSize), s.buf...)
	}
	n, err := s.resp.Read(s.buf[len(s.buf):cap(s.buf)])
	if n > 0 {
		s.noteHeard()
	}
	before := len(s.buf)
	s.buf = s.buf[:before+n]
	s.scanEvents(max(0, before-len(eventTerminator)))
	if err == io.EOF {
		s.eof = true
		return nil
	}
	return err
}

// scanEvents moves the mark of whole events behind the last event end from from on.
func (s *Stream) scanEvents(from int) {
	from = max(from, s.ready)
	for {
		i := bytes.Index(s.buf[from:], eventTerminator)
		if i < 0 {
			return
		}
		end := from + i + len(eventTerminator)
		s.noteEvent(s.buf[s.ready:end])
		s.ready, from = end, end
	}
}

// noteEvent takes the id of a whole event.
func (s *Stream) noteEvent(event []byte) {
	s.events++
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, eventIDField); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// resume goes on with a stream that broke off, if there is a way.
func (s *Stream) resume(cause error) bool {
	if s.a.Request.runsOnce() {
		return s.goOn(cause)
	}
	return s.resumeElsewhere(cause)
}

// resumeElsewhere goes on at another runner after the last whole event, if the route
// allows it. What was read of a later event is dropped.
func (s *Stream) resumeElsewhere(cause error) bool {
	r := s.a.Request
	s.closeRun()
	s.noteBrokenRun()
	s.rec.addStep(s.a.Instance, "run", outcomeUnknown, s.d.o.Clock.Now().Sub(s.started), cause)
	for s.d.checkDeadline(s.ctx, r, s.rec) == nil && s.d.takeRetry(r, s.rec) {
		c, err := s.d.pick(s.ctx, r, s.rec, s.d.o.Clock.Now().Add(resumeWait))
		if err != nil {
			return false
		}
		if s.d.checkBeforeSend(s.ctx, r, s.rec) != nil {
			c.giveBack()
			return false
		}
		if s.resumeAt(c) {
			return true
		}
	}
	return false
}

// noteBrokenRun notes that the present run broke off.
func (s *Stream) noteBrokenRun() {
	s.d.noteBrokenConnection(s.ctx, s.runner)
	s.d.reportSuspect(s.ctx, s.a.Request, s.runner, s.rec, s.d.o.Clock.Now().Sub(s.started), true)
}

func (s *Stream) resumeAt(c choice) bool {
	return s.resumeWith(&Attempt{Request: s.a.Request, Instance: c.Instance, LastEventID: s.lastID, Rank: c.rank(s.a.Request)}, c)
}

// resumeWith makes an attempt that goes on after the last whole event.
func (s *Stream) resumeWith(a *Attempt, c choice) bool {
	runner, sent := c.Runner, c.begin()
	if !c.permitted && !s.d.permitted(s.ctx, a.Instance, "resume", s.rec, resumeWait) {
		sent.end()
		return false
	}
	s.rec.exclude(a.Instance)
	a.TimeLeft = s.d.timeLeft(a.Request)
	started := s.d.o.Clock.Now()
	resp, err := s.d.send(s.ctx, a)
	took := s.d.o.Clock.Now().Sub(started)
	if err != nil {
		sent.end()
		s.d.noteSendError(s.ctx, a, runner, s.rec, "resume", took, err)
		return false
	}
	s.rec.countAttempt()
	head := resp.Head()
	if head.NotRun || !head.EventStream || !head.Signed || head.Status != statusOK {
		resp.Abort()
		sent.end()
		s.d.noteRefusal(runner, head)
		s.rec.addStep(a.Instance, "resume", outcomeNotRun, took, &statusError{head.Status})
		return false
	}
	sent.answered()
	s.a, s.runner, s.resp, s.sent, s.started = a, runner, resp, sent, started
	s.buf, s.ready, s.eof, s.closed = nil, 0, false, false
	s.startWatch()
	return true
}

// closeRun ends the present run.
func (s *Stream) closeRun() {
	if s.closed {
		return
	}
	s.closed = true
	s.stopWatch()
	s.resp.Abort()
	s.firstWatch.cancel()
	s.sent.end()
}

// Close ends the stream. A stream that isn't read to its end is cut, which
// cancels the work. err is why the caller got no more; nil after a whole stream.
func (s *Stream) Close(err error) {
	took := s.d.o.Clock.Now().Sub(s.started)
	s.stopWatch()
	if !s.closed {
		s.closed = true
		if s.eof {
			s.resp.Finish()
			s.d.o.Quarantine.Answered(s.rec.digest)
			s.rec.addStep(s.a.Instance, "run", outcomeAnswered, took, nil)
		} else {
			s.resp.Abort()
			s.rec.addStep(s.a.Instance, "run", outcomeAborted, took, err)
		}
		s.firstWatch.cancel()
		s.sent.end()
	}
	s.d.logRequest(s.ctx, s.a.Request, s.rec, s.resp.Head().Status, err)
}
