package edge

import (
	"fmt"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/gossip"
	"umberladder/internal/policy/hold"
	"umberladder/internal/proc/bounds"
)

// Metric names.
const (
	metricCalls           = "umberladder_calls_total"
	metricTimeToFirst     = "umberladder_first_seconds"
	metricDuration        = "umberladder_call_seconds"
	metricMaxEventGap     = "umberladder_gap_seconds"
	metricMigrations      = "umberladder_moves_total"
	metricAttempts        = "umberladder_sent_total"
	metricCloseDelimited  = "umberladder_close_delimited_total"
	metricTakenUp         = "umberladder_streams_taken_up_total"
	metricOrigins         = "umberladder_stream_origins"
	metricStoreCalls      = "umberladder_store_calls_total"
	metricLogLines        = "umberladder_log_lines_total"
	metricLogDropped      = "umberladder_log_left_out_total"
	metricConns           = "umberladder_client_connections"
	metricSettingsVersion = "umberladder_settings_version"
	metricSettingsAge     = "umberladder_settings_age_seconds"
	metricKnownVersion    = "umberladder_settings_known_version"
	metricSettingsBehind  = "umberladder_settings_behind_seconds"
	metricServers         = "umberladder_servers"
	metricServerDataAge   = "umberladder_store_answered_seconds"
	metricLivePeers       = "umberladder_vms_heard"
	metricIsHub           = "umberladder_hub"
	metricReporters       = "umberladder_reporting_vms"
	metricMessages        = "umberladder_messages_total"
	metricMessageBytes    = "umberladder_message_bytes_total"
	metricWatchesStore    = "umberladder_watches_store"
	metricReady           = "umberladder_ready"
	metricPlacements      = "umberladder_placements_total"
	metricQueued          = "umberladder_waiting_at_home"
	metricGrantedTokens   = "umberladder_granted_tokens_total"
	metricRefusedRuns     = "umberladder_runs_refused_total"
	metricRetriedRuns     = "umberladder_runs_retried_total"
	metricWaitingShares   = "umberladder_workspaces_waiting"
	metricQuarantined     = "umberladder_quarantined_requests"
	metricServersLimited  = "umberladder_servers_limited"
	metricEvacuated       = "umberladder_failure_domains_evacuated"
	metricBrittle         = "umberladder_services_brittle"
	metricPlainSlow       = "umberladder_plain_servers_slow"
	metricConnections     = "umberladder_server_connections_total"
	metricServersCutOff   = "umberladder_servers_cut_off"
	metricTunnels         = "umberladder_tunnels"
	metricLargeResponses  = "umberladder_large_response_bytes"
	metricConnsShed       = "umberladder_client_connections_shed_total"
	metricEnginesSlow     = "umberladder_engines_slow"
)

// Metric describes one metric.
type Metric struct {
	Name string
	Kind string
	Help string
}

