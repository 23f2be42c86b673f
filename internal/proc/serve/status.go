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

// gauges exports what the VM counts anyway.
func (v *VM) gauges() {
	for name, f := range map[string]func() float64{
		"umberladder_store_calls_total":              func() float64 { return float64(v.store.Calls()) },
		"umberladder_peer_sent_bytes_total":          func() float64 { return float64(v.traffic.Sent.Load()) },
		"umberladder_peer_received_bytes_total":      func() float64 { return float64(v.traffic.Received.Load()) },
		"umberladder_peer_sent_packets_total":        func() float64 { return float64(v.traffic.SentCount.Load()) },
		"umberladder_peer_received_packets_total":    func() float64 { return float64(v.traffic.ReceivedCount.Load()) },
		"umberladder_peer_call_bytes_total":          func() float64 { return float64(v.traffic.Calls.Load()) },
		"umberladder_peer_forged_total":              func() float64 { return float64(v.traffic.Forged.Load()) },
		"umberladder_live_vms":                       func() float64 { return float64(len(v.fleet.View().Live)) },
		"umberladder_vm_removals_total":              func() float64 { return float64(v.fleet.Removals()) },
		"umberladder_settings_revision":              func() float64 { return float64(v.settings.Load().Revision) },
		"umberladder_claim_shards":                   func() float64 { shards, _ := v.keeper.Held(); return float64(shards) },
		"umberladder_home_tickets":                   func() float64 { return float64(v.home.Tickets()) },
		"umberladder_claims":                         func() float64 { _, claims := v.keeper.Held(); return float64(claims) },
		"umberladder_invariant_violations_sum_total": func() float64 { return float64(v.book.Total()) },
	} {
		v.set.NewGauge(name, f)
	}
}

func (v *VM) writeMetrics(ctx *fasthttp.RequestCtx) {
	v.set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// Status implements oper.Node.
func (v *VM) Status(a *fastjson.Arena) *fastjson.Value {
	o := a.NewObject()
	o.Set("vm", a.NewString(string(v.cfg.Name)))
	o.Set("failure-domain", a.NewString(string(v.cfg.Domain)))
	o.Set("ready", oper.Bool(a, v.entry.Ready()))
	o.Set("settings-revision", oper.Number(a, v.settings.Load().Revision))
	shards, claims := v.keeper.Held()
	o.Set("claim-shards", a.NewNumberInt(shards))
	o.Set("claims", a.NewNumberInt(claims))
	o.Set("invariant-violations", violations(a, v.book))
	o.Set("members", members(a, v.fleet.All()))
	pools := a.NewObject()
	for _, p := range v.loads.Pools() {
		m := a.NewObject()
		m.Set("engines", a.NewNumberInt(len(p.Servers())))
		m.Set("waiting", a.NewNumberInt(p.Depth()))
		pools.Set(string(p.Model()), m)
	}
	o.Set("models", pools)
	return o
}

func violations(a *fastjson.Arena, b *invar.Book) *fastjson.Value {
	o := a.NewObject()
	for _, n := range invar.All() {
		o.Set(n.String(), a.NewNumberInt(int(b.Count(n))))
	}
	return o
}

func members(a *fastjson.Arena, list []member.Member) *fastjson.Value {
	out := a.NewArray()
	for i, m := range list {
		o := a.NewObject()
		o.Set("name", a.NewString(string(m.Name)))
		o.Set("state", a.NewString(m.State.String()))
		o.Set("failure-domain", a.NewString(string(m.Domain)))
		o.Set("incarnation", oper.Number(a, m.Incarnation))
		out.SetArrayItem(i, o)
	}
	return out
}

// Drain implements oper.Node.
func (v *VM) Drain() { v.drainOnce.Do(func() { close(v.drain) }) }

// Report implements nodes.Reporter.
func (v *VM) Report() []byte {
	data, err := v.meter.Snapshot(time.Now()).Encode()
	if err != nil {
		return nil
	}
	return data
}

// Burn implements oper.Node.
func (v *VM) Burn(ctx context.Context, merged bool, only ident.Workspace) ([]byte, error) {
	rep := v.meter.Snapshot(time.Now())
	if merged {
		v.mergeBurn(ctx, rep)
	}
	if only != "" {
		rep.Only(only)
	}
	data, err := rep.Encode()
	return data, trace.Wrap(err)
}

// mergeBurn adds the other VMs' counts, and names those that do not answer,
// suspects among them.
func (v *VM) mergeBurn(ctx context.Context, rep *burn.Report) {
	var mu sync.Mutex
	v.askOthers(func(m member.Member) {
		data, err := v.peers.Burn(ctx, m)
		var one *burn.Report
		if err == nil {
			one, err = burn.Decode(data)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			rep.Silent = append(rep.Silent, m.Name)
			return
		}
		rep.Merge(one)
	})
}

// askOthers calls ask for every other VM known that has not left, all at once,
// and waits for them.
func (v *VM) askOthers(ask func(m member.Member)) {
	var g errgroup.Group
	for _, m := range v.fleet.All() {
		if m.Name == v.cfg.Name || m.State == member.Left {
			continue
		}
		g.Go(func() error {
			ask(m)
			return nil
		})
	}
	_ = g.Wait()
}
