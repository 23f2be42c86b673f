package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/fake/httpd"
	"umberladder/internal/fake/prompt"
)

const (
	generationsPath = "/v1/generations"
	leaveGrace      = 3 * time.Second
	dieStatus       = 3
)

// Serve answers on ln until ctx ends.
func (e *Engine) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, e.cfg.Name, e.receive)
}

// swallow holds a link in silence while it is cut, and reports whether it was.
func (e *Engine) swallow(conn net.Conn) bool {
	return httpd.Swallow(conn, func() netip.Addr { return e.faults.Load().CutFrom })
}

// receive answers a request as the link to its sender allows.
func (e *Engine) receive(ctx *fasthttp.RequestCtx) {
	if e.swallow(ctx.Conn()) {
		return
	}
	if late := e.faults.Load().Late; late > 0 {
		time.Sleep(late)
	}
	e.handle(ctx)
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	id, one := strings.CutPrefix(path, generationsPath+"/")
	switch {
	case path == generationsPath && ctx.IsPost():
		e.start(ctx)
	case one && ctx.IsGet():
		e.resume(ctx, id)
	case one && ctx.IsDelete():
		e.cancel(ctx, id)
	case path == "/v1/load":
		e.load(ctx)
	case path == "/v1/cache-events":
		e.showCache(ctx)
	case path == "/v1/orders" && ctx.IsPost():
		e.order(ctx)
	case path == "/v1/counts":
		e.showCounts(ctx)
	case path == "/v1/faults" && ctx.IsPost():
		e.setFaults(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func refuseStart(ctx *fasthttp.RequestCtx, status int, started bool, why string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"started":%t,"error":%q}`, started, why)
}

func (e *Engine) start(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		refuseStart(ctx, fasthttp.StatusBadRequest, false, "bad json")
		return
	}
	if f := e.faults.Load(); f.Refuse || f.Leaving {
		if f.Leaving {
			e.noteLate()
		}
		ctx.Response.Header.Set("Retry-After", "1")
		refuseStart(ctx, fasthttp.StatusServiceUnavailable, false, "not taking work")
		return
	}
	g := newGeneration(v)
	if status, why := e.begin(g); status != 0 {
		refuseStart(ctx, status, status == fasthttp.StatusConflict, why)
		return
	}
	e.stream(ctx, g, 0)
}

// begin takes a generation in, or returns the status of its refusal.
func (e *Engine) begin(g *generation) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gens[g.id] != nil {
		return fasthttp.StatusConflict, "the generation has started before"
	}
	if err := e.record.Add(g.order.Tag); err != nil {
		return fasthttp.StatusInternalServerError, err.Error()
	}
	e.gens[g.id] = g
	e.counts.Starts++
	e.wait(g)
	g.readers++
	return 0, ""
}

func newGeneration(v *fastjson.Value) *generation {
	g := makeGeneration(string(v.GetStringBytes("id")), string(v.GetStringBytes("prompt")), v.GetInt("priority"))
	g.detach = time.Duration(v.GetInt("detach_ms")) * time.Millisecond
	if n := v.GetInt("max_tokens"); n > 0 {
		g.limit = min(g.limit, n)
	}
	return g
}

func makeGeneration(id, text string, priority int) *generation {
	o := prompt.Parse(text)
	now := time.Now()
	return &generation{
		id:       id,
		order:    o,
		run:      strconv.FormatInt(now.UnixNano()&0xffffffff, 36),
		priority: priority,
		prompt:   len(text)/4 + 1,
		limit:    o.Tokens,
		started:  now,
		left:     now,
	}
}

// noteLate counts work offered after the time in which callers must have
// learnt that the engine is leaving.
func (e *Engine) noteLate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.leaveAt) > leaveGrace {
		e.counts.Late++
	}
}

func (e *Engine) resume(ctx *fasthttp.RequestCtx, id string) {
	from, err := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	if err != nil || from < 0 {
		refuseStart(ctx, fasthttp.StatusBadRequest, true, "from is not a whole number")
		return
	}
	e.mu.Lock()
	g := e.gens[id]
	if g == nil || g.done && g.finish == "cancelled" {
		e.mu.Unlock()
		refuseStart(ctx, fasthttp.StatusNotFound, false, "no such generation")
		return
	}
	if e.faults.Load().NewRun {
		other := *g
		other.id = "other-" + g.id
		g = &other
	}
	g.readers++
	e.mu.Unlock()
	e.stream(ctx, g, from)
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, g *generation, from int) {
	ctx.SetContentType("text/event-stream")
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := e.write(w, conn, g, from)
		e.mu.Lock()
		g.readers--
		g.left = time.Now()
		e.mu.Unlock()
		if err != nil {
			_ = conn.Close()
		}
	})
}

// write sends tokens from index next on, until the generation ends or the
// reader is gone.
func (e *Engine) write(w *bufio.Writer, conn net.Conn, g *generation, next int) error {
	sent, paused := 0, false
	for {
		upTo, done, finish, pause := e.await(g, next, paused)
		if e.swallow(conn) {
			return trace.ConnectionProblem(nil, "the link was cut")
		}
		if pause != paused {
			paused = pause
			writePause(w, g.id, paused)
		}
		for ; next < upTo; next++ {
			fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":%q}\n\n", g.id, next, g.order.Text(next, g.run))
			sent++
			if cut := e.faults.Load().CutAfter; cut > 0 && sent >= cut {
				_ = w.Flush()
				return trace.ConnectionProblem(nil, "the link is cut")
			}
		}
		if done && next >= upTo {
			return writeEnd(w, g.id, next, finish)
		}
		if err := w.Flush(); err != nil {
			return trace.Wrap(err)
		}
	}
}

// await waits until the generation has more than next tokens, ends, or is no
// longer paused or running as it was.
func (e *Engine) await(g *generation, next int, paused bool) (int, bool, string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for g.produced <= next && !g.done && g.paused == paused {
		e.changed.Wait()
	}
	return g.produced, g.done, g.finish, g.paused
}

func writePause(w *bufio.Writer, id string, paused bool) {
	kind := "resumed"
	if paused {
		kind = "paused"
	}
	fmt.Fprintf(w, "event: %s\ndata: {\"id\":%q}\n\n", kind, id)
}

func writeEnd(w *bufio.Writer, id string, tokens int, finish string) error {
	if finish == "" || finish == "cancelled" {
		return trace.ConnectionProblem(nil, "the generation was cancelled")
	}
	fmt.Fprintf(w, "event: done\ndata: {\"id\":%q,\"tokens\":%d,\"finish\":%q}\n\n", id, tokens, finish)
	return trace.Wrap(w.Flush())
}

func (e *Engine) cancel(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.gens[id]; g != nil && !g.done {
		e.drop(g)
		g.done = true
		g.finish = "cancelled"
		e.changed.Broadcast()
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) load(ctx *fasthttp.RequestCtx) {
	l := e.Report()
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"running":%d,"waiting":%d,"memory_used":%d,"memory_size":%d,"leaving":%t,"age_ms":%d}`,
		l.Running, l.Waiting, l.MemoryUsed, l.MemorySize, l.Leaving, time.Since(l.At).Milliseconds())
}

func (e *Engine) showCounts(ctx *fasthttp.RequestCtx) {
	c := e.Counts()
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"starts":%d,"completed":%d,"preempted":%d,"late":%d,"orders":%d}`,
		c.Starts, c.Completed, c.Preempted, c.Late, c.Orders)
}

func (e *Engine) setFaults(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if v.GetBool("die") {
		os.Exit(dieStatus)
	}
	e.Fault(Faults{
		Stall:    time.Duration(v.GetInt("stall_ms")) * time.Millisecond,
		CutAfter: v.GetInt("cut_after"),
		Refuse:   v.GetBool("refuse"),
		Late:     time.Duration(v.GetInt("late_ms")) * time.Millisecond,
		Leaving:  v.GetBool("leaving"),
		NewRun:   v.GetBool("new_run"),
		CutFrom:  httpd.Address(v.GetStringBytes("cut_from")),
	})
}
