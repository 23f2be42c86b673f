// Package inproc runs a small fleet in the process of a test: entry VMs, and
// fakes of the platform, the engines and the plain servers. It listens on
// loopback addresses that the tests of other packages do not use.
package inproc

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
	"umberladder/internal/fake/runlog"
	"umberladder/internal/fake/store"
	"umberladder/internal/fake/vmlist"
	"umberladder/internal/load/plan"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/serve"
	"umberladder/internal/state/syncer"
	"umberladder/internal/test/check"
)

// Fleet is a running fleet.
type Fleet struct {
	Layout       *plan.Fleet
	Store        *store.Server
	Engines      []*engine.Engine
	PlainServers []*plain.Server

	t        testing.TB
	group    *errgroup.Group
	ctx      context.Context
	adjust   func(*conf.Node)
	errorLog zapcore.Core // receives the error log lines of the VMs
	cancels  map[int]context.CancelFunc
	done     map[int]chan struct{}
}

// New starts a fleet of n VMs in the loopback network 127.network.0.0 and waits
// until all are ready. If adjust is not nil, it is called with the settings of
// each VM before the VM starts. When the test ends, New's cleanup stops the
// fleet and fails the test if a VM logged a violated invariant.
func New(t testing.TB, network, n int, adjust func(*conf.Node)) *Fleet {
	t.Helper()
	f := NewPlatform(t, network, n)
	f.adjust = adjust
	for i := range n {
		f.Start(i)
	}
	for i := range n {
		f.WaitReady(i)
	}
	return f
}

// NewPlatform is like New, but starts no VMs. Their settings files are in the directory of the
// layout.
func NewPlatform(t testing.TB, network, n int) *Fleet {
	t.Helper()
	profile := plan.Profile{Name: "test", FailureDomains: 2, Engines: 2, PlainServers: 2, EngineMemory: 4000, EngineBatch: 16, EngineStep: 2 * time.Millisecond}
	layout, err := plan.New(t.TempDir(), profile, n, network)
	assert.NilError(t, err)
	assert.NilError(t, layout.Write())
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	f := &Fleet{Layout: layout, t: t, group: g, ctx: ctx, cancels: map[int]context.CancelFunc{}, done: map[int]chan struct{}{}}
	core, logs := observer.New(zap.ErrorLevel)
	f.errorLog = core
	t.Cleanup(func() {
		for i := range f.cancels {
			f.Stop(i)
		}
		cancel()
		assert.NilError(t, g.Wait())
		for _, entry := range logs.FilterMessage("invariant violated").All() {
			t.Errorf("invariant violated: %v", entry.ContextMap())
		}
	})
	f.startPlatform()
	f.startServers()
	return f
}

type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

func (f *Fleet) startServer(addr netip.AddrPort, srv server) {
	f.t.Helper()
	ln, err := net.Listen("tcp", addr.String())
	assert.NilError(f.t, err)
	f.group.Go(func() error { return srv.Serve(f.ctx, ln) })
}

func (f *Fleet) startPlatform() {
	table := store.NewTable()
	for path, file := range map[string]string{
		"/system":                        "system.json",
		"/workspaces/" + plan.Installers: plan.Installers + ".json",
		"/workspaces/" + plan.FaultDesk:  plan.FaultDesk + ".json",
	} {
		body, err := os.ReadFile(f.Layout.Dir + "/" + file)
		assert.NilError(f.t, err)
		v := syncer.Value{Body: body}
		data, err := v.Encode()
		assert.NilError(f.t, err)
		table.Put(syncer.Prefix+path, data, 0, 0, time.Now())
	}
	list := vmlist.New()
	for _, n := range f.Layout.Peers {
		list.Set(vmlist.VM{Name: n.Name, Address: n.Address.String(), FailureDomain: n.Domain})
	}
	f.Store = store.New(table, 1)
	f.startServer(f.Layout.Store, f.Store)
	f.startServer(f.Layout.VMList, list)
}

func (f *Fleet) startServers() {
	for _, n := range f.Layout.Engines {
		cfg := engine.DefaultConfig(n.Name)
		cfg.MemoryTokens, cfg.StepBase = f.Layout.Profile.EngineMemory, f.Layout.Profile.EngineStep
		cfg.ReportLag = 50 * time.Millisecond
		e := engine.New(cfg, runlog.New())
		f.Engines = append(f.Engines, e)
		f.startServer(n.Address, e)
		f.group.Go(func() error { return e.Run(f.ctx) })
	}
	for _, n := range f.Layout.PlainServers {
		p := plain.New(n.Name, runlog.New())
		f.PlainServers = append(f.PlainServers, p)
		f.startServer(n.Address, p)
	}
}

// Start starts VM i.
func (f *Fleet) Start(i int) {
	f.t.Helper()
	cfg, err := conf.Read(fmt.Sprintf("%s/%s.json", f.Layout.Dir, f.Layout.VMs[i].Name))
	assert.NilError(f.t, err)
	cfg.Limits.DrainDelay = 100 * time.Millisecond
	cfg.Limits.LoadInterval = 50 * time.Millisecond
	if f.adjust != nil {
		f.adjust(cfg)
	}
	vm, err := serve.New(cfg, zap.New(f.errorLog))
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.cancels[i], f.done[i] = cancel, done
	f.group.Go(func() error {
		defer close(done)
		return vm.Run(ctx)
	})
}

// WaitReady waits until VM i is ready for clients.
func (f *Fleet) WaitReady(i int) {
	f.t.Helper()
	check.Eventually(f.t, 20*time.Second, "VM ready", func() bool {
		code, _ := f.Get(i, "/readyz", "")
		return code == http.StatusOK
	})
}

// BeginShutdown starts a graceful shutdown of VM i and returns immediately.
func (f *Fleet) BeginShutdown(i int) { f.cancels[i]() }

// Done returns a channel that is closed when VM i has stopped.
func (f *Fleet) Done(i int) <-chan struct{} { return f.done[i] }

// Stop shuts VM i down gracefully and waits until it has stopped.
func (f *Fleet) Stop(i int) {
	f.cancels[i]()
	<-f.done[i]
}

// URL returns the URL of a path of VM i's client API.
func (f *Fleet) URL(i int, path string) string {
	return "http://" + f.Layout.VMs[i].Address.String() + path
}

// Get requests a path of VM i's client API as a client of the workspace.
func (f *Fleet) Get(i int, path, workspace string) (int, string) {
	code, body, _ := f.Call(i, http.MethodGet, path, workspace, "")
	return code, body
}

// Call sends a request to VM i's client API as a client of the workspace. The
// status code is 0 if the exchange failed. headers holds names and values in turn.
func (f *Fleet) Call(i int, method, path, workspace, body string, headers ...string) (int, string, http.Header) {
	return f.Do(method, f.URL(i, path), plan.ClientKey(workspace), body, headers...)
}

// Do sends a request with key as the bearer token. The status code is 0 if the
// exchange failed; the body is then the text of the error.
func (f *Fleet) Do(method, url, key, body string, headers ...string) (int, string, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	assert.NilError(f.t, err)
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

// CallOperator sends a request to VM i's operator API with the operator key of
// the subtree.
func (f *Fleet) CallOperator(i int, method, path, subtree, body string, headers ...string) (int, string, http.Header) {
	return f.Do(method, "http://"+f.Layout.Operators[i].Address.String()+path, plan.OperatorKey(subtree), body, headers...)
}
