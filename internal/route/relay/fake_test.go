package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/desk"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/route/task"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/routes"
)

// engines is a set of servers in virtual time. A run makes an event each step
// until it has made all of them; its copies follow at once.
type engines struct {
	mu     sync.Mutex
	step   time.Duration
	events int
	plain  map[ident.Server]func() (*port.Answer, error)
	runs   map[string]*run // by server and request
	starts []string        // servers that began the call anew
	goOns  []string        // servers that went on from a copy
	moves  int
	noRoom bool // no engine takes an ordered copy
	noCopy bool // copies are not there
	copyIn time.Duration
	ended  map[ident.Server]bool
	lag    time.Duration // from a run's first event until its guard has a copy
	group  errgroup.Group
}

type run struct {
	made   atomic.Int64
	first  atomic.Int64 // when it made its first event, in Unix nanoseconds
	quit   chan struct{}
	once   sync.Once
	out    *io.PipeWriter
	whole  atomic.Bool
	copied bool
	server *backs.Server
}

// delta is how long a copy of what is new takes.
const delta = 8 * time.Millisecond

// late reports whether a copy of a request's last run is still on its way.
func (e *engines) late(id ident.Request) bool {
	for k, r := range e.runs {
		if k == key(r.server.ID, id) && time.Since(time.Unix(0, r.first.Load())) < e.lag {
			return true
		}
	}
	return false
}

func (r *run) stop() { r.once.Do(func() { close(r.quit) }) }

func key(s ident.Server, id ident.Request) string { return string(s) + "/" + string(id) }

type body struct {
	*io.PipeReader
	run *run
}

func (b body) Close() error {
	b.run.stop()
	return b.PipeReader.Close()
}

func (e *engines) Send(_ context.Context, s port.Send) (*port.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.plain[s.Server.ID]; f != nil {
		return f()
	}
	base := int64(0)
	if s.Copy.At.IsValid() {
		if e.noCopy || e.late(s.Call.ID) {
			return &port.Answer{Status: 503, NotRun: true, Body: &text{}}, nil
		}
		e.goOns = append(e.goOns, string(s.Server.ID))
	} else {
		e.starts = append(e.starts, string(s.Server.ID))
	}
	if s.After != "" {
		_, _ = fmt.Sscan(s.After, &base)
	}
	pr, pw := io.Pipe()
	r := &run{quit: make(chan struct{}), out: pw, server: s.Server}
	r.made.Store(base)
	e.runs[key(s.Server.ID, s.Call.ID)] = r
	e.group.Go(func() error {
		e.work(r)
		return nil
	})
	return &port.Answer{Status: 200, Signed: true, Framed: true, Body: body{pr, r}}, nil
}

// work makes the run's events.
func (e *engines) work(r *run) {
	for int(r.made.Load()) < e.events {
		select {
		case <-r.quit:
			_ = r.out.CloseWithError(io.ErrUnexpectedEOF)
			return
		case <-time.After(e.step):
		}
		r.first.CompareAndSwap(0, time.Now().UnixNano())
		if _, err := fmt.Fprintf(r.out, "id: %d\ndata: x\n\n", r.made.Add(1)); err != nil {
			return
		}
	}
	r.whole.Store(true)
	_ = r.out.Close()
}

func (e *engines) Move(_ context.Context, from *backs.Server, id ident.Request, _ netip.AddrPort, last bool) (port.Moved, error) {
	e.mu.Lock()
	r := e.runs[key(from.ID, id)]
	e.moves++
	noRoom, wait := e.noRoom, e.copyIn
	if r != nil && r.copied {
		wait = delta
	}
	if r != nil {
		r.copied = true
	}
	e.mu.Unlock()
	if r == nil || r.whole.Load() || r.stopped() {
		return port.Moved{}, port.ErrNoRun
	}
	if noRoom {
		return port.Moved{}, port.ErrNoRoom
	}
	if last {
		r.stop()
	}
	time.Sleep(wait)
	return port.Moved{Handle: "h", Events: int(r.made.Load())}, nil
}

func (r *run) stopped() bool {
	select {
	case <-r.quit:
		return true
	default:
		return false
	}
}

func (e *engines) Refuses(_ context.Context, s *backs.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended[s.ID]
}

func (e *engines) Free(context.Context, *backs.Server, string) error { return nil }

// crash ends all runs of a server.
func (e *engines) crash(id ident.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[id] = true
	for _, r := range e.runs {
		if r.server.ID == id {
			r.stop()
		}
	}
}

// working counts the runs under way.
func (e *engines) working() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if !r.whole.Load() && !r.stopped() {
			n++
		}
	}
	return n
}

// text is a body of fixed bytes.
type text struct {
	s   string
	err error
}

