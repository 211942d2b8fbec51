package quarantines

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thymerack/thymerack/coordination/fanout"
	"github.com/thymerack/thymerack/coordination/fanout/fanouttest"
	"github.com/thymerack/thymerack/coordination/quarantine"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/wallclock"
)

func TestNoticeRoundTrip(t *testing.T) {
	is := is.New(t)
	n := fanouttest.NewNode(t)
	at := time.UnixMilli(1_790_000_000_123)
	d1, d2 := quarantine.DigestOf(quarantine.Content{URI: "1"}), quarantine.DigestOf(quarantine.Content{URI: "2"})
	ages := []time.Duration{80 * time.Millisecond, 3 * time.Second}
	sent := quarantine.Notice{
		Crashes: []quarantine.Crash{{
			Run: state.InstanceID{Name: "e1", Born: 7}, Host: "h1", At: at,
			Suspects: []quarantine.Suspect{
				{Digest: d1, RequestID: "a", SentAt: wallclock.Now().Add(-ages[0])},
				{Digest: d2, RequestID: "b", SentAt: wallclock.Now().Add(-ages[1]), LongRunning: true, AnsweredBefore: true},
			},
		}},
		Held:     []quarantine.HeldRequest{{Digest: d1, Evidence: []quarantine.Evidence{{Runner: "e1", Born: 7, RequestID: "a", Host: "h1", At: at}}}},
		Answered: []quarantine.Digest{d2},
	}
	var received []quarantine.Notice
	Subscribe(n, func(q quarantine.Notice) { received = append(received, q) }, slog.New(slog.DiscardHandler))
	is.NoErr(Publish(t.Context(), n, sent))
	for i, s := range received[0].Crashes[0].Suspects {
		is.True(wallclock.Since(s.SentAt) >= ages[i])
		is.True(wallclock.Since(s.SentAt) < ages[i]+time.Minute)
		received[0].Crashes[0].Suspects[i].SentAt = sent.Crashes[0].Suspects[i].SentAt
	}
	is.Equal(received, []quarantine.Notice{sent})

	short, err := msgpack.Marshal(notice{Answered: [][]byte{{1, 2, 3}}})
	is.NoErr(err)
	for number, body := range [][]byte{[]byte("nonsense"), short} {
		n.Deliver(fanout.Notice{Origin: "other", Number: uint64(number + 1), Topic: topic, Body: body})
	}
	is.Equal(len(received), 1)
}
