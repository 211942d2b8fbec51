package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/protocol/engineapi"
)

// The callers' paths.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathAnswers     = "/v1/answers/"
)

// errorEvent is the name of the SSE event that ends an answer that was given up.
const errorEvent = "error"

// unknownAnswer is the type of the problem that says that nobody holds an answer.
const unknownAnswer = "unknown_answer"

// modelExchange asks for the answer of a model and, after a broken stream, for
// the rest of it.
type modelExchange struct {
	client  *fasthttp.Client
	request Request
	id      string
	key     string
	due     time.Time
	body    []byte
	// missing counts the targets that know nobody who holds the answer.
	missing int
	// accepted is true once a host began to answer.
	accepted bool
	result   *Result
	recorder *Recorder
	lastAt   time.Time
}

func (m *modelExchange) begun() bool { return m.request.Expected.Next() > 0 }

func (m *modelExchange) try(target string) outcome {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resuming := m.accepted
	if resuming {
		m.askRest(req, target)
	} else {
		m.askAll(req, target)
	}
	if err := m.client.Do(req, resp); err != nil {
		return failed(err)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	status := resp.StatusCode()
	if status == fasthttp.StatusOK {
		if resuming {
			m.result.Resumed++
		}
		return m.read(resp)
	}
	if !resuming {
		return refusal(resp)
	}
	return m.restMissing(resp)
}

// restartAfter is how many targets must say that nobody holds the answer before
// it is asked for anew: a host that holds it may not be known everywhere yet.
const restartAfter = 3

// restMissing decides after a refused request for the rest. A host that was
// killed takes its answers with it; the caller then throws away what it has and
// sends the request again under a new id, as the refusal tells it to.
func (m *modelExchange) restMissing(resp *fasthttp.Response) outcome {
	why := reason(resp.StatusCode(), problemOf(resp))
	if resp.StatusCode() == fasthttp.StatusNotFound {
		m.missing++
	}
	if m.missing >= restartAfter {
		m.restart()
	}
	return outcome{kind: tryRunning, reason: "rest of the answer: " + why}
}

// restart throws away what was received and asks anew under a new id.
func (m *modelExchange) restart() {
	m.missing = 0
	m.accepted = false
	m.result.Restarted++
	m.request.Expected.Restart()
	m.id = uuid.NewString()
	m.result.RequestID = m.id
}

func (m *modelExchange) askAll(req *fasthttp.Request, target string) {
	path := pathCompletions
	if m.request.Shape.Chat {
		path = pathChat
	}
	m.address(req, fasthttp.MethodPost, target, path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(m.body)
}

func (m *modelExchange) askRest(req *fasthttp.Request, target string) {
	m.address(req, fasthttp.MethodGet, target, pathAnswers+m.id)
	if m.begun() {
		req.Header.Set(callerapi.HeaderLastEvent, strconv.Itoa(m.request.Expected.Next()-1))
	}
}

func (m *modelExchange) address(req *fasthttp.Request, method, target, path string) {
	address(req, method, target, path, m.key, m.id)
	setDeadline(req, m.request.Shape, m.due)
}

// read takes the events of an answer.
func (m *modelExchange) read(resp *fasthttp.Response) outcome {
	if got := string(resp.Header.Peek(callerapi.HeaderRequestID)); got != m.id {
		return outcome{kind: tryWrong, reason: "the answer names another request"}
	}
	m.accepted = true
	var found error
	end := outcome{}
	err := readEvents(resp.BodyStream(), func(e event) bool {
		switch {
		case e.name == errorEvent:
			end = m.givenUp(e)
			return false
		case e.data == engineapi.DoneMark:
			found = m.request.Expected.End()
			end = outcome{kind: tryDone}
			return false
		case e.data != "":
			found = m.take(e)
		}
		return found == nil
	})
	var defect *DefectError
	switch {
	case errors.As(found, &defect):
		slog.Warn("defect in an answer", "request_id", m.id, "defect", defect)
		return outcome{kind: tryWrong, reason: string(defect.Defect)}
	case end.kind != 0:
		return end
	case err != nil:
		return outcome{kind: tryLost, reason: "stream broken"}
	}
	return outcome{kind: tryLost, reason: "stream without end mark"}
}

// givenUp is the outcome of a stream that ends with an error event: a refusal if
// nothing was given before, else a cut answer.
func (m *modelExchange) givenUp(e event) outcome {
	var p callerapi.Problem
	if err := json.Unmarshal([]byte(e.data), &p); err != nil {
		return outcome{kind: tryWrong, reason: string(DefectShape)}
	}
	if p.Error.Type == unknownAnswer {
		m.restart()
		return outcome{kind: tryRunning, reason: "the holder of the answer was lost"}
	}
	o := outcome{kind: tryRefused, reason: p.Error.Type, notRun: p.Error.Outcome == callerapi.OutcomeNotRun}
	if m.begun() {
		o.kind = tryCut
		o.reason = "given up: " + p.Error.Type
	}
	return o
}

// take checks one event and notes its time.
func (m *modelExchange) take(e event) error {
	var chunk callerapi.Completion
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		return &DefectError{DefectShape, err.Error()}
	}
	number, err := strconv.Atoi(e.id)
	if err != nil || len(chunk.Choices) != 1 {
		return &DefectError{DefectShape, fmt.Sprintf("event id %q, %d choices", e.id, len(chunk.Choices))}
	}
	choice := chunk.Choices[0]
	text := choice.Text
	if choice.Delta != nil {
		text = choice.Delta.Content
	}
	finish := ""
	if choice.FinishReason != nil {
		finish = *choice.FinishReason
	}
	if text != "" {
		m.clock()
	}
	return m.request.Expected.Event(number, text, finish)
}

// clock notes the time of a token.
func (m *modelExchange) clock() {
	now := time.Now()
	if m.lastAt.IsZero() {
		m.result.FirstToken = now.Sub(m.due)
	} else {
		m.recorder.Gap(m.request.Shape.Class, now.Sub(m.lastAt))
	}
	m.lastAt = now
}

// address fills in what every call has.
func address(req *fasthttp.Request, method, target, path, key, id string) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + target + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	req.Header.Set(callerapi.HeaderRequestID, id)
}

// setDeadline names the class and what is left of the deadline.
func setDeadline(req *fasthttp.Request, s *Shape, due time.Time) {
	left := max(1, (s.Deadline - time.Since(due)).Milliseconds())
	req.Header.Set(callerapi.HeaderClass, s.Class)
	req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(left, 10))
}
