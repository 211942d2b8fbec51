package daemon

import (
	"github.com/thymerack/thymerack/transport/platform"
)

// newGauges adds what is read off the parts when the metrics are.
func (d *Daemon) newGauges() error {
	gauge := d.metrics.Gauge
	gauge("thymerack_requests_in_flight", func() float64 { return float64(d.front.InFlight()) })
	gauge("thymerack_answers_held", func() float64 { return float64(d.answers.Len()) })
	gauge("thymerack_hosts_live", func() float64 { return float64(len(d.member.Hosts())) })
	gauge("thymerack_isolated", func() float64 { return oneIf(d.member.Isolated()) })
	gauge("thymerack_ready", func() float64 { return oneIf(d.ready()) })
	gauge("thymerack_config_version", func() float64 { return float64(d.rollout.Version()) })
	gauge("thymerack_runners_taking_work", d.runnersTakingWork)
	gauge("thymerack_quarantined", func() float64 { return float64(d.quarantine.Size()) })
	gauge("thymerack_peer_sent_bytes_total", func() float64 { return float64(d.peers.Stats().BytesOut + d.peerServer.Stats().BytesOut) })
	gauge("thymerack_peer_received_bytes_total", func() float64 { return float64(d.peers.Stats().BytesIn + d.peerServer.Stats().BytesIn) })
	ops := []struct {
		name string
		of   func(platform.Stats) platform.OpStats
	}{
		{"get", func(s platform.Stats) platform.OpStats { return s.Get }},
		{"put", func(s platform.Stats) platform.OpStats { return s.Put }},
		{"delete", func(s platform.Stats) platform.OpStats { return s.Delete }},
		{"list", func(s platform.Stats) platform.OpStats { return s.List }},
		{"watch", func(s platform.Stats) platform.OpStats { return s.Watch }},
		{"hosts", func(s platform.Stats) platform.OpStats { return s.Hosts }},
	}
	for _, op := range ops {
		labels := `{op="` + op.name + `"}`
		gauge("thymerack_platform_calls_total"+labels, func() float64 { return float64(op.of(d.platform.Stats()).Calls) })
		gauge("thymerack_platform_failures_total"+labels, func() float64 { return float64(op.of(d.platform.Stats()).Failures) })
		gauge("thymerack_platform_sent_bytes_total"+labels, func() float64 { return float64(op.of(d.platform.Stats()).BytesSent) })
		gauge("thymerack_platform_received_bytes_total"+labels, func() float64 { return float64(op.of(d.platform.Stats()).BytesReceived) })
	}
	return nil
}

func (d *Daemon) runnersTakingWork() float64 {
	v := d.keeper.View()
	n := 0
	for i := range v.Runners {
		if v.Runners[i].TakesWork() {
			n++
		}
	}
	return float64(n)
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
