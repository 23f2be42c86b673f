package store

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
	"golang.org/x/time/rate"

	"umberladder/internal/fake/httpd"
)

const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	maxValueBytes   = 1 << 20
	maxWatchWait    = 30 * time.Second
	hangTime        = 3 * time.Second
	settingsPrefix  = "/settings"
)

// Faults are the failures that a test injects.
type Faults struct {
	Down           bool          // every call gets 503
	Hang           bool          // every call waits for hangTime, then its connection is closed
	Delay          time.Duration // added to the duration of every call
	ReplyLossRatio float64       // fraction of writes whose reply is lost
	// DownAfterWrite is how long the store is down after each successful write
	// under /settings. The writer gets its reply, but no watcher sees the change
	// before the outage ends.
	DownAfterWrite time.Duration
}

// Server serves the store's HTTP protocol from a Table.
type Server struct {
	table  *Table
	faults atomic.Pointer[Faults]
	writes *rate.Limiter
	reads  *rate.Limiter

	meter     callMeter
	downUntil atomic.Int64 // end of a DownAfterWrite outage, in Unix nanoseconds

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a server for table. The seed determines which replies are lost.
func New(table *Table, seed uint64) *Server {
	s := &Server{
		table:  table,
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		meter:  callMeter{calls: map[string]int{}},
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
	s.faults.Store(&Faults{})
	return s
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Counts returns the numbers of calls received so far.
func (s *Server) Counts() Counts { return s.meter.snapshot() }

// Serve accepts connections on ln until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, "store", s.handle)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/faults":
		s.handleFaults(ctx)
		return
	case "/calls":
		s.handleCalls(ctx)
		return
	}
	if !s.admit(ctx) || !s.available(ctx) {
		return
	}
	switch {
	case strings.HasPrefix(path, "/kv/"):
		s.handleValue(ctx, strings.TrimPrefix(path, "/kv"))
	case path == "/list":
		items, rev := s.table.List(queryArg(ctx, "prefix"), uintArg(ctx, "after"), time.Now())
		writeItems(ctx, items, rev)
	case path == "/watch":
		wait := min(time.Duration(uintArg(ctx, "wait_ms"))*time.Millisecond, maxWatchWait)
		items, rev := s.table.Watch(queryArg(ctx, "prefix"), uintArg(ctx, "after"), wait, ctx.Done())
		if s.available(ctx) {
			writeItems(ctx, items, rev)
		}
	case strings.HasPrefix(path, "/leases"):
		s.handleLease(ctx, strings.TrimPrefix(path, "/leases"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	s.loseReply(ctx)
}

// admit counts the call and reports whether it is within the rate limit. Otherwise
// it responds with status 429.
func (s *Server) admit(ctx *fasthttp.RequestCtx) bool {
	s.meter.recordCall(string(ctx.Request.Header.Peek("Caller")), time.Now())
	limit := s.reads
	if !ctx.IsGet() {
		limit = s.writes
	}
	if limit.Allow() {
		return true
	}
	s.meter.recordRefusal()
	ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	return false
}

// available applies the injected delay and outages, and reports whether the store
// handles the call. Otherwise it has responded or closed the connection.
func (s *Server) available(ctx *fasthttp.RequestCtx) bool {
	f := s.faults.Load()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Hang {
		time.Sleep(hangTime)
		_ = ctx.Conn().Close()
		return false
	}
	if f.Down || time.Now().UnixNano() < s.downUntil.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

// loseReply closes the connection of a write that has been handled, with the
// probability Faults.ReplyLossRatio.
func (s *Server) loseReply(ctx *fasthttp.RequestCtx) {
	p := s.faults.Load().ReplyLossRatio
	if p <= 0 || ctx.IsGet() {
		return
	}
	s.mu.Lock()
	lose := s.rng.Float64() < p
	s.mu.Unlock()
	if lose {
		_ = ctx.Conn().Close()
	}
}

func (s *Server) handleValue(ctx *fasthttp.RequestCtx, path string) {
	now := time.Now()
	switch {
	case ctx.IsGet():
		it, ok := s.table.Get(path, now)
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.Response.Header.Set("Revision", strconv.FormatUint(it.Revision, 10))
		ctx.SetBody(it.Value)
	case ctx.IsPut():
		if len(ctx.PostBody()) > maxValueBytes {
			ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			return
		}
		body := append([]byte(nil), ctx.PostBody()...)
		s.startOutage(path, now)
		rev, ok := s.table.Put(path, body, uintArg(ctx, "if"), uintArg(ctx, "lease"), now)
		if !ok {
			s.downUntil.Store(0)
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			return
		}
		ctx.Response.Header.Set("Revision", strconv.FormatUint(rev, 10))
	case ctx.IsDelete():
		if !s.table.Delete(path, uintArg(ctx, "if"), now) {
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		}
	}
}

// startOutage starts the outage of Faults.DownAfterWrite. It is called before
// the write, so that no watcher can read the change before the outage starts.
func (s *Server) startOutage(path string, now time.Time) {
	if d := s.faults.Load().DownAfterWrite; d > 0 && strings.HasPrefix(path, settingsPrefix) {
		s.downUntil.Store(now.Add(d).UnixNano())
	}
}

func (s *Server) handleLease(ctx *fasthttp.RequestCtx, rest string) {
	now := time.Now()
	id, _ := strconv.ParseUint(strings.TrimPrefix(rest, "/"), 10, 64)
	switch {
	case rest == "" && ctx.IsPost():
		id = s.table.Grant(time.Duration(uintArg(ctx, "ttl_ms"))*time.Millisecond, now)
	case ctx.IsPost():
		if !s.table.Renew(id, now) {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
	case ctx.IsDelete():
		s.table.Revoke(id, now)
	}
	fmt.Fprintf(ctx, `{"lease":%d,"now_ms":%d}`, id, now.UnixMilli())
}

func (s *Server) handleCalls(ctx *fasthttp.RequestCtx) {
	var a fastjson.Arena
	o, calls := a.NewObject(), a.NewObject()
	c := s.Counts()
	for name, n := range c.Calls {
		calls.Set(name, a.NewNumberInt(n))
	}
	o.Set("calls", calls)
	o.Set("peak", a.NewNumberInt(c.PeakPerSecond))
	o.Set("refused", a.NewNumberInt(c.Refused))
	ctx.SetBody(o.MarshalTo(nil))
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{
		Down:           v.GetBool("down"),
		Hang:           v.GetBool("hang"),
		Delay:          time.Duration(v.GetInt("slow_ms")) * time.Millisecond,
		DownAfterWrite: time.Duration(v.GetInt("drop_after_ms")) * time.Millisecond,
		ReplyLossRatio: v.GetFloat64("lose_replies"),
	})
}

func writeItems(ctx *fasthttp.RequestCtx, items []Item, rev uint64) {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("revision", a.NewNumberString(strconv.FormatUint(rev, 10)))
	list := a.NewArray()
	for i, it := range items {
		v := a.NewObject()
		v.Set("path", a.NewString(it.Path))
		v.Set("revision", a.NewNumberString(strconv.FormatUint(it.Revision, 10)))
		if it.Deleted {
			v.Set("deleted", a.NewTrue())
		} else {
			v.Set("value", a.NewString(base64.StdEncoding.EncodeToString(it.Value)))
		}
		list.SetArrayItem(i, v)
	}
	o.Set("items", list)
	ctx.SetContentType("application/json")
	ctx.SetBody(o.MarshalTo(nil))
}

func queryArg(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.QueryArgs().Peek(name))
}

func uintArg(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, _ := strconv.ParseUint(queryArg(ctx, name), 10, 64)
	return n
}
