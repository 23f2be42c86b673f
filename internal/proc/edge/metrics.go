package edge

import (
	"fmt"
	"time"

	"umberladder/internal/peer/gossip"
)

// Names of the metrics.
const (
	metricCalls    = "umberladder_calls_total"
	metricFirst    = "umberladder_first_seconds"
	metricWhole    = "umberladder_call_seconds"
	metricGap      = "umberladder_gap_seconds"
	metricMoves    = "umberladder_moves_total"
	metricSent     = "umberladder_sent_total"
	metricStore    = "umberladder_store_calls_total"
	metricLines    = "umberladder_log_lines_total"
	metricLeftOut  = "umberladder_log_left_out_total"
	metricConns    = "umberladder_client_connections"
	metricVersion  = "umberladder_settings_version"
	metricAge      = "umberladder_settings_age_seconds"
	metricKnown    = "umberladder_settings_known_version"
	metricBehind   = "umberladder_settings_behind_seconds"
	metricServers  = "umberladder_servers"
	metricAnswered = "umberladder_store_answered_seconds"
	metricPeers    = "umberladder_vms_heard"
	metricHub      = "umberladder_hub"
	metricReports  = "umberladder_reporting_vms"
	metricSaid     = "umberladder_messages_total"
	metricBytes    = "umberladder_message_bytes_total"
	metricWatches  = "umberladder_watches_store"
	metricReady    = "umberladder_ready"
	metricPlaced   = "umberladder_placements_total"
	metricWaiting  = "umberladder_waiting_at_home"
	metricHeld     = "umberladder_quarantined_requests"
	metricLimited  = "umberladder_servers_limited"
)

// Metric describes one metric.
type Metric struct {
	Name string
	Kind string
	Help string
}

// Metrics lists every metric of the VM, for docs/METRICS.md.
func Metrics() []Metric {
	return []Metric{
		{metricCalls, "counter", "calls ended, by service, kind, status sent, reason of the refusal and whether the call ran"},
		{metricFirst, "histogram", "time to the answer or a stream's first event, by service and kind"},
		{metricWhole, "histogram", "time to a call's end, by service and kind"},
		{metricGap, "histogram", "longest pause between two events of a stream, by service and kind"},
		{metricMoves, "counter", "times a stream went on at another engine, by service and kind"},
		{metricSent, "counter", "sendings of calls to servers, by service and kind"},
		{metricStore, "gauge", "calls to the store since the start, by kind"},
		{metricLines, "gauge", "log lines written since the start"},
		{metricLeftOut, "gauge", "log lines left out since the start"},
		{metricConns, "gauge", "open connections of clients"},
		{metricVersion, "gauge", "version of the settings in force"},
		{metricAge, "gauge", "time since the settings were known to be the newest"},
		{metricKnown, "gauge", "newest version of the settings that this VM has in force or has heard of"},
		{metricBehind, "gauge", "for how long a version newer than the one in force has been known; 0: none is"},
		{metricServers, "gauge", "backend servers known"},
		{metricAnswered, "gauge", "age of what is known of the servers, from the store or from other VMs"},
		{metricPeers, "gauge", "other VMs that are heard; one that is no hub hears the hubs"},
		{metricHub, "gauge", "1 if this VM is one of the hubs, to which the others report"},
		{metricReports, "gauge", "VMs that report to this one"},
		{metricSaid, "gauge", "messages sent to other VMs since the start, by kind: reports, answers, seats"},
		{metricBytes, "gauge", "bytes of these messages, by kind"},
		{metricWatches, "gauge", "1 if this VM watches the store, 0 if others tell it"},
		{metricPlaced, "counter", "placements of runs at engines, by outcome: by-home, alone (no home answered), no-room, no-server, client-left"},
		{metricWaiting, "gauge", "runs of all VMs that wait for room here, as this VM is the home of their service"},
		{metricLimited, "gauge", "backend servers whose limit on the requests of all VMs is in force"},
		{metricHeld, "gauge", "requests that this VM refuses because servers crashed that ran them"},
		{metricReady, "gauge", "1 if the balancer should send clients here"},
	}
}

// gauges exports what the VM knows anyway.
func (v *VM) gauges(ports Ports) {
	lines := func() (float64, float64) {
		written, left := ports.Lines.Counts()
		return float64(written), float64(left)
	}
	for name, f := range map[string]func() float64{
		metricLines:    func() float64 { n, _ := lines(); return n },
		metricLeftOut:  func() float64 { _, n := lines(); return n },
		metricConns:    func() float64 { return float64(v.front.Open()) },
		metricVersion:  func() float64 { return float64(v.node.Version()) },
		metricAge:      func() float64 { return v.node.Settings.Age().Seconds() },
		metricKnown:    func() float64 { return float64(v.node.Settings.Known()) },
		metricBehind:   func() float64 { return v.node.Settings.Behind().Seconds() },
		metricServers:  func() float64 { return float64(v.node.Servers.View().Len()) },
		metricAnswered: func() float64 { return v.node.Discover.Age().Seconds() },
		metricPeers:    func() float64 { return float64(v.node.Hubs.Heard(time.Now())) },
		metricHub:      func() float64 { return number(v.node.Hubs.Hub(time.Now())) },
		metricReports: func() float64 {
			_, n := v.node.Hubs.Count(time.Now())
			return float64(n)
		},
		metricWatches: func() float64 { return number(v.node.Watches()) },
		metricWaiting: func() float64 { return float64(v.home.Waiting()) },
		metricReady:   func() float64 { return number(v.Ready()) },
		metricLimited: func() float64 { return float64(v.node.Rates.LimitedCount(time.Now())) },
		metricHeld:    func() float64 { return float64(v.node.Poison.Len(time.Now())) },
	} {
		v.set.NewGauge(name, f)
	}
	v.counts(ports)
}

// counts exports what the VM has sent, by kind.
func (v *VM) counts(ports Ports) {
	for kind := range ports.Calls() {
		v.set.NewGauge(fmt.Sprintf("%s{kind=%q}", metricStore, kind), func() float64 { return float64(ports.Calls()[kind]) })
	}
	for k := range gossip.Kinds {
		v.set.NewGauge(fmt.Sprintf("%s{kind=%q}", metricSaid, k), func() float64 { return float64(v.node.Sent(k).Messages) })
		v.set.NewGauge(fmt.Sprintf("%s{kind=%q}", metricBytes, k), func() float64 { return float64(v.node.Sent(k).Bytes) })
	}
}

// countPlacement counts a placement by its outcome.
func (v *VM) countPlacement(outcome string) {
	v.set.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", metricPlaced, outcome)).Inc()
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
