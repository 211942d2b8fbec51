package rollout_test

import (
	"context"
	"errors"

	"github.com/anishathalye/porcupine"
	"github.com/thymerack/thymerack/coordination/rollout"
)

// checkHistory compares the reported outcome of each edit with the history of
// writes at the platform, and checks that the history of operations is linearizable.
func (r *simulation) checkHistory() {
	committed := map[int64]storedVersion{}
	for _, w := range r.history {
		committed[w.mark] = w
	}
	for _, op := range r.ops {
		in, out := op.Input.(input), op.Output.(output)
		if in.read {
			continue
		}
		w, ok := committed[in.mark]
		var unknown *rollout.EditUnknownError
		switch {
		case out.err == nil && (!ok || w.version != out.version || w.base != in.base):
			r.fail("edit %d on %d was reported as accepted with version %d; the platform has %+v", in.mark, in.base, out.version, w)
		case out.err != nil && ok && !errors.As(out.err, &unknown) && !errors.Is(out.err, context.Canceled):
			r.fail("edit %d was reported as failed (%v); the platform has it as version %d", in.mark, out.err, w.version)
		}
	}
	if r.violation == nil && !porcupine.CheckOperations(r.registerModel(committed), r.ops) {
		r.fail("the history of the register isn't linearizable")
	}
}

// registerModel models the configuration as a register with conditional updates
// whose state is the version. The outcome of an edit that reported it as unknown is
// taken from the platform's history. Invalid values are written directly to the
// platform, not through Edit, and aren't recorded as operations. They can change the
// version at any time, so the model allows them before every operation.
func (r *simulation) registerModel(committed map[int64]storedVersion) porcupine.Model {
	bypassed := map[uint64]uint64{} // version -> next version, for writes not made through Edit
	for i, w := range r.history {
		if w.mark == invalidMark && i > 0 {
			bypassed[r.history[i-1].version] = w.version
		}
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(s, in, out any) []any {
			return stepRegister(s.(uint64), in.(input), out.(output), committed, bypassed)
		},
	}
	return model.ToModel()
}

// stepRegister returns the states that the register may have after an operation in
// state s: the operation may follow any number of the writes that bypassed Edit.
func stepRegister(s uint64, in input, out output, committed map[int64]storedVersion, bypassed map[uint64]uint64) []any {
	var states []any
	for at := s; ; {
		if ok, version := stepFrom(at, in, out, committed); ok {
			states = append(states, version)
		}
		successor, found := bypassed[at]
		if !found {
			return states
		}
		at = successor
	}
}

// stepFrom reports whether an operation is possible at version at, and returns the
// version after it.
func stepFrom(at uint64, in input, out output, committed map[int64]storedVersion) (bool, uint64) {
	if in.read {
		return out.version == at, at
	}
	w, ok := committed[in.mark]
	if ok {
		return at == in.base, w.version
	}
	var conflict *rollout.EditConflictError
	if errors.As(out.err, &conflict) {
		return at == conflict.Current && at != in.base, at
	}
	return true, at
}
