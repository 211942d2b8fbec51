package front

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/protocol/callerapi"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

// maxIDBytes bounds a caller's request id.
const maxIDBytes = 128

// ClassifyInput is what a classifying policy sees.
type ClassifyInput struct {
	// ID is the request id.
	ID           string
	Customer     string
	Class        string
	Service      string
	Model        string
	PromptTokens int
	MaxTokens    int
}

// Policies are the operators' programs that take part on the callers' side.
type Policies interface {
	// Classify returns the class of a request; it returns the given one when no
	// policy applies or the policy failed.
	Classify(in ClassifyInput) string
	// Admit returns a reason to refuse the request, or "".
	Admit(in ClassifyInput) string
}

// customerOf finds the customer of the caller's key. The key is all that counts: no
// header can choose another customer.
func customerOf(c fiber.Ctx, v *snapshot.View) (*state.Customer, error) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return nil, bad("no_key", "the request carries no key; send Authorization: Bearer with your customer's key")
	}
	t := v.CustomerOfKey(state.DigestKey([]byte(key)))
	if t == nil {
		return nil, bad("unknown_customer", "the key belongs to no customer; check it, or ask the operators to add the customer")
	}
	return t, nil
}

// requestID takes the caller's id or makes one.
func (s *Server) requestID(c fiber.Ctx) (string, bool, error) {
	id := c.Get(callerapi.HeaderRequestID)
	if id == "" {
		return s.newID(), false, nil
	}
	if len(id) > maxIDBytes || strings.ContainsFunc(id, notIDRune) {
		return "", false, bad("bad_request_id", "%s must be at most %d letters, digits or ._~-; shorten it", callerapi.HeaderRequestID, maxIDBytes)
	}
	return strings.Clone(id), true, nil
}

func notIDRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("._~-", r)
}

// deadlineOf takes the caller's deadline or the default of the class.
func deadlineOf(c fiber.Ctx, class *state.Class, now time.Time) (time.Time, error) {
	text := c.Get(callerapi.HeaderDeadline)
	if text == "" {
		return now.Add(class.Deadline()), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return now, bad("bad_deadline", "%s is not a number; send the milliseconds you can wait", callerapi.HeaderDeadline)
	}
	if ms <= 0 {
		return now, bad("deadline_past", "the deadline has already passed; send the milliseconds from now, more than 0")
	}
	if ms > state.MaxDeadline.Milliseconds() {
		return now, bad("bad_deadline", "the deadline is more than %s away; send at most %d", state.MaxDeadline, state.MaxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// takesWork refuses new work while the host must not take any. What it says is
// true of this request; whether an earlier one under the same key ran, it can't
// know.
func (s *Server) takesWork(v *snapshot.View) error {
	if s.phase.Load() == phaseRefusing {
		return &dispatch.Refusal{Reason: dispatch.ReasonShutdown, Message: "this host is shutting down and did not run the request; send it again, another host will take it", RetryAfter: time.Second, NotRun: true}
	}
	if v.Config == nil || !s.o.Ready() {
		return &dispatch.Refusal{Reason: dispatch.ReasonNoUpstream, Message: "this host has no configuration yet and did not run the request; send it again, another host will take it", RetryAfter: time.Second, NotRun: true}
	}
	if s.o.Isolated() {
		return &dispatch.Refusal{Reason: dispatch.ReasonNoUpstream, Message: "this host is cut off from its fleet and did not run the request; send it again, another host will take it", RetryAfter: time.Second, NotRun: true}
	}
	return nil
}

// bodyOf returns the body, valid until the handler returns. It is taken as it
// came: decoding would need a bound of its own on what comes out.
func bodyOf(c fiber.Ctx) ([]byte, error) {
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && encoding != "identity" {
		return nil, &badRequest{fiber.StatusUnsupportedMediaType, "bad_encoding", "the body is encoded as " + quote(encoding) + "; send it without " + fiber.HeaderContentEncoding}
	}
	return c.BodyRaw(), nil
}

// request classifies a call: class by policy, deadline by header or class.
func (s *Server) request(c fiber.Ctx, v *snapshot.View, t *state.Customer, in ClassifyInput) (*dispatch.Request, error) {
	now := wallclock.Now()
	s.requests.Add(1)
	in.Customer = t.Name
	in.Class = t.Class
	if asked := c.Get(callerapi.HeaderClass); asked != "" {
		if v.Class(asked) == nil {
			return nil, bad("unknown_class", "class %q is not defined; leave %s out or name a defined class", asked, callerapi.HeaderClass)
		}
		in.Class = strings.Clone(asked)
	}
	in.Class = s.classOf(v, in)
	if why := s.o.Policies.Admit(in); why != "" {
		return nil, &dispatch.Refusal{Reason: dispatch.ReasonPolicy, Message: why, RetryAfter: time.Second, NotRun: true}
	}
	class := v.Class(in.Class)
	deadline, err := deadlineOf(c, class, now)
	if err != nil {
		return nil, err
	}
	return &dispatch.Request{
		Customer: t.Name, Class: class.Name, Urgent: class.Urgent, Weight: t.Weight,
		Service: in.Service, FailureDomain: s.o.FailureDomain, ArrivedAt: now, Deadline: deadline, Explain: true,
	}, nil
}

// classOf asks the classifying policy; a class that isn't defined is left aside.
func (s *Server) classOf(v *snapshot.View, in ClassifyInput) string {
	class := s.o.Policies.Classify(in)
	if v.Class(class) != nil {
		return class
	}
	s.o.Log.Warn("a policy chose an undefined class; define it or mend the policy", "class", class, "customer", in.Customer)
	return in.Class
}

// contentOf is what makes two requests the same for the quarantine: a caller is told apart
// by the customer whose key it shows.
func contentOf(customer, method, path string, body []byte) quarantine.Content {
	return quarantine.Content{Caller: customer, Method: method, URI: path, Body: body}
}

// fingerprint hashes what makes two requests the same.
func fingerprint(method, path string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(method)
	_, _ = h.WriteString(" ")
	_, _ = h.WriteString(path)
	_, _ = h.WriteString("\n")
	_, _ = h.Write(body)
	return h.Sum64()
}
