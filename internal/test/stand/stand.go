// Package stand runs a whole small fleet inside a test: the stand-ins of the
// platform, engines and plain servers, and entry VMs, on loopback addresses
// that no other package's tests use.
package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/fake/engine"
	"umberladder/internal/fake/plain"
	"umberladder/internal/fake/record"
	"umberladder/internal/fake/roster"
	"umberladder/internal/fake/store"
	"umberladder/internal/load/plan"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/serve"
	"umberladder/internal/state/spread"
	"umberladder/internal/test/check"
)

// Stand is a running fleet.
type Stand struct {
	Fleet   *plan.Fleet
	Store   *store.Server
	Engines []*engine.Engine
	Plain   []*plain.Server

	t      testing.TB
	group  *errgroup.Group
	ctx    context.Context
	adjust func(*conf.Node)
	errors zapcore.Core // what the VMs log as errors
	stops  map[int]context.CancelFunc
	ended  map[int]chan struct{}
}

// New starts a fleet of n VMs in the loopback network 127.net.0.0 and waits
// until all are ready. adjust may change a node's settings, and may be nil.
func New(t testing.TB, net, n int, adjust func(*conf.Node)) *Stand {
	t.Helper()
	p := plan.Profile{Name: "test", Domains: 2, Engines: 2, Plain: 2, Memory: 4000, Batch: 16, Step: 2 * time.Millisecond}
	f, err := plan.New(t.TempDir(), p, n, net)
	assert.NilError(t, err)
	assert.NilError(t, f.Write())
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	s := &Stand{Fleet: f, t: t, group: g, ctx: ctx, adjust: adjust, stops: map[int]context.CancelFunc{}, ended: map[int]chan struct{}{}}
	core, logs := observer.New(zap.ErrorLevel)
	s.errors = core
	t.Cleanup(func() {
		for i := range s.stops {
			s.Stop(i)
		}
		cancel()
		assert.NilError(t, g.Wait())
		for _, entry := range logs.FilterMessage("invariant violated").All() {
			t.Errorf("invariant violated: %v", entry.ContextMap())
		}
	})
	s.platform()
	s.servers()
	for i := range n {
		s.Start(i)
	}
	for i := range n {
		s.Ready(i)
	}
	return s
}

type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

func (s *Stand) serve(addr netip.AddrPort, sv server) {
	s.t.Helper()
	ln, err := net.Listen("tcp", addr.String())
	assert.NilError(s.t, err)
	s.group.Go(func() error { return sv.Serve(s.ctx, ln) })
}

func (s *Stand) platform() {
	table := store.NewTable()
	for path, file := range map[string]string{
		"/system":                        "system.json",
		"/workspaces/" + plan.Installers: plan.Installers + ".json",
		"/workspaces/" + plan.Faultdesk:  plan.Faultdesk + ".json",
	} {
		body, err := os.ReadFile(s.Fleet.Dir + "/" + file)
		assert.NilError(s.t, err)
		v := spread.Value{Body: body}
		data, err := v.Encode()
		assert.NilError(s.t, err)
		table.Put(spread.Prefix+path, data, 0, 0, time.Now())
	}
	list := roster.New()
	for _, n := range s.Fleet.Peers {
		list.Set(roster.VM{Name: n.Name, Address: n.Address.String(), Domain: n.Domain})
	}
	s.Store = store.New(table, 1)
	s.serve(s.Fleet.Store, s.Store)
	s.serve(s.Fleet.VMList, list)
}

func (s *Stand) servers() {
	for _, n := range s.Fleet.Engines {
		cfg := engine.DefaultConfig(n.Name)
		cfg.Memory, cfg.StepBase = s.Fleet.Profile.Memory, s.Fleet.Profile.Step
		cfg.ReportLag = 50 * time.Millisecond
		e := engine.New(cfg, record.New())
		s.Engines = append(s.Engines, e)
		s.serve(n.Address, e)
		s.group.Go(func() error { return e.Run(s.ctx) })
	}
	for _, n := range s.Fleet.Plain {
		p := plain.New(n.Name, record.New())
		s.Plain = append(s.Plain, p)
		s.serve(n.Address, p)
	}
}

// Start starts VM i.
func (s *Stand) Start(i int) {
	s.t.Helper()
	cfg, err := conf.Read(fmt.Sprintf("%s/%s.json", s.Fleet.Dir, s.Fleet.VMs[i].Name))
	assert.NilError(s.t, err)
	cfg.Limits.DrainDelay = 100 * time.Millisecond
	cfg.Limits.LoadInterval = 50 * time.Millisecond
	if s.adjust != nil {
		s.adjust(cfg)
	}
	vm, err := serve.New(cfg, zap.New(s.errors))
	assert.NilError(s.t, err)
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	s.stops[i], s.ended[i] = cancel, ended
	s.group.Go(func() error {
		defer close(ended)
		return vm.Run(stop)
	})
}

// Ready waits until VM i is ready for callers.
func (s *Stand) Ready(i int) {
	s.t.Helper()
	check.Within(s.t, 20*time.Second, "VM ready", func() bool {
		code, _ := s.Get(i, "/readyz", "")
		return code == http.StatusOK
	})
}

// Leave tells VM i to leave gracefully, and returns at once.
func (s *Stand) Leave(i int) { s.stops[i]() }

// Ended is closed when VM i has ended.
func (s *Stand) Ended(i int) <-chan struct{} { return s.ended[i] }

// Stop makes VM i leave and waits until it has ended.
func (s *Stand) Stop(i int) {
	s.stops[i]()
	<-s.ended[i]
}

// URL returns the address of a path of VM i's interface for callers.
func (s *Stand) URL(i int, path string) string {
	return "http://" + s.Fleet.VMs[i].Address.String() + path
}

// Get fetches a path of VM i as a caller of the workspace.
func (s *Stand) Get(i int, path, workspace string) (int, string) {
	code, body, _ := s.Call(i, http.MethodGet, path, workspace, "")
	return code, body
}

// Call sends a request to VM i as a caller of the workspace. A code of 0 means
// that the connection failed.
func (s *Stand) Call(i int, method, path, workspace, body string, headers ...string) (int, string, http.Header) {
	return s.Do(method, s.URL(i, path), plan.CallerKey(workspace), body, headers...)
}

// Do sends a request with a bearer key.
func (s *Stand) Do(method, url, key, body string, headers ...string) (int, string, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(data), resp.Header
}

// Operate sends a request to VM i's interface for operators.
func (s *Stand) Operate(i int, method, path, subtree, body string, headers ...string) (int, string, http.Header) {
	return s.Do(method, "http://"+s.Fleet.Operators[i].Address.String()+path, plan.OperatorKey(subtree), body, headers...)
}
