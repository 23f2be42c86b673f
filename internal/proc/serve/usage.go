package serve

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/oper"
	"umberladder/internal/route/limits"
	"umberladder/internal/state/config"
	"umberladder/internal/state/member"
)

// Usage implements nodes.Reporter.
func (v *VM) Usage(name ident.Workspace) (limits.Usage, bool) {
	w := v.settings.Load().Workspace(name)
	if w == nil {
		return limits.Usage{}, false
	}
	return v.limiter.Usage(w, time.Now()), true
}

// vmUsage is one VM's usage of a workspace's limits.
type vmUsage struct {
	vm    ident.VM
	usage limits.Usage
	known bool // false if the VM did not respond
}

// WorkspaceUsage implements oper.VM. It returns the workspace's usage of its
// limits on every VM, or nil if the workspace does not exist.
func (v *VM) WorkspaceUsage(ctx context.Context, a *fastjson.Arena, name ident.Workspace) *fastjson.Value {
	w := v.settings.Load().Workspace(name)
	if w == nil {
		return nil
	}
	all := v.collectUsage(ctx, name)
	o, vms, notResponding := a.NewObject(), a.NewArray(), a.NewArray()
	open := 0
	for _, u := range all {
		if !u.known {
			notResponding.SetArrayItem(len(notResponding.GetArray()), a.NewString(string(u.vm)))
			continue
		}
		open += u.usage.Open
		vms.SetArrayItem(len(vms.GetArray()), usageValue(a, u))
	}
	o.Set("workspace", a.NewString(string(name)))
	o.Set("limits", limitsValue(a, w))
	o.Set("open", a.NewNumberInt(open))
	o.Set("vms", vms)
	o.Set("silent", notResponding)
	return o
}

// collectUsage returns the usage at every known VM, sorted by VM name. VMs that
// do not respond are included with known set to false.
func (v *VM) collectUsage(ctx context.Context, name ident.Workspace) []vmUsage {
	own, known := v.Usage(name)
	out := []vmUsage{{vm: v.cfg.Name, usage: own, known: known}}
	var mu sync.Mutex
	v.callPeers(func(m member.Member) {
		u, err := v.peers.Usage(ctx, m, name)
		mu.Lock()
		defer mu.Unlock()
		out = append(out, vmUsage{vm: m.Name, usage: u, known: err == nil})
	})
	slices.SortFunc(out, func(a, b vmUsage) int { return strings.Compare(string(a.vm), string(b.vm)) })
	return out
}

func limitsValue(a *fastjson.Arena, w *config.Workspace) *fastjson.Value {
	o := a.NewObject()
	o.Set("concurrency", a.NewNumberInt(w.Limits.Concurrency))
	o.Set("tokens-per-second", a.NewNumberInt(w.Limits.TokensPerSecond))
	return o
}

func usageValue(a *fastjson.Arena, u vmUsage) *fastjson.Value {
	o := a.NewObject()
	o.Set("vm", a.NewString(string(u.vm)))
	o.Set("settings-version", oper.JSONUint(a, u.usage.Version))
	o.Set("open", a.NewNumberInt(u.usage.Open))
	o.Set("open-share", a.NewNumberInt(u.usage.OpenShare))
	o.Set("tokens-left", a.NewNumberInt(int(u.usage.TokensLeft)))
	o.Set("rate-share", a.NewNumberInt(u.usage.RateShare))
	return o
}