func (t *text) Read(p []byte) (int, error) {
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

func (t *text) Close() error { return nil }

// client records the answer that reaches the client.
type client struct {
	status int
	body   string
	begun  bool
	ended  bool
	broken bool
}

func (c *client) Begun() bool { return c.begun }

func (c *client) Whole(status int, _ []call.Field, b []byte) error {
	c.begun, c.ended, c.status, c.body = true, true, status, string(b)
	return nil
}

func (c *client) Start(status int, _ []call.Field) error {
	c.begun, c.status = true, status
	return nil
}

func (c *client) Piece(p []byte) error {
	c.body += string(p)
	return nil
}

func (c *client) End() error {
	c.ended = true
	return nil
}

func (c *client) Abort() { c.broken = true }

// world is a relay before its servers.
type world struct {
	t       *testing.T
	engines *engines
	table   *backs.Table
	book    *routes.Book
	budget  *purse
	poison  *poison.Book
	relay   *Relay
	group   *errgroup.Group
	ends    []*task.End
	clock   func() awake.Instant
	refresh func() error
}

// purse is a budget with so many retries.
type purse struct{ left int }

func (p *purse) Earn(ident.Service, time.Time) {}

func (p *purse) Spend(ident.Service, time.Time) bool {
	p.left--
	return p.left >= 0
}

func (w *world) Ended(e *task.End) { w.ends = append(w.ends, e) }

func (w *world) Refresh(context.Context, time.Duration) error {
	if w.refresh == nil {
		return errors.New("the store does not answer")
	}
	return w.refresh()
}

func newWorld(t *testing.T, servers int) *world {
	w := &world{t: t, group: &errgroup.Group{}, budget: &purse{left: 100}}
	start := time.Now()
	w.clock = func() awake.Instant { return awake.Instant(time.Since(start) + time.Hour) }
	w.engines = &engines{
		step: 30 * time.Millisecond, events: 100, copyIn: 200 * time.Millisecond,
		plain: make(map[ident.Server]func() (*port.Answer, error)), runs: make(map[string]*run),
		ended: make(map[ident.Server]bool),
	}
	w.table = backs.NewTable(func() {})
	for i := range servers {
		w.table.Put(entry(i))
	}
	w.book = routes.NewBook(w.clock)
	w.book.Put(snapshot(1), w.clock())
	book, sound := seats.New(), health.New()
	w.poison = poison.New(poison.Config{Crashes: 3, Time: time.Minute}, func(poison.Change) {})
	chooser := pick.NewChooser(w.table, book, sound, rates.New(nil, nil))
	alone := func(ident.Service, time.Time) []hubs.Rank { return nil }
	w.relay = New(task.Parts{
		Config: task.Config{
			Domain: "a",
			Revoke: func() time.Duration { return 5 * time.Second },
			Apply:  func() time.Duration { return 3 * time.Second },
		},
		Settings: w.book, Refresh: w, Servers: w.table,
		Seats: book, Budget: w.budget, Health: sound, Rates: rates.New(nil, nil), Poison: w.poison, Backend: w.engines, Clock: w.clock,
		Log: zap.NewNop(), Group: w.group, Count: w,
		Places: desk.New("vm", 0, chooser, homes.NewHome(chooser), alone, nil, func(string) {}, zap.NewNop()),
	})
	return w
}

func entry(i int) backs.Entry {
	return backs.Entry{
		ID: ident.Server(fmt.Sprintf("s%d", i)), Service: "engines", Domain: "a", Slots: 24,
		Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
	}
}

func snapshot(version uint64) *routes.Snapshot {
	share := []routes.Share{{Service: "engines", Weight: 1}}
	engine := &routes.Engine{Slots: 24, Memory: 34_000, Stride: 4, Moves: true, Backups: true}
	route := func(prefix string, kind call.Kind, attempts int) *routes.Route {
		return &routes.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 39 * time.Second,
			Target: 1800 * time.Millisecond, Attempts: attempts, Shares: share,
		}
	}
	long, short := route("/long/", call.Stream, 1), route("/short/", call.Stream, 2)
	short.Resumable = true
	return routes.New(routes.Parts{
		Version:  version,
		Routes:   []*routes.Route{long, short, route("/once/", call.Once, 1), route("/get/", call.Idempotent, 2)},
		Services: []*routes.Service{{Name: "engines", Engine: engine}},
		Workspaces: []*routes.Workspace{
			{Name: "team", Keys: []string{"key"}},
		},
	})
}

// serve takes one call to its end.
func (w *world) serve(ctx context.Context, path string) (*client, *refuse.Refusal) {
	c := &client{}
	r := w.relay.Serve(ctx, w.call(path), c)
	_ = w.group.Wait()
	return c, r
}

func (w *world) call(path string) *call.Call {
	return &call.Call{
		ID: "r", Method: "POST", Host: "h", Path: path, Target: path, Key: "key", Arrived: time.Now(),
		Woken: w.clock(), Patience: 39 * time.Second, Prompt: &call.Prompt{Tokens: 3000, Limit: 900},
	}
}

// complete fails the test unless the client has each event once and in order.
func complete(t *testing.T, c *client, r *refuse.Refusal, events int) {
	t.Helper()
	assert.Assert(t, r == nil, "%v", r)
	want := ""
	for i := range events {
		want += fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
	}
	assert.Equal(t, c.body, want)
	assert.Assert(t, c.ended && !c.broken)
}
