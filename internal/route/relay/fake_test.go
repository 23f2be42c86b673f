package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/uptime"
	"umberladder/internal/policy/expect"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/hold"
	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/reject"
	"umberladder/internal/policy/stop"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/placer"
	"umberladder/internal/route/port"
	"umberladder/internal/route/task"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// fakeEngines is a set of servers in virtual time. A run produces one event per
// interval until it has produced all of them. A backup's copy holds every event
// immediately, except during copyLag.
type fakeEngines struct {
	mu         sync.Mutex
	interval   time.Duration
	events     int
	respond    map[ident.Server]func() (*port.Response, error)
	runs       map[string]*run // by server and request
	started    []string        // servers that started the call from the beginning
	continued  []string        // servers that continued the call from a copy
	urgencies  []*int          // of the attempts
	migrations int
	noCapacity bool // no engine accepts a migration
	noCopy     bool // engines do not have the copy
	// noCapacityOnStop makes an engine that is ordered to copy and stop a run stop it, and then
	// find that the other engine has no capacity.
	noCapacityOnStop bool
	copyTime         time.Duration
	terminated       map[ident.Server]bool
	// closeDelimited makes only the end of the connection mark the end of a response.
	closeDelimited bool
	crashEnd       error         // with which the body of a run that is stopped ends; nil: io.ErrUnexpectedEOF
	copyLag        time.Duration // from a run's first event until its backup has a copy
	group          errgroup.Group
}

type run struct {
	events       atomic.Int64
	firstEventAt atomic.Int64 // time of the first event in Unix nanoseconds
	quit         chan struct{}
	once         sync.Once
	out          *io.PipeWriter
	complete     atomic.Bool
	copied       bool
	server       *srvtab.Server
}

// deltaCopyTime is how long it takes to copy what was generated since the last copy.
const deltaCopyTime = 8 * time.Millisecond

// copyPending reports whether the copy of a request's last run has not arrived yet.
func (e *fakeEngines) copyPending(id ident.Request) bool {
	for k, r := range e.runs {
		if k == runKey(r.server.ID, id) && time.Since(time.Unix(0, r.firstEventAt.Load())) < e.copyLag {
			return true
		}
	}
	return false
}

func (r *run) stop() { r.once.Do(func() { close(r.quit) }) }

func runKey(s ident.Server, id ident.Request) string { return string(s) + "/" + string(id) }

type runBody struct {
	*io.PipeReader
	run *run
}

func (b runBody) Close() error {
	b.run.stop()
	return b.PipeReader.Close()
}

func (e *fakeEngines) Send(_ context.Context, s port.Attempt) (*port.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.urgencies = append(e.urgencies, s.Urgency)
	if f := e.respond[s.Server.ID]; f != nil {
		return f()
	}
	base := int64(0)
	if s.Copy.Addr.IsValid() {
		if e.noCopy || e.copyPending(s.Call.ID) {
			return &port.Response{Status: 503, NotExecuted: true, Body: &textBody{}}, nil
		}
		e.continued = append(e.continued, string(s.Server.ID))
	} else {
		e.started = append(e.started, string(s.Server.ID))
	}
	if s.LastEventID != "" {
		_, _ = fmt.Sscan(s.LastEventID, &base)
	}
	pr, pw := io.Pipe()
	r := &run{quit: make(chan struct{}), out: pw, server: s.Server}
	r.events.Store(base)
	e.runs[runKey(s.Server.ID, s.Call.ID)] = r
	e.group.Go(func() error {
		e.generate(r)
		return nil
	})
	return &port.Response{Status: 200, Signed: true, EventStream: true, Delimited: !e.closeDelimited, Body: runBody{pr, r}}, nil
}

// generate writes the run's events.
func (e *fakeEngines) generate(r *run) {
	for int(r.events.Load()) < e.events {
		select {
		case <-r.quit:
			_ = r.out.CloseWithError(cmp.Or(e.crashEnd, io.ErrUnexpectedEOF))
			return
		case <-time.After(e.interval):
		}
		r.firstEventAt.CompareAndSwap(0, time.Now().UnixNano())
		if _, err := fmt.Fprintf(r.out, "id: %d\ndata: x\n\n", r.events.Add(1)); err != nil {
			return
		}
	}
	r.complete.Store(true)
	_ = r.out.Close()
}

func (e *fakeEngines) CopyCache(_ context.Context, from *srvtab.Server, id ident.Request, _ netip.AddrPort, stopRun bool) (port.CopyResult, error) {
	e.mu.Lock()
	r := e.runs[runKey(from.ID, id)]
	e.migrations++
	noCapacity, wait := e.noCapacity, e.copyTime
	if r != nil && r.copied {
		wait = deltaCopyTime
	}
	if r != nil {
		r.copied = true
	}
	e.mu.Unlock()
	if r == nil || r.complete.Load() || r.stopped() {
		return port.CopyResult{}, port.ErrNoRun
	}
	if noCapacity {
		return port.CopyResult{}, port.ErrNoCapacity
	}
	if stopRun {
		r.stop()
	}
	if stopRun && e.noCapacityOnStop {
		return port.CopyResult{}, port.ErrNoCapacity
	}
	time.Sleep(wait)
	return port.CopyResult{Handle: "h", Events: int(r.events.Load())}, nil
}

