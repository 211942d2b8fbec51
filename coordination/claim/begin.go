package claim

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/state"
)

// Call is a call that may not be repeated.
type Call struct {
	// Key is the caller's Idempotency-Key, a UUIDv7.
	Key      string
	Customer string
	// Fingerprint is a hash of the request; a key reused for another is refused.
	Fingerprint uint64
	// First is the caller's statement that it has sent the key in no earlier
	// request. While the platform is down nothing else tells a new call from the
	// repetition of one that ran at a host that is gone by now; so only with it
	// can Begin return *NotRunError, and without it *UnsureError.
	First bool
}

// Outcome is what the record of a repeated key says. A claimed record is a call
// under way at Claim.Holder.
type Outcome struct {
	Claim state.Claim
}

// Begin claims a key. Exactly one result is set:
//
//   - Held: the caller may dispatch the call once, and must then call one of
//     Held's methods. Attempts that provably sent no byte don't count.
//   - Outcome: the key is claimed already; the call must not be dispatched.
//   - error: *KeyError, *NotRunError or *UnsureError; the call must not be
//     dispatched. After *UnsureError the host withdraws its claim in the
//     background, if it may have made one.
func (c *Claimer) Begin(ctx context.Context, call Call) (*Held, *Outcome, error) {
	k, err := c.checkCall(call)
	if err != nil {
		return nil, nil, err
	}
	e := c.newEntry(OpClaim, k, call, c.nextSeq())
	if !c.open.add(e.Seq, k) {
		return nil, nil, c.refusal(call, errTooMany)
	}
	if c.skip.cas {
		return &Held{c: c, entry: e}, nil, nil
	}
	r := c.commitOne(ctx, e)
	switch r.Code {
	case CodeRecord:
		return c.judge(ctx, call, e, r.Record)
	case CodeUncertain:
		c.settle(e, OpVoid)
		return nil, nil, &UnsureError{RetryAfter: c.retryAfter(), Cause: r.cause()}
	default:
		c.open.remove(e.Seq)
		return nil, nil, c.refusal(call, r.cause())
	}
}

func (c *Claimer) checkCall(call Call) (uuid.UUID, error) {
	k, err := parseKey(call.Key)
	if err != nil {
		return k, err
	}
	if len(call.Customer) > MaxCustomerBytes {
		return k, keyError(KeyCustomer, call.Key)
	}
	return k, c.checkAge(k)
}

// judge decides on the record found after the claim's CAS. The age is checked
// again first: what was read or written in the bucket of an expired key proves
// nothing, for the bucket may have been deleted in between.
func (c *Claimer) judge(ctx context.Context, call Call, e Entry, rec Record) (*Held, *Outcome, error) {
	mine := rec.madeBy(e) || (c.skip.nonce && rec.Claim.Holder == e.Holder)
	mine = mine && rec.Claim.State == state.ClaimClaimed
	if err := c.checkAge(e.Key); err != nil && !c.skip.ageAfter {
		if mine {
			c.settle(e, OpUnknown)
		} else {
			c.open.remove(e.Seq)
		}
		return nil, nil, err
	}
	if mine {
		return &Held{c: c, entry: e}, nil, nil
	}
	c.open.remove(e.Seq)
	return c.repeated(ctx, call, e.Key, rec)
}

// repeated answers a key that is already claimed.
func (c *Claimer) repeated(ctx context.Context, call Call, k uuid.UUID, rec Record) (*Held, *Outcome, error) {
	if rec.Claim.Customer != call.Customer || rec.Claim.Fingerprint != call.Fingerprint {
		return nil, nil, keyError(KeyReused, call.Key)
	}
	rec, err := c.endIfAbandoned(ctx, k, rec)
	if err != nil {
		return nil, nil, &UnsureError{RetryAfter: c.retryAfter(), Cause: err}
	}
	return nil, &Outcome{Claim: rec.Claim}, nil
}

// endIfAbandoned moves a claimed record to unknown if nobody is left to record
// its outcome: its holder is gone, or is this host and has lost track of it.
func (c *Claimer) endIfAbandoned(ctx context.Context, k uuid.UUID, rec Record) (Record, error) {
	if rec.Claim.State != state.ClaimClaimed || !c.abandoned(rec) {
		return rec, nil
	}
	e := Entry{Op: OpUnknown, Key: k, Holder: rec.Claim.Holder, Seq: rec.Seq}
	r := c.commitOne(ctx, e)
	if r.Code == CodeRecord {
		return r.Record, nil
	}
	if r.Code == CodeAbsent {
		return rec, keyError(KeyExpired, k.String())
	}
	return rec, r.cause()
}

func (c *Claimer) abandoned(rec Record) bool {
	if rec.Claim.Holder == c.o.Host {
		return !c.open.has(rec.Seq)
	}
	return c.o.Gone(rec.Claim.Holder)
}

// refusal is the error for a call whose claim was certainly not made.
func (c *Claimer) refusal(call Call, cause error) error {
	if call.First || c.skip.first {
		return &NotRunError{RetryAfter: c.retryAfter(), Cause: cause}
	}
	return &UnsureError{RetryAfter: c.retryAfter(), Cause: cause}
}

// settle leaves an outcome to the background retry.
func (c *Claimer) settle(e Entry, op Op) {
	e.Op = op
	c.open.pend(e)
}

func (r Result) cause() error {
	if r.err != nil {
		return r.err
	}
	return errors.New(r.Cause)
}
