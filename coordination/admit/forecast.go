package admit

import (
	"time"

	"github.com/thymerack/thymerack/coordination/snapshot"
)

// noCapacityRetry is told while no runner takes work.
const noCapacityRetry = 2 * time.Second

// forecast is the predicted course of one request.
type forecast struct {
	// wait is the time in the queue.
	wait time.Duration
	// service is the time from the start to the end of the answer.
	service time.Duration
}

func (f forecast) late(deadline, now time.Time) bool {
	return !deadline.IsZero() && now.Add(f.wait+f.service).After(deadline)
}

// spare is how long the request could wait and still be in time.
func (f forecast) spare(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(0, deadline.Sub(now)-f.service)
}

// crowded reports whether the wait takes more than the given share of the time
// to spare.
func (f forecast) crowded(deadline, now time.Time, share float64) bool {
	if deadline.IsZero() {
		return false
	}
	spare := deadline.Sub(now) - f.service
	return spare < 0 || float64(f.wait) > share*float64(spare)
}

func (q *serviceQueue) forecast(r *Request, room *Capacity, now time.Time, wait time.Duration) forecast {
	service := room.service(r, max(r.LongOutput, r.Cost.DecodeTokens))
	if m, ok := q.misses[r.Class]; ok {
		service = time.Duration(float64(service) * m.at(now))
	}
	return forecast{wait: wait, service: service}
}

// service is the predicted time from the start of a request to the end of an
// answer of that many tokens.
func (m *Capacity) service(r *Request, output int64) time.Duration {
	d := time.Duration(output) * m.TokenInterval
	if !r.Urgent {
		d += m.FirstTokenWait
	}
	if m.EnginePrefillPerSecond > 0 {
		d += seconds(float64(r.Cost.PrefillTokens) / m.EnginePrefillPerSecond)
	}
	return d
}

// Weights and bounds of the ratio of actual to forecast time of service.
const (
	missWeight       = 0.05
	minMiss, maxMiss = 0.5, 4
	maxMissClasses   = 256
	// missHalfLife is the age at which half of what was learnt is left.
	missHalfLife = 2 * time.Second
)

// miss is the ratio of the actual to the forecast time of service of a class.
type miss struct {
	ratio float64
	seen  time.Time
}

// at is the ratio as far as it still holds. Without new answers it goes back to
// 1: a class that was refused for its ratio would never show a better one.
func (m miss) at(now time.Time) float64 {
	age := max(0, now.Sub(m.seen)).Seconds() / missHalfLife.Seconds()
	return 1 + (m.ratio-1)/(1+age)
}

// finished learns from the actual time of service.
func (q *serviceQueue) finished(g *Grant) {
	if g.forecast <= 0 {
		return
	}
	now := q.o.Clock.Now()
	ratio := float64(now.Sub(g.at)) / float64(g.forecast)
	q.mu.Lock()
	defer q.mu.Unlock()
	m, known := q.misses[g.class]
	if !known {
		if len(q.misses) >= maxMissClasses {
			return
		}
		m = miss{1, now}
	}
	was := m.at(now)
	q.misses[g.class] = miss{min(max(was+missWeight*(ratio-was), minMiss), maxMiss), now}
}

// cost is the work in prompt tokens.
func (m *Capacity) cost(w snapshot.Work, decodeFactor float64) float64 {
	if m.PrefillPerSecond > 0 && m.DecodePerSecond > 0 {
		decodeFactor = m.PrefillPerSecond / m.DecodePerSecond
	}
	c := float64(w.PrefillTokens) + float64(w.DecodeTokens)*decodeFactor
	if c == 0 {
		return float64(w.Requests) // a plain service
	}
	return c
}

// timeFor is how long this host's share of the fleet takes for a cost.
func (m *Capacity) timeFor(cost float64) time.Duration {
	if m.PrefillPerSecond <= 0 {
		return 0
	}
	return seconds(cost / m.PrefillPerSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
