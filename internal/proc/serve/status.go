package serve

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/peer/oper"
	"umberladder/internal/proc/burn"
	"umberladder/internal/state/member"
)

// registerGauges exports counts that the VM's components keep as gauges.
func (v *VM) registerGauges() {
	for name, f := range map[string]func() float64{
		"umberladder_store_calls_total":              func() float64 { return float64(v.store.Calls()) },
		"umberladder_peer_sent_bytes_total":          func() float64 { return float64(v.traffic.SentBytes.Load()) },
		"umberladder_peer_received_bytes_total":      func() float64 { return float64(v.traffic.ReceivedBytes.Load()) },
		"umberladder_peer_sent_packets_total":        func() float64 { return float64(v.traffic.SentPackets.Load()) },
		"umberladder_peer_received_packets_total":    func() float64 { return float64(v.traffic.ReceivedPackets.Load()) },
		"umberladder_peer_call_bytes_total":          func() float64 { return float64(v.traffic.CallBytes.Load()) },
		"umberladder_peer_forged_total":              func() float64 { return float64(v.traffic.Forged.Load()) },
		"umberladder_live_vms":                       func() float64 { return float64(len(v.fleet.View().Live)) },
		"umberladder_vm_removals_total":              func() float64 { return float64(v.fleet.Removals()) },
		"umberladder_settings_revision":              func() float64 { return float64(v.settings.Load().Revision) },
		"umberladder_claim_shards":                   func() float64 { shards, _ := v.shards.Held(); return float64(shards) },
		"umberladder_home_tickets":                   func() float64 { return float64(v.coordinator.Tickets()) },
		"umberladder_claims":                         func() float64 { _, claims := v.shards.Held(); return float64(claims) },
		"umberladder_invariant_violations_sum_total": func() float64 { return float64(v.invariants.Total()) },
	} {
		v.metricSet.NewGauge(name, f)
	}
	v.bounds.Register(v.metricSet)
}

func (v *VM) writeMetrics(ctx *fasthttp.RequestCtx) {
	v.metricSet.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// Status implements oper.VM.
func (v *VM) Status(a *fastjson.Arena) *fastjson.Value {
	o := a.NewObject()
	o.Set("vm", a.NewString(string(v.cfg.Name)))
	o.Set("failure-domain", a.NewString(string(v.cfg.Domain)))
	o.Set("ready", oper.JSONBool(a, v.handler.Ready()))
	o.Set("settings-revision", oper.JSONUint(a, v.settings.Load().Revision))
	shards, claims := v.shards.Held()
	o.Set("claim-shards", a.NewNumberInt(shards))
	o.Set("claims", a.NewNumberInt(claims))
	o.Set("invariant-violations", violationCounts(a, v.invariants))
	o.Set("members", memberList(a, v.fleet.All()))
	pools := a.NewObject()
	for _, p := range v.poller.Pools() {
		m := a.NewObject()
		m.Set("engines", a.NewNumberInt(len(p.Servers())))
		m.Set("waiting", a.NewNumberInt(p.QueueLen()))
		pools.Set(string(p.Model()), m)
	}
	o.Set("models", pools)
	return o
}

func violationCounts(a *fastjson.Arena, checker *invar.Checker) *fastjson.Value {
	o := a.NewObject()
	for _, n := range invar.All() {
		o.Set(n.String(), a.NewNumberInt(int(checker.Count(n))))
	}
	return o
}

func memberList(a *fastjson.Arena, list []member.Member) *fastjson.Value {
	out := a.NewArray()
	for i, m := range list {
		o := a.NewObject()
		o.Set("name", a.NewString(string(m.Name)))
		o.Set("state", a.NewString(m.State.String()))
		o.Set("failure-domain", a.NewString(string(m.Domain)))
		o.Set("incarnation", oper.JSONUint(a, m.Incarnation))
		out.SetArrayItem(i, o)
	}
	return out
}

// Drain implements oper.VM.
func (v *VM) Drain() { v.drainOnce.Do(func() { close(v.drainRequested) }) }

// Report implements nodes.Reporter. It returns this VM's burn report as JSON,
// or nil if it cannot be encoded.
func (v *VM) Report() []byte {
	data, err := v.meter.Snapshot(time.Now()).Encode()
	if err != nil {
		return nil
	}
	return data
}

// BurnReport implements oper.VM.
func (v *VM) BurnReport(ctx context.Context, merged bool, only ident.Workspace) ([]byte, error) {
	rep := v.meter.Snapshot(time.Now())
	if merged {
		v.mergePeerBurn(ctx, rep)
	}
	if only != "" {
		rep.FilterWorkspace(only)
	}
	data, err := rep.Encode()
	return data, trace.Wrap(err)
}

// mergePeerBurn adds the other VMs' counts to rep and lists the VMs that do not
// respond, including those suspected of having failed.
func (v *VM) mergePeerBurn(ctx context.Context, rep *burn.Report) {
	var mu sync.Mutex
	v.callPeers(func(m member.Member) {
		data, err := v.peers.Burn(ctx, m)
		var peer *burn.Report
		if err == nil {
			peer, err = burn.Decode(data)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			rep.Silent = append(rep.Silent, m.Name)
			return
		}
		rep.Merge(peer)
	})
}

// callPeers calls fn concurrently for every other known VM that has not left
// the fleet, and waits for all calls to return.
func (v *VM) callPeers(fn func(m member.Member)) {
	var g errgroup.Group
	for _, m := range v.fleet.All() {
		if m.Name == v.cfg.Name || m.State == member.Left {
			continue
		}
		g.Go(func() error {
			fn(m)
			return nil
		})
	}
	_ = g.Wait()
}
