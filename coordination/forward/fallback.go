package forward

import "context"

// keepFallback keeps an answer that is returned if no other runner gives a better one. The first long answer stays: if a
// second runner's is long as well, such answers are sound.
func (r *record) keepFallback(a *Answer) {
	if r.fallback != nil && r.fallback.Long != nil {
		a.drop(false)
		return
	}
	r.fallback.drop(false)
	r.fallback = a
}

// prefer returns the better one of the answer that was kept and that of the last attempt, which is nil if there is none,
// and drops the other one.
func prefer(kept, last *Answer) *Answer {
	switch {
	case kept == nil:
		return last
	case last == nil:
		return kept
	case kept.Long != nil && (last.Long != nil || last.Head.Status >= 500):
		last.drop(false)
		return kept
	default:
		kept.drop(true)
		return last
	}
}

// takeFallback returns the answer that was kept, if the caller can still get it.
func (r *record) takeFallback(ctx context.Context) *Answer {
	a := r.fallback
	r.fallback = nil
	if a != nil && a.Long != nil && ctx.Err() != nil {
		a.drop(true)
		return nil
	}
	return a
}

// drop releases an answer that isn't returned to the caller.
func (a *Answer) drop(isFault bool) {
	if a == nil {
		return
	}
	if a.Long != nil {
		a.Long.drop(isFault)
	}
	a.Release()
}

// Counted reports whether the body takes a share of what may be held of all answers, so that Release must be called once
// it is written.
func (a *Answer) Counted() bool { return a.reserved != nil && a.reserved.Counted() }

// Release gives back what is counted for the body.
func (a *Answer) Release() {
	if a.reserved != nil {
		a.reserved.Release()
	}
}