// Metrics returns the descriptions of all metrics of the VM. A test compares them
// with docs/METRICS.md.
func Metrics() []Metric {
	return []Metric{
		{metricCalls, "counter", "calls ended, by service, kind, status sent, reason of the refusal and whether the call ran"},
		{metricTimeToFirst, "histogram", "time to the answer or a stream's first event, by service and kind"},
		{metricDuration, "histogram", "time to a call's end, by service and kind"},
		{metricMaxEventGap, "histogram", "longest pause between two events of a stream, by service and kind"},
		{metricMigrations, "counter", "times a stream went on at another engine, by service and kind"},
		{metricAttempts, "counter", "sendings of calls to servers, by service and kind"},
		{metricCloseDelimited, "counter", "calls whose server marked the end of its response only by closing the connection, by service, kind and whether the response was delivered completely"},
		{metricTakenUp, "counter", "calls that took up a stream, by service and where the version that began it was found: own-record, peer-record, only-version"},
		{metricOrigins, "gauge", "streams of which this VM keeps a record of the version that began them"},
		{metricStoreCalls, "gauge", "calls to the store since the start, by kind"},
		{metricLogLines, "gauge", "log lines written since the start"},
		{metricLogDropped, "gauge", "log lines left out since the start"},
		{metricConns, "gauge", "open connections of clients"},
		{metricConnsShed, "counter", "connections of clients closed unread because this VM is overloaded and others are less so"},
		{metricSettingsVersion, "gauge", "version of the settings in force"},
		{metricSettingsAge, "gauge", "time since the settings were known to be the newest"},
		{metricKnownVersion, "gauge", "newest version of the settings that this VM has in force or has heard of"},
		{metricSettingsBehind, "gauge", "for how long a version newer than the one in force has been known; 0: none is"},
		{metricServers, "gauge", "backend servers known"},
		{metricServerDataAge, "gauge", "age of what is known of the servers, from the store or from other VMs"},
		{metricLivePeers, "gauge", "other VMs that are heard; one that is no hub hears the hubs"},
		{metricIsHub, "gauge", "1 if this VM is one of the hubs, to which the others report"},
		{metricReporters, "gauge", "VMs that report to this one"},
		{metricMessages, "gauge", "messages sent to other VMs since the start, by kind: reports, answers, seats, origins"},
		{metricMessageBytes, "gauge", "bytes of these messages, by kind"},
		{metricWatchesStore, "gauge", "1 if this VM watches the store, 0 if others tell it"},
		{metricPlacements, "counter", "placements of runs at engines, by outcome: by-home, alone (no home answered), no-room, no-server, client-left"},
		{metricQueued, "gauge", "runs of all VMs that wait for room here, as this VM is the home of their service"},
		{metricGrantedTokens, "counter", "tokens of memory (for plain calls, slots) granted here to runs of all VMs while there are workspaces, by rank (0, 1, 2+) and whether the workspace had got more than its share"},
		{metricRefusedRuns, "counter", "runs of all VMs refused here for lack of room while there are workspaces, by the same"},
		{metricRetriedRuns, "counter", "runs of all VMs that were refused here for lack of room and came back when their tickets were due, by outcome: served, refused"},
		{metricWaitingShares, "gauge", "workspaces that have runs waiting for room here"},
		{metricServersLimited, "gauge", "backend servers whose limit on the requests of all VMs is in force"},
		{metricEvacuated, "gauge", "failure domains that operators have evacuated, as far as this VM knows"},
		{metricBrittle, "gauge", "services whose servers fail if they reject too many requests"},
		{metricEnginesSlow, "gauge", "engines whose time per token is over 1.3 times the median of their service, as far as this VM has placed runs of it"},
		{metricPlainSlow, "gauge", "plain servers that are slow: their mean response time is well over 1.3 times the median of their service; by service"},
		{metricConnections, "counter", "attempts to connect to servers, by path (direct, or through a peer VM) and outcome"},
		{metricServersCutOff, "gauge", "servers that this VM reaches only through other VMs"},
		{metricLargeResponses, "gauge", "bytes that responses and events of servers hold until clients have read them; a part of the bytes held for clients"},
		{bounds.MetricHeld, "gauge", "bytes held for clients, by what for: connections, requests, responses"},
		{bounds.MetricHeldLimit, "gauge", "most bytes that may be held for clients"},
		{bounds.MetricDescriptors, "gauge", "descriptors that connections of clients and to servers use"},
		{bounds.MetricDescriptorLimit, "gauge", "descriptors that the process may have open"},
		{bounds.MetricReclaimed, "counter", "connections of clients closed, or requests that were being read refused, because others needed what they held"},
		{bounds.MetricRefusals, "counter", "refusals because clients hold too much, of: connections (also to servers), requests, responses"},
		{metricTunnels, "gauge", "connections of other VMs to servers that this VM carries"},
		{metricQuarantined, "gauge", "requests that this VM refuses because servers crashed that ran them"},
		{metricReady, "gauge", "1 if the balancer should send clients here"},
	}
}

