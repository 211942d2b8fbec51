package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Customer is the account that callers' keys belong to.
type Customer struct {
	Name string `json:"name" msgpack:"n"`
	// KeySHA256 is the hex digest of a key, and FurtherKeysSHA256 are those of the customer's
	// other keys, as while one is being replaced; the keys themselves are kept nowhere.
	KeySHA256         string   `json:"key_sha256" msgpack:"k"`
	FurtherKeysSHA256 []string `json:"further_keys_sha256,omitempty" msgpack:"f,omitempty"`
	// Weight is the customer's share in tokens.
	Weight float64 `json:"weight,omitempty" msgpack:"w"`
	// Class is the class of requests that name none.
	Class string `json:"class" msgpack:"c"`
	// Priority goes before that of a request's route; nil leaves the route's. Customers of
	// the shared configuration have none: classes say there what is urgent.
	Priority *int `json:"-" msgpack:"-"`
	// Quota bounds what all hosts together run for the customer; nil for no bound.
	Quota *Quota `json:"-" msgpack:"-"`
}

// Quota is a rate limit of a customer over all hosts.
type Quota struct {
	// Rate is the number of units per second, Burst the number that may run at once in addition.
	Rate, Burst float64
	// PerToken says that units are tokens, of prompt and output together. Otherwise each request is
	// one unit.
	PerToken bool
	// PlainTokens is the number of tokens that a request which names none counts as.
	PlainTokens float64
}

// Units returns the units of a request of that many tokens; tokens is 0 if the request names none.
func (q *Quota) Units(tokens int) float64 {
	switch {
	case !q.PerToken:
		return 1
	case tokens == 0:
		return q.PlainTokens
	default:
		return float64(tokens)
	}
}

// KeyDigest is the SHA-256 of a caller's key, which stands for the key wherever it is kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// String is the digest in hexadecimal, as a Customer names it.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// Short is the beginning of the digest: enough for a log line to tell two keys apart.
func (d KeyDigest) Short() string { return hex.EncodeToString(d[:shortDigest]) }

// shortDigest is the number of bytes that Short shows.
const shortDigest = 4

// keys are the digests of all keys of the customer.
func (c *Customer) keys() []string {
	if c.KeySHA256 == "" {
		return c.FurtherKeysSHA256
	}
	return append([]string{c.KeySHA256}, c.FurtherKeysSHA256...)
}

// CustomerIndex finds customers by their keys. It is built once for a configuration and
// never changed.
type CustomerIndex struct{ byKey map[KeyDigest]*Customer }

// NewCustomerIndex indexes customers, which must not change any more. Of two customers with
// one key the first has it, so that all hosts agree; a digest that can't be read is no key.
func NewCustomerIndex(customers []Customer) *CustomerIndex {
	x := &CustomerIndex{byKey: make(map[KeyDigest]*Customer, len(customers))}
	for i := range customers {
		for _, text := range customers[i].keys() {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			digest := KeyDigest(raw)
			if x.byKey[digest] == nil {
				x.byKey[digest] = &customers[i]
			}
		}
	}
	return x
}

// ByDigest returns the customer that has the key, or nil.
func (x *CustomerIndex) ByDigest(d KeyDigest) *Customer {
	if x == nil {
		return nil
	}
	return x.byKey[d]
}

// validateKeys checks a customer's keys against those of the customers before it.
func validateKeys(c Customer, where string, owners map[string]string) error {
	check := func(field, digest string) error {
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
			return &ConfigError{where + field, "not a SHA-256 digest", "give the 64 hex digits of the key's SHA-256"}
		}
		if other, ok := owners[digest]; ok {
			return &ConfigError{where + field, fmt.Sprintf("the same key belongs to %q", other), "give each customer a key of its own"}
		}
		owners[digest] = c.Name
		return nil
	}
	if err := check(".key_sha256", c.KeySHA256); err != nil {
		return err
	}
	for i, digest := range c.FurtherKeysSHA256 {
		if err := check(fmt.Sprintf(".further_keys_sha256[%d]", i), digest); err != nil {
			return err
		}
	}
	return nil
}
