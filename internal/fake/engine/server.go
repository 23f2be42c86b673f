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
	drainGrace      = 3 * time.Second
	dieExitCode     = 3
)

// Serve accepts connections on ln until ctx is done.
func (e *Engine) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, e.cfg.Name, e.handle)
}

// blackhole blocks while conn's remote address is partitioned from the engine.
// It reports whether it blocked; the connection is then closed.
func (e *Engine) blackhole(conn net.Conn) bool {
	return httpd.Blackhole(conn, func() netip.Addr { return e.faults.Load().PartitionedFrom })
}

// handle applies the injected partition and response delay, then routes the
// request.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if e.blackhole(ctx.Conn()) {
		return
	}
	if delay := e.faults.Load().ResponseDelay; delay > 0 {
		time.Sleep(delay)
	}
	e.route(ctx)
}

func (e *Engine) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	id, hasID := strings.CutPrefix(path, generationsPath+"/")
	switch {
	case path == generationsPath && ctx.IsPost():
		e.handleStart(ctx)
	case hasID && ctx.IsGet():
		e.handleResume(ctx, id)
	case hasID && ctx.IsDelete():
		e.handleCancel(ctx, id)
	case path == "/v1/load":
		e.handleLoad(ctx)
	case path == "/v1/cache-events":
		e.handleCacheEvents(ctx)
	case path == "/v1/orders" && ctx.IsPost():
		e.handleCommand(ctx)
	case path == "/v1/counts":
		e.handleCounts(ctx)
	case path == "/v1/faults" && ctx.IsPost():
		e.handleFaults(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func writeError(ctx *fasthttp.RequestCtx, status int, started bool, message string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"started":%t,"error":%q}`, started, message)
}

func (e *Engine) handleStart(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, false, "bad json")
		return
	}
	if f := e.faults.Load(); f.Refuse || f.Draining {
		if f.Draining {
			e.countLateRequest()
		}
		ctx.Response.Header.Set("Retry-After", "1")
		writeError(ctx, fasthttp.StatusServiceUnavailable, false, "not taking work")
		return
	}
	g := parseGeneration(v)
	if status, message := e.submit(g); status != 0 {
		writeError(ctx, status, status == fasthttp.StatusConflict, message)
		return
	}
	if raw := e.faults.Load().RawResponse; raw != "" {
		httpd.RespondRaw(ctx, raw)
		return
	}
	e.stream(ctx, g, 0)
}

// submit records a generation and queues it. It returns status 0, or the status
// and message of the refusal.
func (e *Engine) submit(g *generation) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.id] != nil {
		return fasthttp.StatusConflict, "the generation has started before"
	}
	if err := e.runLog.Add(g.spec.Tag); err != nil {
		return fasthttp.StatusInternalServerError, err.Error()
	}
	e.generations[g.id] = g
	e.counts.Starts++
	e.enqueue(g)
	g.readers++
	return 0, ""
}

func parseGeneration(v *fastjson.Value) *generation {
	g := newGeneration(string(v.GetStringBytes("id")), string(v.GetStringBytes("prompt")), v.GetInt("priority"))
	g.detachTimeout = time.Duration(v.GetInt("detach_ms")) * time.Millisecond
	if n := v.GetInt("max_tokens"); n > 0 {
		g.maxTokens = min(g.maxTokens, n)
	}
	return g
}

func newGeneration(id, text string, priority int) *generation {
	spec := prompt.Parse(text)
	now := time.Now()
	return &generation{
		id:           id,
		spec:         spec,
		runID:        strconv.FormatInt(now.UnixNano()&0xffffffff, 36),
		priority:     priority,
		promptTokens: len(text)/4 + 1,
		maxTokens:    spec.Tokens,
		started:      now,
		idleSince:    now,
	}
}

// countLateRequest counts a generation requested later than drainGrace after the
// drain began. By then the VMs must know that the engine drains.
func (e *Engine) countLateRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.drainStart) > drainGrace {
		e.counts.LateRequests++
	}
}

func (e *Engine) handleResume(ctx *fasthttp.RequestCtx, id string) {
	from, err := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	if err != nil || from < 0 {
		writeError(ctx, fasthttp.StatusBadRequest, true, "from is not a whole number")
		return
	}
	e.mu.Lock()
	g := e.generations[id]
	if g == nil || g.done && g.finishReason == "cancelled" {
		e.mu.Unlock()
		writeError(ctx, fasthttp.StatusNotFound, false, "no such generation")
		return
	}
	if e.faults.Load().WrongGeneration {
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
		err := e.writeTokens(w, conn, g, from)
		e.mu.Lock()
		g.readers--
		g.idleSince = time.Now()
		e.mu.Unlock()
		if err != nil {
			_ = conn.Close()
		}
	})
}

// writeTokens sends the tokens from index next on. It returns when the
// generation ends or the connection fails.
func (e *Engine) writeTokens(w *bufio.Writer, conn net.Conn, g *generation, next int) error {
	sent, paused := 0, false
	for {
		upTo, done, finishReason, nowPaused := e.waitForProgress(g, next, paused)
		if e.blackhole(conn) {
			return trace.ConnectionProblem(nil, "connection closed by an injected partition")
		}
		if nowPaused != paused {
			paused = nowPaused
			writePause(w, g.id, paused)
		}
		for ; next < upTo; next++ {
			fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":%q}\n\n", g.id, next, g.spec.Token(next, g.runID))
			sent++
			if limit := e.faults.Load().DropAfter; limit > 0 && sent >= limit {
				_ = w.Flush()
				return trace.ConnectionProblem(nil, "connection closed by an injected fault")
			}
		}
		if done && next >= upTo {
			return writeDone(w, g.id, next, finishReason)
		}
		if err := w.Flush(); err != nil {
			return trace.Wrap(err)
		}
	}
}

// waitForProgress blocks until the generation has produced more than next
// tokens, has ended, or its pause state differs from paused. It returns the
// number of tokens, whether the generation has ended, its finish reason, and
// whether it is paused.
func (e *Engine) waitForProgress(g *generation, next int, paused bool) (int, bool, string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for g.produced <= next && !g.done && g.paused == paused {
		e.changed.Wait()
	}
	return g.produced, g.done, g.finishReason, g.paused
}

func writePause(w *bufio.Writer, id string, paused bool) {
	kind := "resumed"
	if paused {
		kind = "paused"
	}
	fmt.Fprintf(w, "event: %s\ndata: {\"id\":%q}\n\n", kind, id)
}

func writeDone(w *bufio.Writer, id string, tokens int, finishReason string) error {
	if finishReason == "" || finishReason == "cancelled" {
		return trace.ConnectionProblem(nil, "the generation was cancelled")
	}
	fmt.Fprintf(w, "event: done\ndata: {\"id\":%q,\"tokens\":%d,\"finish\":%q}\n\n", id, tokens, finishReason)
	return trace.Wrap(w.Flush())
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.generations[id]; g != nil && !g.done {
		e.remove(g)
		g.done = true
		g.finishReason = "cancelled"
		e.changed.Broadcast()
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) handleLoad(ctx *fasthttp.RequestCtx) {
	l := e.LoadReport()
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"running":%d,"waiting":%d,"memory_used":%d,"memory_size":%d,"leaving":%t,"age_ms":%d}`,
		l.Running, l.Waiting, l.MemoryUsed, l.MemorySize, l.Draining, time.Since(l.AsOf).Milliseconds())
}

func (e *Engine) handleCounts(ctx *fasthttp.RequestCtx) {
	c := e.Counts()
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"starts":%d,"completed":%d,"preempted":%d,"late":%d,"orders":%d}`,
		c.Starts, c.Completed, c.Preempted, c.LateRequests, c.Commands)
}

func (e *Engine) handleFaults(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if v.GetBool("die") {
		os.Exit(dieExitCode)
	}
	e.SetFaults(Faults{
		Stall:           time.Duration(v.GetInt("stall_ms")) * time.Millisecond,
		DropAfter:       v.GetInt("cut_after"),
		Refuse:          v.GetBool("refuse"),
		ResponseDelay:   time.Duration(v.GetInt("late_ms")) * time.Millisecond,
		Draining:        v.GetBool("leaving"),
		WrongGeneration: v.GetBool("new_run"),
		PartitionedFrom: httpd.ParseAddr(v.GetStringBytes("cut_from")),
	})
}
