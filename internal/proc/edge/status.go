package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/ident"
	"umberladder/internal/proc/report"
	"umberladder/internal/state/routes"
)

// statusPath is the path of the status on the listener for metrics.
const statusPath = "/status"

// writeStatus responds to a request for the status.
func (v *VM) writeStatus(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() && !ctx.IsHead() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, "GET, HEAD")
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(report.Encode(v.status(time.Now())), '\n'))
}

// status returns what this VM knows of the services in the settings: those with queued runs
// here first, then by name. Services beyond report.MaxEntries are only counted.
func (v *VM) status(now time.Time) *report.Status {
	cfg := v.cfg.Load()
	out := &report.Status{VM: cfg.Name, Domain: cfg.Domain}
	snap := v.node.Settings.Load()
	if snap == nil {
		return out
	}
	out.SettingsVersion = snap.Version
	waiting := v.coordinator.WaitingRuns()
	names := snap.ServiceNames()
	slices.SortStableFunc(names, func(a, b ident.Service) int { return cmp.Compare(waiting[b], waiting[a]) })
	list := report.Cut(names)
	out.Services.LeftOut = list.LeftOut
	for _, name := range list.Entries {
		out.Services.Entries = append(out.Services.Entries, v.serviceStatus(snap.Service(name), now))
	}
	return out
}

func (v *VM) serviceStatus(s *routes.Service, now time.Time) report.Service {
	out := report.Service{Name: s.Name}
	if order := v.node.CoordinatorOrder(s.Name, now); len(order) > 0 {
		out.Coordinator, out.Coordinates = order[0].VM, !order[0].Addr.IsValid()
	}
	out.SetQueues(v.coordinator.Status(s.Name, now))
	if s.Engine != nil {
		out.SetEngines(v.chooser.Speeds(s.Name, now))
		return out
	}
	servers := v.chooser.View().ServersOf(s.Name)
	ids := make([]ident.Server, len(servers))
	for i, server := range servers {
		ids[i] = server.ID
	}
	inFlight := func(id ident.Server) int { return v.node.Alloc.Own(id).Calls }
	out.SetPlainServers(v.node.Timings.Status(s.Name, ids, inFlight, now))
	return out
}
