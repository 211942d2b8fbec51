package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxEditWrites bounds the writes of one edit, maxReadBacks the reads that
	// follow each lost answer.
	maxEditWrites = 3
	maxReadBacks  = 5
)

// EditConflictError reports that an edit wasn't made because the current version
// of the configuration isn't the edit's base version.
type EditConflictError struct{ Base, Current uint64 }

// Error implements error.
func (e *EditConflictError) Error() string {
	return fmt.Sprintf("the edit was made on version %d, but version %d is present; read that one, repeat the change on it and send it again", e.Base, e.Current)
}

// EditUnknownError reports that the outcome of an edit on Base is unknown: it may
// or may not have taken effect.
type EditUnknownError struct {
	Base  uint64
	Cause error
}

// Error implements error.
func (e *EditUnknownError) Error() string {
	return fmt.Sprintf("the edit on version %d may have taken effect (%v); read the configuration once the platform answers and repeat the change only if it is missing", e.Base, e.Cause)
}

// Unwrap returns the cause.
func (e *EditUnknownError) Unwrap() error { return e.Cause }

// Edit validates a configuration (without envelope) and writes it if base is
// still the current version; base 0 creates the object. It returns the new version.
// Errors are *state.ConfigError, those of Options.Check, *EditConflictError,
// *EditUnknownError, *store.UnavailableError (nothing was written) and those of ctx.
func (m *Manager) Edit(ctx context.Context, base uint64, config []byte) (uint64, error) {
	if _, err := m.Validate(config); err != nil {
		return 0, err
	}
	present, err := m.readBase(ctx, base)
	if err != nil {
		return 0, err
	}
	nonce := m.newNonce()
	value, err := json.Marshal(present.next(nonce, m.opts.Self.Name, base, config))
	if err != nil {
		return 0, err
	}
	if len(value) > state.MaxConfigBytes {
		return 0, &state.ConfigError{Where: "the value", Problem: fmt.Sprintf("%d bytes are over the platform's limit of %d", len(value), state.MaxConfigBytes), Remedy: "shorten the policies"}
	}
	version, err := m.write(ctx, base, nonce, value)
	if err == nil {
		m.applyIfHigher(VersionedValue{Version: version, Value: value}, "")
	}
	return version, err
}

// readBase reads the envelope at version base. It returns an empty envelope if
// the object doesn't exist yet or can't be parsed, and *EditConflictError if the
// current version isn't base.
func (m *Manager) readBase(ctx context.Context, base uint64) (Envelope, error) {
	o, err := m.opts.Store.Get(ctx, store.KindConfig, ObjectName)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Envelope{}, err
	}
	if o.Version != base {
		return Envelope{}, &EditConflictError{Base: base, Current: o.Version}
	}
	if base == store.Absent {
		return Envelope{}, nil
	}
	e, err := parseEnvelope(o.Value)
	if err != nil {
		return Envelope{}, nil // an edit may replace an invalid value
	}
	return e, nil
}

// write makes the conditional update and returns the version it created. If the
// answer is lost, it reads the object back, and repeats the write only if the edit
// has not taken effect. All writes have the same base, so that at most one of them
// can take effect.
func (m *Manager) write(ctx context.Context, base uint64, nonce string, value []byte) (uint64, error) {
	answerLost := false
	for range maxEditWrites {
		version, err := m.opts.Store.Put(ctx, store.KindConfig, ObjectName, base, value)
		if err == nil {
			return version, nil
		}
		var conflict *store.ConflictError
		switch {
		case errors.As(err, &conflict) && !answerLost:
			return 0, &EditConflictError{Base: base, Current: conflict.Actual}
		case errors.As(err, &conflict):
			// The conflict may be with an earlier write of this edit.
		case store.IsUnavailable(err) && !store.IsUnknownOutcome(err) && !answerLost:
			return 0, err
		default:
			answerLost = true
		}
		if m.fault == faultAssumeCommitted {
			return base + 1, nil
		}
		found, version, err := m.readBack(ctx, base, nonce)
		switch {
		case err != nil:
			return 0, &EditUnknownError{Base: base, Cause: err}
		case found == outcomeCommitted:
			return version, nil
		case found == outcomeNotCommitted && version != base:
			return 0, &EditConflictError{Base: base, Current: version}
		case found == outcomeUnknown:
			return 0, &EditUnknownError{Base: base, Cause: errTooManyEdits}
		}
	}
	return 0, &EditUnknownError{Base: base, Cause: errAnswersLost}
}

var (
	errTooManyEdits = errors.New("too many edits were made since")
	errAnswersLost  = errors.New("the platform lost every answer")
)

// readBack reads the object and searches it for the edit with this nonce. It
// returns the version that the edit created, or the current version if the edit
// didn't take effect. Failed reads are repeated with exponential backoff.
func (m *Manager) readBack(ctx context.Context, base uint64, nonce string) (editOutcome, uint64, error) {
	var failure error
	pause := minRetryPause
	for range maxReadBacks {
		o, err := m.opts.Store.Get(ctx, store.KindConfig, ObjectName)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return findEditIn(o, nonce, base)
		}
		failure = err
		if err := m.opts.Clock.Sleep(ctx, m.jitter(pause)); err != nil {
			return outcomeUnknown, 0, failure
		}
		pause = min(2*pause, maxRetryPause)
	}
	return outcomeUnknown, 0, failure
}

// findEditIn searches a stored object for the edit with this nonce made on base.
// Its results are those of readBack.
func findEditIn(o store.Object, nonce string, base uint64) (editOutcome, uint64, error) {
	if o.Version == base {
		return outcomeNotCommitted, base, nil
	}
	e, err := parseEnvelope(o.Value)
	if err != nil {
		return outcomeUnknown, 0, err
	}
	found, version := e.findEdit(nonce, base, o.Version)
	if found == outcomeNotCommitted {
		version = o.Version
	}
	return found, version, nil
}

// newNonce returns a value unique to one edit: the host's incarnation and a random
// part.
func (m *Manager) newNonce() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%s-%016x", m.opts.Self.Incarnation, m.random.Uint64())
}
