package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	"umberladder/internal/policy/health"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/peers"
	"umberladder/internal/proc/report"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// newStatusVM returns a VM without connections, which knows a number of servers of a service.
func newStatusVM(t *testing.T, s *routes.Service, servers int) *VM {
	t.Helper()
	cfg, err := conf.ParseEdge([]byte(settingsFile))
	assert.NilError(t, err)
	v := &VM{metricSet: metrics.NewSet(), node: peers.New(cfg, peers.Deps{}, &errgroup.Group{}, zap.NewNop())}
	v.cfg.Store(cfg)
	v.node.Settings.Update(routes.New(routes.Parts{Version: 37, Services: []*routes.Service{s}}), uptime.Now())
	list := make([]srvtab.Entry, servers)
	for i := range list {
		list[i] = srvtab.Entry{ID: ident.Server(fmt.Sprintf("i-%03d", i)), Service: s.Name, Domain: "a", Slots: 1}
	}
	v.node.Servers.Replace(list, time.Time{}, time.Now())
	v.chooser = pick.NewChooser(v.node.Servers, v.node.Alloc, health.New(), v.node.Rates)
	v.coordinator = coord.New(v.chooser)
	return v
}

// request sends a request to the listener for metrics and returns the response.
func (v *VM) request(method, path string) *fasthttp.Response {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	v.handleMetrics(ctx)
	return &ctx.Response
}

// TestStatus guards against a status without members that operators look for, against lists
// without a bound, and against a status in place of the metrics.
func TestStatus(t *testing.T) {
	t.Run("engines", func(t *testing.T) {
		v := newStatusVM(t, &routes.Service{Name: "chat", Engine: &routes.Engine{}}, 1)
		for i := range uint64(report.MaxEntries + 6) {
			run := pick.Request{Service: "chat", Rank: 1, Need: 500, EngineMemory: 600, From: "a", Weight: 1000, Workspace: ident.Workspace(fmt.Sprint("w", i)), TargetWait: time.Minute, MaxWait: time.Minute}
			v.coordinator.Submit(coord.Request{VM: "other", ID: i, Run: run}, func(coord.Response) {}, time.Now())
		}
		resp := v.request("GET", "/status")
		assert.Equal(t, resp.StatusCode(), fasthttp.StatusOK)
		assert.Equal(t, string(resp.Header.ContentType()), "application/json")
		got, err := fastjson.ParseBytes(resp.Body())
		assert.NilError(t, err)
		s := got.Get("services", "0")
		list := s.GetArray("workspaces")
		assert.Equal(t, len(list), report.MaxEntries)
		assert.Equal(t, list[0].GetInt("waiting"), 1)
		for _, name := range []string{"workspaces", "borrowed", "lent"} {
			s.Del(name) // the shares change with time
		}
		assert.Equal(t, got.String(), `{"vm":"edge-1","failure-domain":"a","settings-version":37,"services":[{"service":"chat","coordinator":"edge-1","coordinates":true,"waiting":105,"workspaces-left-out":5,"lent-left-out":5}]}`)
	})
	t.Run("plain servers", func(t *testing.T) {
		v := newStatusVM(t, &routes.Service{Name: "orders"}, report.MaxEntries+2)
		now := time.Now()
		for range 20 {
			v.node.Timings.Observe("i-000", 20*time.Millisecond, now)
			v.node.Timings.Observe("i-001", 20*time.Millisecond, now)
			v.node.Timings.Observe("i-007", 90*time.Millisecond, now)
		}
		got := report.Encode(v.status(now))
		s := fastjson.MustParseBytes(got).Get("services", "0")
		assert.Equal(t, s.GetInt("plain-servers-left-out"), 2)
		assert.Equal(t, string(s.GetStringBytes("median-response-time")), "20ms")
		assert.Equal(t, s.Get("plain-servers", "0").String(), `{"server":"i-007","mean-response-time":"90ms","weight":0.222,"in-flight":0,"slow":true}`)
	})
	t.Run("no settings", func(t *testing.T) {
		v := newStatusVM(t, &routes.Service{Name: "orders"}, 1)
		v.node.Settings = routes.NewCurrent(uptime.Now)
		assert.Equal(t, string(v.request("GET", "/status").Body()), `{"vm":"edge-1","failure-domain":"a","settings-version":0,"services":[]}`+"\n")
	})
	t.Run("other requests", func(t *testing.T) {
		v := newStatusVM(t, &routes.Service{Name: "orders"}, 1)
		assert.Equal(t, v.request("POST", "/status").StatusCode(), fasthttp.StatusMethodNotAllowed)
		v.metricSet.NewCounter("x").Inc()
		assert.Equal(t, string(v.request("GET", "/metrics").Body()[:4]), "x 1\n")
	})
}
