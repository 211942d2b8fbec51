package fleetload

import (
	"log/slog"
	"time"
)

// reportInterval is the least time between two log lines on the same subject.
const reportInterval = 10 * time.Second

// report writes the log lines of a Collector.
type report struct {
	log       *slog.Logger
	uneven    transition
	summaryAt time.Time
}

// transition limits the log lines on changes of a state. A change within reportInterval of the last
// line is reported later, unless it is reverted before.
type transition struct {
	reported bool
	at       time.Time
}

// due reports whether a change to the state is to be logged now.
func (t *transition) due(state bool, now time.Time) bool {
	if state == t.reported || (!t.at.IsZero() && now.Sub(t.at) < reportInterval) {
		return false
	}
	t.reported, t.at = state, now
	return true
}

// answered logs that an owner stops or starts answering.
func (r *report) answered(a answer, o *owner, now time.Time) {
	switch {
	case !o.silent.due(a.err != nil, now):
	case a.err == nil:
		r.log.Info("owner answers with its load again", "owner", a.addr)
	case o.takenAt.IsZero():
		r.log.Warn("owner doesn't answer with its load; the mean of the others is used", "owner", a.addr, "cause", a.err.Error())
	default:
		r.log.Warn("owner doesn't answer with its load", "owner", a.addr, "sample_age", now.Sub(o.takenAt), "sample_used_for", sampleTTL, "cause", a.err.Error())
	}
}

// summary logs a summary, and whether engines begin or cease to be uneven.
func (r *report) summary(s Summary, t *term, now time.Time) {
	if r.uneven.due(len(s.Speeds) > 0, now) {
		r.logUneven(s)
	}
	if !r.summaryAt.IsZero() && now.Sub(r.summaryAt) < reportInterval {
		return
	}
	r.summaryAt = now
	var total DomainLoad
	for _, l := range s.Domains {
		total.Engines += l.Engines
		total.Prefill += l.Prefill
		total.LatePrefill += l.LatePrefill
		total.Decoding += l.Decoding
		total.DecodeTokens += l.DecodeTokens
	}
	r.log.Info("fleet load", "term", t.number, "owners", len(t.owners), "answered", s.Answered, "age", now.Sub(s.TakenAt), "oldest_sample", t.oldest(now),
		"engines", total.Engines, "prefill", total.Prefill, "late_prefill", total.LatePrefill, "decoding", total.Decoding, "decode_tokens", total.DecodeTokens,
		"rows", len(s.Domains), "uneven", len(s.Speeds), "working_set", sum(s.WorkingSet), "local_prefixes", len(t.localPrefixes), "notices", t.notices)
}

func (r *report) logUneven(s Summary) {
	if len(s.Speeds) == 0 {
		r.log.Info("speeds of engines no longer uneven", "answered", s.Answered)
		return
	}
	most := s.Speeds[0]
	r.log.Info("speeds of engines uneven", "engines", len(s.Speeds), "most", most.Engine, "speed", most.Speed, "answered", s.Answered)
}

// oldest returns the age of the oldest sample that is used.
func (t *term) oldest(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, o := range t.owners {
		if age := now.Sub(o.takenAt); age <= sampleTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func sum(tokens map[string]int) int {
	total := 0
	for _, n := range tokens {
		total += n
	}
	return total
}
