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
	// first has ended its watch; its context is that of the attempt.
	first *firstEvent
	// watch looks after a run with a backup, or nil; moves is how often it went on from one.
	watch *watch
	moves int

	started time.Time
	// buf holds what was read; the first whole bytes of it are whole events that
	// Next has not returned yet.
	buf   []byte
	whole int
	// lastID is the id of the last whole event read.
	lastID string
	events int
	eof    bool
	closed bool
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// eventID begins the line with an event's id.
var eventID = []byte("id:")

// ErrStreamCut says that a stream ended before its last event.
var ErrStreamCut = errors.New("the stream was cut and can't be resumed; ask again")

// errLate says that an engine didn't begin in its time.
var errLate = errors.New("the first event was overdue and the engine silent; another one was asked")

// ErrCallerLeft says that a stream's caller closed its connection.
var ErrCallerLeft = errors.New("the caller left before the stream's end; nothing is to be done")

// streamBuffer is how much of a stream is read at once; events of the platform's
// runners have some hundred bytes.
const streamBuffer = 4 << 10

// openStream waits for the first event.
func (d *Dispatcher) openStream(ctx context.Context, a *Attempt, runner *placement.Runner, rec *record, resp Response, sent *sending, started time.Time, first *firstEvent) (*Answer, outcome) {
	s := &Stream{d: d, ctx: ctx, first: first, a: a, rec: rec, runner: runner, resp: resp, sent: sent, started: started, lastID: a.LastEventID}
	var err error
	if !resp.Head().Sealed {
		err = errUnsealed
	}
	for err == nil && s.whole == 0 && !s.eof {
		err = s.fill()
	}
	first.arrived()
	if err == nil && first.late.Load() {
		err = errLate // the connection has been cut
	}
	took := d.o.Clock.Now().Sub(started)
	if err != nil {
		s.drop()
		d.noteBroken(ctx, runner)
		d.noteWork(ctx, a.Request, runner, rec, took, false)
		rec.add(a.Instance, "run", outcomeUnknown, took, err)
		return nil, outcomeUnknown
	}
	d.noteBegan(a.Request, rec, d.o.Clock.Now())
	runner.Answered(took)
	sent.answered()
	if a.Source != nil {
		d.leads.note(a.Request.Service, took)
	}
	s.startWatch()
	return &Answer{Head: resp.Head(), Stream: s}, outcomeAnswered
}

// Next returns the next whole events; they are valid until the next call. io.EOF
// is the end of a whole stream.
func (s *Stream) Next() ([]byte, error) {
	for {
		if s.whole > 0 {
			out := s.buf[:s.whole]
			s.buf, s.whole = s.buf[s.whole:], 0
			return out, nil
		}
		if s.eof {
			return s.rest()
		}
		if err := s.fill(); err != nil && !s.again(err) {
			return nil, s.ended()
		}
	}
}

// ended is why a stream ends before its last event.
func (s *Stream) ended() error {
	if errors.Is(s.ctx.Err(), context.Canceled) {
		return ErrCallerLeft
	}
	return ErrStreamCut
}

// rest returns what stands behind the last whole event at the end.
func (s *Stream) rest() ([]byte, error) {
	if len(s.buf) == 0 {
		return nil, io.EOF
	}
	out := s.buf
	s.buf = nil
	return out, nil
}

// fill reads some of the body and finds the events in it.
func (s *Stream) fill() error {
	if cap(s.buf)-len(s.buf) < streamBuffer/2 {
		s.buf = append(make([]byte, 0, len(s.buf)+streamBuffer), s.buf...)
	}
	n, err := s.resp.Read(s.buf[len(s.buf):cap(s.buf)])
	if n > 0 {
		s.noteHeard()
	}
	before := len(s.buf)
	s.buf = s.buf[:before+n]
	s.scan(max(0, before-len(eventEnd)))
	if err == io.EOF {
		s.eof = true
		return nil
	}
	return err
}

// scan moves the mark of whole events behind the last event end from from on.
func (s *Stream) scan(from int) {
	from = max(from, s.whole)
	for {
		i := bytes.Index(s.buf[from:], eventEnd)
		if i < 0 {
			return
		}
		end := from + i + len(eventEnd)
		s.note(s.buf[s.whole:end])
		s.whole, from = end, end
	}
}

// note takes the id of a whole event.
func (s *Stream) note(event []byte) {
	s.events++
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, eventID); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// again goes on with a stream that broke off, if there is a way.
func (s *Stream) again(cause error) bool {
	if s.a.Request.runsOnce() {
		return s.goOn(cause)
	}
	return s.resume(cause)
}

// resume goes on at another runner after the last whole event, if the route
// allows it. What was read of a later event is dropped.
func (s *Stream) resume(cause error) bool {
	r := s.a.Request
	s.drop()
	s.broken()
	s.rec.add(s.a.Instance, "run", outcomeUnknown, s.d.o.Clock.Now().Sub(s.started), cause)
	for s.d.over(s.ctx, r, s.rec) == nil && s.d.mayRepeat(r, s.rec) {
		c, err := s.d.pick(s.ctx, r, s.rec, s.d.o.Clock.Now().Add(resumeWait))
		if err != nil {
			return false
		}
		if s.d.barred(s.ctx, r, s.rec) != nil {
			c.giveBack()
			return false
		}
		if s.resumeAt(c) {
			return true
		}
	}
	return false
}

// broken notes that the present run broke off.
func (s *Stream) broken() {
	s.d.noteBroken(s.ctx, s.runner)
	s.d.noteWork(s.ctx, s.a.Request, s.runner, s.rec, s.d.o.Clock.Now().Sub(s.started), true)
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
	a.Left = s.d.left(a.Request)
	started := s.d.o.Clock.Now()
	resp, err := s.d.send(s.ctx, a)
	took := s.d.o.Clock.Now().Sub(started)
	if err != nil {
		sent.end()
		s.d.sendFailed(s.ctx, a, runner, s.rec, "resume", took, err)
		return false
	}
	s.rec.noteRun()
	head := resp.Head()
	if head.NotRun || !head.Events || !head.Sealed || head.Status != statusOK {
		resp.Cut()
		sent.end()
		s.d.noteRefused(runner, head)
		s.rec.add(a.Instance, "resume", outcomeNotRun, took, &statusError{head.Status})
		return false
	}
	sent.answered()
	s.a, s.runner, s.resp, s.sent, s.started = a, runner, resp, sent, started
	s.buf, s.whole, s.eof, s.closed = nil, 0, false, false
	s.startWatch()
	return true
}

// drop ends the present run.
func (s *Stream) drop() {
	if s.closed {
		return
	}
	s.closed = true
	s.stopWatch()
	s.resp.Cut()
	s.first.cancel()
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
			s.d.o.Quarantine.ReportAnswered(s.rec.digest)
			s.rec.add(s.a.Instance, "run", outcomeAnswered, took, nil)
		} else {
			s.resp.Cut()
			s.rec.add(s.a.Instance, "run", outcomeCut, took, err)
		}
		s.first.cancel()
		s.sent.end()
	}
	s.d.log(s.ctx, s.a.Request, s.rec, s.resp.Head().Status, err)
}