func (r *run) stopped() bool {
	select {
	case <-r.quit:
		return true
	default:
		return false
	}
}

func (e *fakeEngines) RefusesConnections(_ context.Context, s *srvtab.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.terminated[s.ID]
}

func (e *fakeEngines) AcceptsConnections(ctx context.Context, s *srvtab.Server) bool {
	return !e.RefusesConnections(ctx, s)
}

func (e *fakeEngines) Free(context.Context, *srvtab.Server, string) error { return nil }

// crash ends all runs of a server.
func (e *fakeEngines) crash(id ident.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.terminated[id] = true
	for _, r := range e.runs {
		if r.server.ID == id {
			r.stop()
		}
	}
}

// activeRuns returns the number of unfinished runs.
func (e *fakeEngines) activeRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if !r.complete.Load() && !r.stopped() {
			n++
		}
	}
	return n
}

// textBody is a response body with fixed content.
type textBody struct {
	s   string
	err error
}

func (t *textBody) Read(p []byte) (int, error) {
	if t.s == "" {
		if t.err != nil {
			return 0, t.err
		}
		return 0, io.EOF
	}
	n := copy(p, t.s)
	t.s = t.s[n:]
	return n, nil
}

func (t *textBody) Close() error { return nil }

// client records the response that reaches the client.
type client struct {
	status  int
	body    string
	started bool
	ended   bool
	aborted bool
}

func (c *client) Started() bool { return c.started }

func (c *client) WriteResponse(status int, _ []call.HeaderField, b []byte) error {
	c.started, c.ended, c.status, c.body = true, true, status, string(b)
	return nil
}

func (c *client) WriteHeader(status int, _ []call.HeaderField) error {
	c.started, c.status = true, status
	return nil
}

func (c *client) WriteChunk(p []byte) error {
	c.body += string(p)
	return nil
}

func (c *client) Finish() error {
	c.ended = true
	return nil
}

func (c *client) Abort() { c.aborted = true }

// harness is a relay with fake backend servers.
type harness struct {
	t          *testing.T
	engines    *fakeEngines
	table      *srvtab.Table
	settings   *routes.Current
	placer     *recordingPlacer
	budget     *fakeBudget
	quarantine *poison.Detector
	relay      *Relay
	group      *errgroup.Group
	origins    *origin.Finder
	records    []*task.Result
	preemption bool // calls state the priorities of their workspaces to engines
	speeds     []pace.Speed
	clock      func() uptime.Instant
	refresh    func() error
}

// fakeBudget is a retry budget with a fixed number of retries.
type fakeBudget struct{ remaining int }

func (b *fakeBudget) ReturnRetry(ident.Service, time.Time) { b.remaining++ }

func (b *fakeBudget) RecordFirstAttempt(ident.Service, time.Time) {}

func (b *fakeBudget) AllowRetry(ident.Service, time.Time) bool {
	b.remaining--
	return b.remaining >= 0
}

// soleVM is the demand of a VM without peers.
type soleVM struct{}

func (soleVM) Rates(ident.Service, time.Time) (own, all float64) { return 0, 0 }

func (soleVM) VMs(time.Time) int { return 1 }

// recordingPlacer places runs and keeps the requests for them.
type recordingPlacer struct {
	task.Placer
	mu       sync.Mutex
	requests []pick.Request
}

func (p *recordingPlacer) Place(ctx context.Context, r pick.Request) (pick.Placement, error) {
	p.mu.Lock()
	p.requests = append(p.requests, r)
	p.mu.Unlock()
	return p.Placer.Place(ctx, r)
}

func (h *harness) RecordResult(e *task.Result) { h.records = append(h.records, e) }

func (h *harness) Refresh(context.Context, time.Duration) error {
	if h.refresh == nil {
		return errors.New("the store does not respond")
	}
	return h.refresh()
}

func (h *harness) enginePace(ident.Service, time.Time) ([]pace.Speed, time.Duration) {
	return slices.Clone(h.speeds), 0
}

