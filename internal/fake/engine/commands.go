package engine

import (
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

// handleCacheEvents lists the cache events after a sequence number. The list
// lags like the load reports.
func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	upTo := uint64(0)
	if len(e.reports) > 0 {
		upTo = e.reports[0].lastCacheEvent
	}
	var a fastjson.Arena
	list := a.NewArray()
	for n, ev := range e.cache.Events(after, upTo) {
		o := a.NewObject()
		o.Set("seq", a.NewNumberString(strconv.FormatUint(ev.Seq, 10)))
		o.Set("prefix", a.NewString(strconv.FormatUint(ev.Prefix, 16)))
		if ev.Evicted {
			o.Set("gone", a.NewTrue())
		}
		list.SetArrayItem(n, o)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(list.MarshalTo(nil))
}

// handleCommand accepts and counts a command, such as one to load a model; commands
// have no other effect on the fake. With Config.CheckFencing, a command is refused if its
// fencing number is older than the newest one seen.
func (e *Engine) handleCommand(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil || v.GetUint64("fence") == 0 || len(v.GetStringBytes("kind")) == 0 {
		writeError(ctx, fasthttp.StatusBadRequest, false, "want kind and fence")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := v.GetUint64("fence")
	if e.cfg.CheckFencing && fence < e.maxFence {
		writeError(ctx, fasthttp.StatusConflict, false, fmt.Sprintf("fencing number %d is older than %d", fence, e.maxFence))
		return
	}
	e.maxFence = max(e.maxFence, fence)
	e.counts.Commands++
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
