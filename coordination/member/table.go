package member

import (
	"slices"
	"time"

	"github.com/thymerack/thymerack/state"
)

// entry is what is held of one host. Its slices are never changed, only replaced.
type entry struct {
	static Static
	seq    uint64
	// at is when the host is known to have been alive, by this host's clock.
	at        time.Time
	beat      Beat
	drained   []Ack
	leaving   []Leaving
	work      []UpstreamWork
	sponsored []state.HostID
	// changed is the sequence number at which each section last changed.
	changed changes
}

// changes holds a sequence number a section.
type changes struct {
	static, beat, drained, leaving, work, sponsored uint64
}

func (e *entry) member() state.Member {
	return state.Member{
		ID: e.static.ID, FailureDomain: e.static.FailureDomain,
		PeerAddr: e.static.PeerAddr, CallerAddr: e.static.CallerAddr,
	}
}

// delta returns what changed after since.
func (e *entry) delta(key, since uint64, now time.Time) Delta {
	d := Delta{Key: key, Seq: e.seq, Since: since, AgeMillis: millis(now.Sub(e.at))}
	if e.changed.static > since {
		static := e.static
		d.Static = &static
	}
	if e.changed.beat > since {
		beat := e.beat
		d.Beat = &beat
	}
	d.Drained = section(e.drained, e.changed.drained > since)
	d.Leaving = section(e.leaving, e.changed.leaving > since)
	d.Work = section(e.work, e.changed.work > since)
	d.Sponsored = section(e.sponsored, e.changed.sponsored > since)
	return d
}

// section returns s as a section that is present even when empty.
func section[T any](s []T, changed bool) *[]T {
	if !changed {
		return nil
	}
	if s == nil {
		s = []T{}
	}
	return &s
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<31))
}

// apply takes over a delta that is newer than the entry and continues from it.
func (e *entry) apply(d Delta, now time.Time) bool {
	if d.Seq <= e.seq || d.Since > e.seq {
		return false
	}
	if e.seq == 0 && (d.Static == nil || keyOf(d.Static.ID) != d.Key) {
		return false
	}
	e.seq = d.Seq
	if at := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond); at.After(e.at) {
		e.at = at
	}
	take(&e.static, d.Static, &e.changed.static, d.Seq)
	take(&e.beat, d.Beat, &e.changed.beat, d.Seq)
	take(&e.drained, d.Drained, &e.changed.drained, d.Seq)
	take(&e.leaving, d.Leaving, &e.changed.leaving, d.Seq)
	take(&e.work, d.Work, &e.changed.work, d.Seq)
	take(&e.sponsored, d.Sponsored, &e.changed.sponsored, d.Seq)
	return true
}

func take[T any](to *T, from *T, changed *uint64, seq uint64) {
	if from != nil {
		*to = *from
		*changed = seq
	}
}

// ack returns the host's statement about an engine at a fence.
func (e *entry) ack(engine string, fence uint64) (Ack, bool) {
	i := slices.IndexFunc(e.drained, func(a Ack) bool { return a.Engine == engine && a.Fence == fence })
	if i < 0 {
		return Ack{}, false
	}
	return e.drained[i], true
}

// table holds the entries of all hosts, this one included, by key.
type table map[uint64]*entry

// known returns the sequence numbers held.
func (t table) known() []Known {
	out := make([]Known, 0, len(t))
	for key, e := range t {
		out = append(out, Known{Key: key, Seq: e.seq})
	}
	return out
}

// compare returns the deltas that the sender of known lacks and the entries that
// this host lacks. Entries older than forwardFor aren't passed on, so that a dead
// host's entry doesn't travel for ever.
func (t table) compare(known []Known, now time.Time, forwardFor time.Duration) (deltas []Delta, want []Known) {
	theirs := make(map[uint64]uint64, len(known))
	for _, k := range known {
		theirs[k.Key] = k.Seq
		e := t[k.Key]
		switch {
		case e == nil:
			want = append(want, Known{Key: k.Key})
		case e.seq < k.Seq:
			want = append(want, Known{Key: k.Key, Seq: e.seq})
		}
	}
	for key, e := range t {
		if e.seq > theirs[key] && now.Sub(e.at) < forwardFor {
			deltas = append(deltas, e.delta(key, theirs[key], now))
		}
	}
	return deltas, want
}

// wanted returns the deltas that were asked for.
func (t table) wanted(want []Known, now time.Time, forwardFor time.Duration) []Delta {
	var out []Delta
	for _, k := range want {
		if e := t[k.Key]; e != nil && e.seq > k.Seq && now.Sub(e.at) < forwardFor {
			out = append(out, e.delta(k.Key, k.Seq, now))
		}
	}
	return out
}

// of returns the entry of exactly that run of a host, or nil.
func (t table) of(id state.HostID) *entry {
	e := t[keyOf(id)]
	if e == nil || e.static.ID != id {
		return nil
	}
	return e
}
