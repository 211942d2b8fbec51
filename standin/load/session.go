package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/protocol/callerapi"
)

// Pauses between tries of one request.
const (
	lostPause    = 100 * time.Millisecond
	runningPause = 200 * time.Millisecond
)

// maxAnswerBytes bounds an answer that isn't a stream.
const maxAnswerBytes = 4 << 20

// outcomeKind tells what came of one try.
type outcomeKind int

const (
	// tryDone is a whole answer.
	tryDone outcomeKind = iota + 1
	// tryWrong is an answer with a defect.
	tryWrong
	// tryRefused is a final refusal.
	tryRefused
	// tryCut is an answer that was given up in the middle.
	tryCut
	// tryUnknown is the plain statement that nobody knows whether the call ran.
	tryUnknown
	// tryUnsure is the statement that the outcome isn't known yet.
	tryUnsure
	// tryElsewhere means that the target certainly did nothing.
	tryElsewhere
	// tryLost means that the connection was lost after the request was sent.
	tryLost
	// tryRunning means that the answer isn't there yet.
	tryRunning
)

// outcome is what came of one try.
type outcome struct {
	kind   outcomeKind
	reason string
	// notRun is true when the target said that the request did not run.
	notRun bool
}

// exchange makes one try of a request at a target.
type exchange interface {
	try(target string) outcome
	// begun reports whether a part of the answer has come.
	begun() bool
}

// session takes one request to its end, over as many targets as it takes.
type session struct {
	request  Request
	balancer *Balancer
	// patience is how long after its deadline the answer is still waited for.
	patience time.Duration
	due      time.Time
	result   Result
}

// run tries until there is a final outcome or the patience is over.
func (s *session) run(ctx context.Context, x exchange) Result {
	end := s.due.Add(s.request.Shape.Deadline + s.patience)
	target := ""
	elsewhere := 0
	for {
		target = s.balancer.Pick(target)
		o := x.try(target)
		switch o.kind {
		case tryDone:
			return s.done()
		case tryWrong:
			return s.final(VerdictWrong, o)
		case tryRefused:
			return s.final(VerdictRefused, o)
		case tryCut:
			return s.final(VerdictCut, o)
		case tryUnknown:
			return s.final(VerdictUnknown, o)
		case tryElsewhere:
			s.result.Moved++
			elsewhere++
			if elsewhere >= 2*len(s.balancer.targets) && !x.begun() {
				return s.final(VerdictRefused, o)
			}
		case tryLost:
			s.result.Lost++
			pause(ctx, lostPause)
		case tryRunning, tryUnsure:
			pause(ctx, runningPause)
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return s.final(outOfPatience(o), o)
		}
		if elsewhere > 0 && elsewhere%len(s.balancer.targets) == 0 {
			pause(ctx, lostPause)
		}
	}
}

// outOfPatience is the verdict of a request that is waited for no longer.
func outOfPatience(o outcome) Verdict {
	if o.kind == tryUnsure {
		return VerdictUnknown
	}
	return VerdictCut
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// done is the result of a whole answer, in time or late.
func (s *session) done() Result {
	s.result.Total = time.Since(s.due)
	s.result.Verdict = VerdictWhole
	if s.result.Total > s.request.Shape.Deadline {
		s.result.Verdict = VerdictLate
	}
	return s.result
}

func (s *session) final(v Verdict, o outcome) Result {
	s.result.Total = time.Since(s.due)
	s.result.Verdict = v
	s.result.Reason = o.reason
	s.result.SaidNotRun = o.notRun
	return s.result
}

// failed turns a client's error into an outcome.
func failed(err error) outcome {
	if neverSent(err) {
		return outcome{kind: tryElsewhere, reason: "connect"}
	}
	return outcome{kind: tryLost, reason: "connection lost"}
}

// refusal turns an answer above 399 into an outcome.
func refusal(resp *fasthttp.Response) outcome {
	status := resp.StatusCode()
	said := string(resp.Header.Peek(callerapi.HeaderOutcome))
	p := problemOf(resp)
	o := outcome{kind: tryRefused, reason: reason(status, p), notRun: said == callerapi.OutcomeNotRun}
	switch {
	case said == callerapi.OutcomeRunning:
		o.kind = tryRunning
	case said == callerapi.OutcomeUnknown && len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0:
		// The outcome may get known: the same key is asked about again.
		o.kind = tryUnsure
	case said == callerapi.OutcomeUnknown, said == callerapi.OutcomeDone && p.Error.Type != "":
		// Of a call that is done but whose answer is lost, the caller knows as
		// little as of an unknown one.
		o.kind = tryUnknown
	case o.notRun && status == fasthttp.StatusServiceUnavailable:
		o.kind = tryElsewhere
	}
	return o
}

// problemOf reads the problem in a body; it is zero if there is none.
func problemOf(resp *fasthttp.Response) callerapi.Problem {
	var p callerapi.Problem
	body, err := readAll(resp)
	if err != nil || json.Unmarshal(body, &p) != nil {
		return callerapi.Problem{}
	}
	return p
}

// reason is a status and the problem's type, if there is one.
func reason(status int, p callerapi.Problem) string {
	if p.Error.Type == "" {
		return strconv.Itoa(status)
	}
	return fmt.Sprintf("%d %s", status, p.Error.Type)
}

// readAll reads a body to its end.
func readAll(resp *fasthttp.Response) ([]byte, error) {
	if resp.BodyStream() == nil {
		return resp.Body(), nil
	}
	return io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswerBytes))
}
