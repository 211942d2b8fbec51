package engine

import (
	"math/rand/v2"
	"time"

	"github.com/thymerack/thymerack/protocol/engineapi"
)

// keptEvents is the number of cache events that can be asked for again.
const keptEvents = 8192

// timedEvent is a cache event and when it happened.
type timedEvent struct {
	at    time.Time
	event engineapi.CacheEvent
}

// eventLog tells cache events late and drops some, so that numbers jump.
type eventLog struct {
	lag    time.Duration
	loss   float64
	random *rand.Rand
	seq    uint64
	kept   []timedEvent
}

func newEventLog(lag time.Duration, loss float64, seed uint64) *eventLog {
	return &eventLog{lag: lag, loss: loss, random: rand.New(rand.NewPCG(seed, 1))}
}

// record numbers a change and keeps it, unless it is one that gets lost.
func (l *eventLog) record(c cacheChange) {
	l.seq++
	if l.random.Float64() < l.loss {
		return
	}
	event := engineapi.CacheEvent{Seq: l.seq, Prefix: c.prefix, Tokens: c.tokens, Evicted: c.evicted}
	l.kept = append(l.kept, timedEvent{time.Now(), event})
	if len(l.kept) > 2*keptEvents {
		l.kept = append([]timedEvent(nil), l.kept[keptEvents:]...)
	}
}

// after returns the events above a number that are old enough to be told.
func (l *eventLog) after(seq uint64) engineapi.CacheEvents {
	answer := engineapi.CacheEvents{Events: []engineapi.CacheEvent{}, Next: seq}
	told := time.Now().Add(-l.lag)
	for _, e := range l.kept {
		if e.at.After(told) {
			break
		}
		if e.event.Seq <= seq {
			continue
		}
		answer.Events = append(answer.Events, e.event)
		answer.Next = e.event.Seq
	}
	return answer
}
