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
	maxValue        = 1 << 20
	maxWatch        = 30 * time.Second
	hangUp          = 3 * time.Second
	settingsPrefix  = "/settings"
)

// Faults are what a test switches on.
type Faults struct {
	Down        bool          // every call gets 503
	Hang        bool          // every call waits and is then cut
	Slow        time.Duration // every call takes this much longer
	LoseReplies float64       // share of writes whose reply is lost
	// DropAfter is how long it is down after each write under /settings took
	// effect: the writer gets its reply, and nobody else hears of it.
	DropAfter time.Duration
}

// Server speaks the store's protocol over a Table.
type Server struct {
	table  *Table
	faults atomic.Pointer[Faults]
	writes *rate.Limiter
	reads  *rate.Limiter

	meter meter
	back  atomic.Int64 // when a drop is over, in Unix nanoseconds

	mu  sync.Mutex
	rng *rand.Rand
}

// New makes a server whose lost replies follow from seed.
func New(table *Table, seed uint64) *Server {
	s := &Server{
		table:  table,
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		meter:  meter{calls: map[string]int{}},
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
	s.faults.Store(&Faults{})
	return s
}

// Fault replaces the faults in force.
func (s *Server) Fault(f Faults) { s.faults.Store(&f) }

// Count returns what was asked so far.
func (s *Server) Count() Count { return s.meter.count() }

// Serve answers on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, "store", s.handle)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/faults":
		s.setFaults(ctx)
		return
	case "/calls":
		s.showCalls(ctx)
		return
	}
	if !s.count(ctx) || !s.healthy(ctx) {
		return
	}
	switch {
	case strings.HasPrefix(path, "/kv/"):
		s.value(ctx, strings.TrimPrefix(path, "/kv"))
	case path == "/list":
		items, rev := s.table.List(query(ctx, "prefix"), number(ctx, "after"), time.Now())
		writeItems(ctx, items, rev)
	case path == "/watch":
		wait := min(time.Duration(number(ctx, "wait_ms"))*time.Millisecond, maxWatch)
		items, rev := s.table.Watch(query(ctx, "prefix"), number(ctx, "after"), wait, ctx.Done())
		if s.healthy(ctx) {
			writeItems(ctx, items, rev)
		}
	case strings.HasPrefix(path, "/leases"):
		s.lease(ctx, strings.TrimPrefix(path, "/leases"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	s.loseReply(ctx)
}

func (s *Server) count(ctx *fasthttp.RequestCtx) bool {
	s.meter.note(string(ctx.Request.Header.Peek("Caller")), time.Now())
	limit := s.reads
	if !ctx.IsGet() {
		limit = s.writes
	}
	if limit.Allow() {
		return true
	}
	s.meter.refuse()
	ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	return false
}

func (s *Server) healthy(ctx *fasthttp.RequestCtx) bool {
	f := s.faults.Load()
	if f.Slow > 0 {
		time.Sleep(f.Slow)
	}
	if f.Hang {
		time.Sleep(hangUp)
		_ = ctx.Conn().Close()
		return false
	}
	if f.Down || time.Now().UnixNano() < s.back.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

// loseReply cuts the connection after a write took effect.
func (s *Server) loseReply(ctx *fasthttp.RequestCtx) {
	p := s.faults.Load().LoseReplies
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

func (s *Server) value(ctx *fasthttp.RequestCtx, path string) {
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
		if len(ctx.PostBody()) > maxValue {
			ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			return
		}
		body := append([]byte(nil), ctx.PostBody()...)
		s.drop(path, now)
		rev, ok := s.table.Put(path, body, number(ctx, "if"), number(ctx, "lease"), now)
		if !ok {
			s.back.Store(0)
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			return
		}
		ctx.Response.Header.Set("Revision", strconv.FormatUint(rev, 10))
	case ctx.IsDelete():
		if !s.table.Delete(path, number(ctx, "if"), now) {
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		}
	}
}

// drop begins a drop, if that fault is on. It comes before the write, so that
// no watcher slips through between.
func (s *Server) drop(path string, now time.Time) {
	if d := s.faults.Load().DropAfter; d > 0 && strings.HasPrefix(path, settingsPrefix) {
		s.back.Store(now.Add(d).UnixNano())
	}
}

func (s *Server) lease(ctx *fasthttp.RequestCtx, rest string) {
	now := time.Now()
	id, _ := strconv.ParseUint(strings.TrimPrefix(rest, "/"), 10, 64)
	switch {
	case rest == "" && ctx.IsPost():
		id = s.table.Grant(time.Duration(number(ctx, "ttl_ms"))*time.Millisecond, now)
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

func (s *Server) showCalls(ctx *fasthttp.RequestCtx) {
	var a fastjson.Arena
	o, calls := a.NewObject(), a.NewObject()
	c := s.Count()
	for name, n := range c.Calls {
		calls.Set(name, a.NewNumberInt(n))
	}
	o.Set("calls", calls)
	o.Set("peak", a.NewNumberInt(c.Peak))
	o.Set("refused", a.NewNumberInt(c.Refused))
	ctx.SetBody(o.MarshalTo(nil))
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.Fault(Faults{
		Down:        v.GetBool("down"),
		Hang:        v.GetBool("hang"),
		Slow:        time.Duration(v.GetInt("slow_ms")) * time.Millisecond,
		DropAfter:   time.Duration(v.GetInt("drop_after_ms")) * time.Millisecond,
		LoseReplies: v.GetFloat64("lose_replies"),
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

func query(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.QueryArgs().Peek(name))
}

func number(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, _ := strconv.ParseUint(query(ctx, name), 10, 64)
	return n
}
