package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

// calm is how long before a request nothing may have been disturbed for it to
// count as undisturbed; the platform's bounds apply to a host after 3 s without a fault.
const calm = 3 * time.Second

// span is a time in which something was disturbed.
type span struct {
	from, to time.Time
	// runners says that hosts and store are well.
	runners bool
	// late says that calls under the lease of the duties may be held back.
	late bool
	// host is the name of the only host that was disturbed; "" if others were, too.
	host string
	// runner is the id of the only runner that was disturbed; "" if others were, too.
	runner string
}

// disturb notes a disturbance, of runners alone or not, that may hold calls under the lease
// back or not; the returned function ends it.
func (f *fleet) disturb(runners, late bool) (end func()) {
	return f.begin(span{runners: runners, late: late})
}

// disturbHost notes a disturbance of one host alone; the returned function ends it.
func (f *fleet) disturbHost(h *host) (end func()) { return f.begin(span{host: h.addrs.Name}) }

func (f *fleet) begin(disturbed span) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &disturbed
	s.from = time.Now()
	f.spans = append(f.spans, s)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.to = time.Now()
	}
}

// undisturbed reports whether nothing that concerns a process was disturbed from calm before from to to.
func (f *fleet) undisturbed(process string, from, to time.Time) bool {
	return f.calm(process, from, to, true)
}

// calm reports whether hosts and store, and the runners if they count, were left alone; of what was
// done to one host alone, that is asked for the process only, or for all hosts if it is "".
func (f *fleet) calm(process string, from, to time.Time, runners bool) bool {
	return f.calmAmong(nil, process, from, to, runners)
}

// calmAmong is calm that asks, of what was done to one runner alone, for the given runners only; for all if it is nil.
func (f *fleet) calmAmong(among map[string]bool, process string, from, to time.Time, runners bool) bool {
	name, _, _ := strings.Cut(process, "/")
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spans {
		if among != nil && s.runner != "" && !among[s.runner] {
			continue
		}
		if s.runners && !runners || s.host != "" && name != "" && s.host != name {
			continue
		}
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-calm))) {
			return false
		}
	}
	return true
}

func (f *fleet) problem(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, fmt.Sprintf("%6.2f s: ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// judge checks what a caller saw, as far as it can be known at once.
func (f *fleet) judge(r result) {
	f.mu.Lock()
	f.results = append(f.results, r)
	f.mu.Unlock()
	switch {
	case r.kind == platformtest.KindProbe:
		f.judgeProbe(r)
	case r.status == 200 && (r.kind == platformtest.KindOnce || r.kind == platformtest.KindResume):
		f.judgeStream(r)
	case r.status == 200 && r.whole:
		uri := "/" + string(r.kind) + "/x?id=" + r.id
		_, sent := platformtest.CallerBody(r.id)
		if want := platformtest.Body(r.id, uri, []byte(sent)); r.body != want {
			f.problem("request %s got %q, not its own answer %q", r.id, r.body, want)
		}
	}
	if !f.o.silent && f.undisturbed(r.host, r.began, r.ended) {
		f.judgeUndisturbed(r)
	}
}

func (f *fleet) judgeStream(r result) { f.judgeEvents(r, r.id, 0) }

// judgeTakenUp checks a stream that was taken up after an event of the attempt that began it.
func (f *fleet) judgeTakenUp(r result, first string, after int) {
	f.mu.Lock()
	f.takenUp++
	if r.status == 503 {
		f.notTakenUp++
	}
	f.mu.Unlock()
	if r.status == 200 {
		f.judgeEvents(r, first, after)
	}
}

// judgeEvents checks that an answer has the events of a stream after one of them, and is whole only with the last.
func (f *fleet) judgeEvents(r result, first string, after int) {
	var want strings.Builder
	for n := after + 1; n <= platformtest.Events(first); n++ {
		want.WriteString(platformtest.Event(first, n))
	}
	switch {
	case r.whole && r.body != want.String():
		f.problem("stream %s ended as whole with %q", r.id, r.body)
	case !r.whole && !strings.HasPrefix(want.String(), r.body):
		f.problem("stream %s gave %q, which is no beginning of its own", r.id, r.body)
	}
}

// judgeProbe checks that a version that was in force at a process stays so.
func (f *fleet) judgeProbe(r result) {
	f.mu.Lock()
	inForce := f.inForce[r.host]
	if r.status == 200 && r.version > inForce {
		f.inForce[r.host] = r.version
	}
	f.mu.Unlock()
	if r.status == 404 && r.version <= inForce {
		f.problem("host %s knew version %d and answers 404 for version %d", r.host, inForce, r.version)
	}
	if r.status == 404 && r.began.Sub(f.writtenAt(r.version)) > 2*time.Second && f.undisturbed(r.host, r.began, r.ended) {
		f.problem("host %s does not know version %d %s after it was written", r.host, r.version, r.began.Sub(f.writtenAt(r.version)))
	}
}

func (f *fleet) writtenAt(version uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.written[version]
}

// judgeUndisturbed checks that planned work alone loses no request.
func (f *fleet) judgeUndisturbed(r result) {
	switch {
	case r.status == 401 && f.keys.revokedAt(r.key).IsZero() && !f.keys.isNew(r.key, r.began):
		f.problem("request %s shows a key that holds and is told that it doesn't", r.id)
		return
	case !r.dialled, r.whole && r.status < 500, r.status == 503:
		return
	case r.status == 0 && len(f.ledger.Runs(r.id)) == 0:
		return // it crossed the close of its connection and was not passed on
	}
	f.problem("request %s (%s) at %s was lost without a disturbance: status %d, %v", r.id, r.kind, r.host, r.status, r.err)
}

// judgeRuns checks at the end what the runners did against what callers were told.
func (f *fleet) judgeRuns() {
	for _, r := range f.results {
		runs := f.ledger.Runs(r.id)
		f.judgeKey(r, runs)
		if (r.status == 503 || r.status == 429) && len(runs) > 0 {
			f.problem("request %s was told %d, not run, and ran at %s", r.id, r.status, runs[0].Runner)
		}
		once := r.kind == platformtest.KindUnsafe || r.kind == platformtest.KindOnce
		if once && len(runs) > 1 {
			f.problem("request %s may run once and ran at %s and %s", r.id, runs[0].Runner, runs[1].Runner)
		}
		for _, run := range runs {
			if run.Draining > platformtest.Drain+500*time.Millisecond && f.undisturbed(r.host, run.At, run.At) {
				f.problem("request %s reached runner %s %s after its leaving was listed", r.id, run.Runner, run.Draining)
			}
		}
	}
	for _, p := range f.ledger.Problems() {
		f.problem("%s", p)
	}
}

// recovered checks that requests are served again at the end.
func (f *fleet) recovered(since time.Time) {
	served, asked := 0, 0
	for _, r := range f.results {
		if at := f.keys.revokedAt(r.key); r.began.Before(since) || !at.IsZero() {
			continue // one that shows a revoked key is owed nothing
		}
		asked++
		if r.status == 200 && r.whole {
			served++
		}
	}
	if asked == 0 || served*10 < asked*9 {
		f.problem("after the last disturbance %d of %d requests were served", served, asked)
	}
}