func newHarness(t *testing.T, servers int) *harness {
	h := &harness{t: t, group: &errgroup.Group{}, budget: &fakeBudget{remaining: 100}}
	start := time.Now()
	h.clock = func() uptime.Instant { return uptime.Instant(time.Since(start) + time.Hour) }
	h.engines = &fakeEngines{
		interval: 30 * time.Millisecond, events: 100, copyTime: 200 * time.Millisecond,
		respond: make(map[ident.Server]func() (*port.Response, error)), runs: make(map[string]*run),
		terminated: make(map[ident.Server]bool),
	}
	h.table = srvtab.NewTable(func() {})
	for i := range servers {
		h.table.Put(serverEntry(i))
	}
	h.settings = routes.NewCurrent(h.clock)
	h.settings.Update(snapshot(1), h.clock())
	reservations, health := alloc.New(), health.New()
	h.quarantine = poison.New(poison.Config{CrashLimit: 3, Duration: time.Minute}, func(poison.Change) {})
	chooser := pick.NewChooser(h.table, reservations, health, rates.New(soleVM{}, nil))
	h.origins = origin.New(0, origin.Deps{
		VM: "vm", Servers: h.table, DataAge: func() time.Duration { return 0 }, Holders: func(time.Time) []hubs.Candidate { return nil }, Log: zap.NewNop(),
	})
	h.placer = &recordingPlacer{}
	noCoordinators := func(ident.Service, time.Time) []hubs.CoordinatorCandidate { return nil }
	h.placer.Placer = placer.New("vm", 0, chooser, coord.New(chooser), noCoordinators, nil, func(string) {}, zap.NewNop())
	h.relay = New(task.Deps{
		Config: task.Config{
			Domain:      "a",
			RevokeDelay: func() time.Duration { return 5 * time.Second },
			ApplyDelay:  func() time.Duration { return 3 * time.Second },
			Regions:     map[ident.FailureDomain]ident.Region{"a": "north", "b": "north", "c": "south"},
			ColdLimit:   func(rate float64) float64 { return rate },
			Preemption:  func() bool { return h.preemption },
		},
		Settings: h.settings, Refresher: h, Servers: h.table,
		Alloc: reservations, Budget: h.budget, Health: health, Rates: rates.New(nil, nil), Poison: h.quarantine, Backend: h.engines, Clock: h.clock,
		Log: zap.NewNop(), Group: h.group, Recorder: h,
		Reject:  reject.New(func(reject.Limit) {}),
		Timings: timing.New(func(timing.Change) {}), Durations: expect.New[string](time.Minute), Speeds: h.enginePace, Stop: &stop.Shutdown{}, Held: hold.NewPool(hold.Limits{Memory: 1 << 20}),
		Origins: h.origins,
		Placer:  h.placer,
	})
	return h
}

func serverEntry(i int) srvtab.Entry {
	return srvtab.Entry{
		ID: ident.Server(fmt.Sprintf("s%d", i)), Service: "engines", Domain: "a", Slots: 24, Version: "v1",
		Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
	}
}

func snapshot(version uint64) *routes.Snapshot { return snapshotWith(version, func(*routes.Route) {}) }

// snapshotWith returns a snapshot with a change of the route whose streams may be taken up.
func snapshotWith(version uint64, change func(short *routes.Route)) *routes.Snapshot {
	share := []routes.Share{{Service: "engines", Weight: 1}}
	engine := &routes.Engine{Slots: 24, KVCapacityTokens: 34_000, TokensPerEvent: 4, CanMigrate: true, CanBackUp: true}
	route := func(prefix string, kind call.Kind, attempts int) *routes.Route {
		return &routes.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 39 * time.Second,
			LatencyTarget: 1800 * time.Millisecond, MaxAttempts: attempts, Shares: share,
		}
	}
	long, short := route("/long/", call.Stream, 1), route("/short/", call.Stream, 2)
	short.Resumable = true
	change(short)
	return routes.New(routes.Parts{
		Version:  version,
		Routes:   []*routes.Route{long, short, route("/once/", call.AtMostOnce, 1), route("/get/", call.Idempotent, 2), route("/retry/", call.Idempotent, 4)},
		Services: []*routes.Service{{Name: "engines", Engine: engine}},
		Workspaces: []*routes.Workspace{
			{Name: "team", Keys: []string{"key"}},
		},
	})
}

// serve serves one call and waits for its goroutines.
func (h *harness) serve(ctx context.Context, path string) (*client, *refuse.Refusal) {
	c := &client{}
	r := h.relay.Serve(ctx, h.call(path), c)
	_ = h.group.Wait()
	return c, r
}

func (h *harness) call(path string) *call.Call {
	return &call.Call{
		ID: "r", Method: "POST", Host: "h", Path: path, Target: path, APIKey: "key", Arrived: time.Now(),
		ArrivedUptime: h.clock(), ClientTimeout: 39 * time.Second, Prompt: &call.Prompt{Tokens: 3000, MaxTokens: 900},
	}
}

// assertComplete fails the test unless the client received each event once and in
// order.
func assertComplete(t *testing.T, c *client, r *refuse.Refusal, events int) {
	t.Helper()
	assert.Assert(t, r == nil, "%v", r)
	want := ""
	for i := range events {
		want += fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
	}
	assert.Equal(t, c.body, want)
	assert.Assert(t, c.ended && !c.aborted)
}
