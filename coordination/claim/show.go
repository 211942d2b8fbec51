package claim

import (
	"context"

	"github.com/thymerack/thymerack/state"
)

// Show returns the record of a key for operators. It reads the platform afresh,
// and moves a claim whose holder is gone to unknown before it shows it so.
// *KeyError: the key is malformed, or so old that its record may be deleted.
// *NotClaimedError: no record exists.
func (c *Claimer) Show(ctx context.Context, key string) (state.Claim, error) {
	k, err := parseKey(key)
	if err != nil {
		return state.Claim{}, err
	}
	rec, found, err := c.find(ctx, k)
	if err != nil {
		return state.Claim{}, err
	}
	if c.mayBeDeleted(k) {
		return state.Claim{}, keyError(KeyExpired, key)
	}
	if !found {
		return state.Claim{}, &NotClaimedError{Key: key}
	}
	rec, err = c.endIfAbandoned(ctx, k, rec)
	return rec.Claim, err
}

// find reads the chain of the key's bucket.
func (c *Claimer) find(ctx context.Context, k [16]byte) (Record, bool, error) {
	name := c.nameOf(k)
	for position := range maxChain {
		o, err := c.readObject(ctx, chainName(name, position))
		if err != nil {
			return Record{}, false, err
		}
		if rec, ok := o.record(k); ok {
			return rec, true, nil
		}
		if !o.sealed {
			break
		}
	}
	return Record{}, false, nil
}