// registerGauges exports state that the VM's components keep as gauges.
func (v *VM) registerGauges(deps Deps) {
	lines := func() (float64, float64) {
		written, dropped := deps.LogSink.Counts()
		return float64(written), float64(dropped)
	}
	for name, f := range map[string]func() float64{
		metricLogLines:        func() float64 { n, _ := lines(); return n },
		metricLogDropped:      func() float64 { _, n := lines(); return n },
		metricConnsShed:       func() float64 { return float64(v.gate.ShedCount()) },
		metricConns:           func() float64 { return float64(v.front.OpenConns()) },
		metricSettingsVersion: func() float64 { return float64(v.node.Version()) },
		metricSettingsAge:     func() float64 { return v.node.Settings.Age().Seconds() },
		metricKnownVersion:    func() float64 { return float64(v.node.Settings.KnownVersion()) },
		metricSettingsBehind:  func() float64 { return v.node.Settings.BehindFor().Seconds() },
		metricServers:         func() float64 { return float64(v.node.Servers.View().Len()) },
		metricServerDataAge:   func() float64 { return v.node.ServerFollower.Age().Seconds() },
		metricLivePeers:       func() float64 { return float64(v.node.Hubs.LivePeers(time.Now())) },
		metricIsHub:           func() float64 { return boolValue(v.node.Hubs.IsHub(time.Now())) },
		metricReporters: func() float64 {
			_, n := v.node.Hubs.ReporterCounts(time.Now())
			return float64(n)
		},
		metricWatchesStore:   func() float64 { return boolValue(v.node.WatchesStore()) },
		metricQueued:         func() float64 { return float64(v.coordinator.QueueLen()) },
		metricWaitingShares:  func() float64 { return float64(v.coordinator.WaitingWorkspaces()) },
		metricReady:          func() float64 { return boolValue(v.Ready()) },
		metricServersLimited: func() float64 { return float64(v.node.Rates.LimitedCount(time.Now())) },
		metricEvacuated:      func() float64 { return float64(len(v.node.Servers.Evacuations().Domains)) },
		metricBrittle:        func() float64 { return float64(len(v.node.Reject.Services(time.Now()))) },
		metricServersCutOff:  func() float64 { return float64(v.node.Reach.CutOffCount(time.Now())) },
		metricTunnels:        func() float64 { return float64(v.tunnels.Open()) },
		metricLargeResponses: func() float64 { return float64(v.bounds.Held.Held(hold.Responses)) },
		metricOrigins:        func() float64 { return float64(v.node.Origins.Len()) },
		metricEnginesSlow:    func() float64 { return float64(v.chooser.SlowEngines(time.Now())) },
		metricQuarantined:    func() float64 { return float64(v.node.Poison.QuarantinedCount(time.Now())) },
	} {
		v.metricSet.NewGauge(name, f)
	}
	v.registerMessageGauges(deps)
	v.bounds.Register(v.metricSet)
}

// registerMessageGauges exports the calls to the store and the messages to other
// VMs, by kind.
func (v *VM) registerMessageGauges(deps Deps) {
	for kind := range deps.StoreCalls() {
		v.metricSet.NewGauge(fmt.Sprintf("%s{kind=%q}", metricStoreCalls, kind), func() float64 { return float64(deps.StoreCalls()[kind]) })
	}
	for k := range gossip.NumKinds {
		v.metricSet.NewGauge(fmt.Sprintf("%s{kind=%q}", metricMessages, k), func() float64 { return float64(v.node.Sent(k).Messages) })
		v.metricSet.NewGauge(fmt.Sprintf("%s{kind=%q}", metricMessageBytes, k), func() float64 { return float64(v.node.Sent(k).Bytes) })
	}
}

// registerSlowGauges exports the number of slow servers of each plain service that has had
// calls. Services become known as they get calls.
func (v *VM) registerSlowGauges() {
	for _, c := range v.node.Timings.SlowCounts(time.Now()) {
		v.metricSet.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", metricPlainSlow, c.Service), func() float64 { return v.slowServers(c.Service) })
	}
}

// slowServers returns the number of slow servers of a plain service.
func (v *VM) slowServers(s ident.Service) float64 {
	for _, c := range v.node.Timings.SlowCounts(time.Now()) {
		if c.Service == s {
			return float64(c.Servers)
		}
	}
	return 0
}

// countPlacement counts a placement by its outcome.
func (v *VM) countPlacement(outcome string) {
	v.metricSet.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", metricPlacements, outcome)).Inc()
}

// countConnection counts an attempt to connect to a server.
func (v *VM) countConnection(way, outcome string) {
	v.metricSet.GetOrCreateCounter(fmt.Sprintf("%s{path=%q,outcome=%q}", metricConnections, way, outcome)).Inc()
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
