package placement

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// mapShards is the number of shards of a cowMap: a change of one entry among 10,000 copies some twenty.
const mapShards = 512

// cowMap is an immutable map. Its successors share the shards that their changes leave as they are.
type cowMap[K comparable, V any] struct {
	// hashKey returns the part of a key that selects its shard.
	hashKey func(K) string
	shards  [mapShards]map[K]V
}

func newCowMap[K comparable, V any](hashKey func(K) string) *cowMap[K, V] {
	return &cowMap[K, V]{hashKey: hashKey}
}

func (m *cowMap[K, V]) shard(key K) int { return int(xxhash.Sum64String(m.hashKey(key)) % mapShards) }

// get returns the value of a key, or the zero value.
func (m *cowMap[K, V]) get(key K) V { return m.shards[m.shard(key)][key] }

// all iterates over the entries.
func (m *cowMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, shard := range m.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// cowMapEdit builds the successor of a cowMap.
type cowMapEdit[K comparable, V any] struct {
	m     *cowMap[K, V]
	owned [mapShards]bool
}

// edit starts a successor.
func (m *cowMap[K, V]) edit() *cowMapEdit[K, V] {
	next := *m
	return &cowMapEdit[K, V]{m: &next}
}

// writable returns the shard of a key, copied on the first change.
func (e *cowMapEdit[K, V]) writable(key K) map[K]V {
	i := e.m.shard(key)
	if !e.owned[i] {
		shard := make(map[K]V, len(e.m.shards[i])+1)
		for k, v := range e.m.shards[i] {
			shard[k] = v
		}
		e.m.shards[i], e.owned[i] = shard, true
	}
	return e.m.shards[i]
}

func (e *cowMapEdit[K, V]) set(key K, value V) { e.writable(key)[key] = value }

func (e *cowMapEdit[K, V]) remove(key K) { delete(e.writable(key), key) }
