package member_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/thymerack/thymerack/coordination/member/membertest"
	"github.com/thymerack/thymerack/coordination/snapshot"
	"github.com/thymerack/thymerack/state"
)

// measure adds the sizes that take long.
var measure = flag.Bool("measure", false, "measure the membership at all sizes")

// oneWay is the longest delay of a message between hosts.
const oneWay = 3 * time.Millisecond

func sizes(all ...int) []int {
	if *measure {
		return all
	}
	return all[:1]
}

// TestMeasureDigestBytes prints the encoded bytes that a host sends and takes in a
// second, with and without load.
func TestMeasureDigestBytes(t *testing.T) {
	for _, hosts := range sizes(8, 32, 96) {
		for _, runners := range sizes(15, 150, 1800) {
			inFleet(t, membertest.Options{MaxDelay: oneWay, Engines: names(runners)}, func(t *testing.T, is *is.I, f *membertest.Fleet) {
				fleet := f.StartAll(hosts)
				for _, h := range fleet {
					h.List(f.Listed())
				}
				time.Sleep(10 * time.Second)
				idle := bytesPerSecond(f, nil)
				loaded := bytesPerSecond(f, func() { load(fleet, 12) })
				t.Logf("%2d hosts, %4d runners: idle %5.0f B/s, 12 runners busy at each host %6.0f B/s", hosts, runners, idle, loaded)
				is.True(idle > 0)
				if hosts <= 16 {
					is.True(loaded > idle) // small fleets tell each other their work
				} else {
					is.True(loaded < 1.05*idle) // large ones don't
				}
			})
		}
	}
}

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("roster-llm-%04d", i))
	}
	return out
}

// load changes the work in flight of every host at a few runners.
func load(fleet []*membertest.Host, busy int) {
	for i, h := range fleet {
		v := h.Keeper.View()
		for j := range busy {
			r := &v.Runners[(i*busy+j)%len(v.Runners)]
			r.InFlight.Add(snapshot.Work{Requests: 1, PrefillTokens: 900, DecodeTokens: 150})
		}
	}
}

// bytesPerSecond returns the mean of a host over ten seconds.
func bytesPerSecond(f *membertest.Fleet, eachSecond func()) float64 {
	const seconds = 10
	f.Traffic()
	for range seconds {
		if eachSecond != nil {
			eachSecond()
		}
		time.Sleep(time.Second)
	}
	_, bytes := f.Traffic()
	sum := 0
	for _, n := range bytes {
		sum += n
	}
	return float64(sum) / seconds / float64(len(bytes))
}

// TestMeasureSpread prints how long an edit and a leaving upstream take to reach
// all hosts, with the platform up and with one host alone that reaches it.
func TestMeasureSpread(t *testing.T) {
	for _, hosts := range sizes(8, 24, 64, 96) {
		for _, alone := range []bool{false, true} {
			var edits, leavings []time.Duration
			for seed := range uint64(5) {
				inFleet(t, membertest.Options{Seed: seed, MaxDelay: oneWay, Engines: []string{"e"}}, func(t *testing.T, is *is.I, f *membertest.Fleet) {
					edit, leaving := spread(t, is, f, hosts, alone)
					edits, leavings = append(edits, edit), append(leavings, leaving)
				})
			}
			t.Logf("%2d hosts, platform seen by one alone %-5v: edit in force everywhere after %v (%v to %v), leaving upstream known after %v (%v to %v)",
				hosts, alone, median(edits), slices.Min(edits), slices.Max(edits), median(leavings), slices.Min(leavings), slices.Max(leavings))
			is.New(t).True(slices.Max(edits) <= 4*time.Second && slices.Max(leavings) <= 3*time.Second)
		}
	}
}

func spread(t *testing.T, is *is.I, f *membertest.Fleet, hosts int, alone bool) (edit, leaving time.Duration) {
	fleet := f.StartAll(hosts)
	for _, h := range fleet {
		h.List(f.Listed())
	}
	version, err := fleet[0].Rollout.Edit(t.Context(), 0, config(1))
	is.NoErr(err)
	time.Sleep(5 * time.Second)
	if alone {
		for _, h := range fleet[1:] {
			f.SetPlatform(true, h.ID.Name)
		}
		time.Sleep(5 * time.Second) // the watches that wait end
	}
	version, err = fleet[0].Rollout.Edit(t.Context(), version, config(2))
	is.NoErr(err)
	edit = until(func() bool {
		return all(fleet, func(h *membertest.Host) bool { return h.Rollout.Version() >= version })
	})
	f.SetEngine("e", "1", state.ListedLeaving)
	fleet[0].List(f.Listed()) // the others' lists lag
	leaving = until(func() bool {
		return all(fleet, func(h *membertest.Host) bool { return h.Keeper.View().Runner("e").Leaving })
	})
	return edit, leaving
}

func all(fleet []*membertest.Host, is func(*membertest.Host) bool) bool {
	return !slices.ContainsFunc(fleet, func(h *membertest.Host) bool { return !is(h) })
}

func median(d []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(d))
	return sorted[len(sorted)/2]
}

func config(mark int64) []byte {
	value, err := json.Marshal(state.Config{
		Services: []state.Service{{Name: "s", Kind: state.KindService}},
		Classes:  []state.Class{{Name: "c", DeadlineMillis: mark}},
	})
	if err != nil {
		panic(err)
	}
	return value
}
