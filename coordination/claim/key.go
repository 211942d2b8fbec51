package claim

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// MaxCustomerBytes is the longest customer name that a record holds.
const MaxCustomerBytes = 256

const (
	canonicalKeyLen = 36
	// minBucket keeps names non-negative for keys from before 1970.
	minBucket = 0
)

// parseKey reads a UUIDv7 in its 36-character form.
func parseKey(key string) (uuid.UUID, error) {
	if key == "" {
		return uuid.UUID{}, keyError(KeyMissing, key)
	}
	k, err := uuid.Parse(key)
	if err != nil || len(key) != canonicalKeyLen {
		return uuid.UUID{}, keyError(KeyMalformed, key)
	}
	if k.Version() != 7 || k.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, keyError(KeyNotV7, key)
	}
	return k, nil
}

// keyTime returns the millisecond at which the key was made.
func keyTime(k uuid.UUID) time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// checkAge refuses keys outside the acceptance window. The same check runs
// before and after the claim's CAS.
func (c *Claimer) checkAge(k uuid.UUID) error {
	age := c.now().Sub(keyTime(k))
	if age > c.o.Window {
		return keyError(KeyExpired, k.String())
	}
	if age < -c.o.FutureSkew {
		return keyError(KeyFromFuture, k.String())
	}
	return nil
}

// mayBeDeleted reports whether the key's bucket may have been deleted by a host
// whose clock is ahead. What is read or written there from then on proves
// nothing: a late copy of a claim may have created the record anew.
func (c *Claimer) mayBeDeleted(k uuid.UUID) bool {
	return c.now().Sub(keyTime(k)) > c.o.Retention-c.o.FutureSkew
}

// shardOf returns the shard of a key.
func (c *Claimer) shardOf(k uuid.UUID) int {
	return int(xxhash.Sum64(k[:]) % uint64(c.o.Shards))
}

// bucketOf returns the bucket of a moment.
func (c *Claimer) bucketOf(t time.Time) int64 {
	return max(minBucket, t.UnixMilli()/c.o.BucketWidth.Milliseconds())
}

// bucketEnd returns the first moment after a bucket.
func (c *Claimer) bucketEnd(bucket int64) time.Time {
	return time.UnixMilli((bucket + 1) * c.o.BucketWidth.Milliseconds())
}

// objectName names the first object of a shard's bucket.
func objectName(shard int, bucket int64) string {
	return fmt.Sprintf("%d-%d", shard, bucket)
}

// chainName names the object at a position of a bucket's chain. Position 0 is
// the object itself; later ones take over when it is full.
func chainName(name string, position int) string {
	if position == 0 {
		return name
	}
	return name + "." + strconv.Itoa(position)
}

func (c *Claimer) nameOf(k uuid.UUID) string {
	return objectName(c.shardOf(k), c.bucketOf(keyTime(k)))
}
