package engine

import (
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

// showCache lists the cache events after a number, as late as load reports.
func (e *Engine) showCache(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	upTo := uint64(0)
	if len(e.reports) > 0 {
		upTo = e.reports[0].events
	}
	var a fastjson.Arena
	list := a.NewArray()
	for n, ev := range e.cache.Events(after, upTo) {
		o := a.NewObject()
		o.Set("seq", a.NewNumberString(strconv.FormatUint(ev.Seq, 10)))
		o.Set("prefix", a.NewString(strconv.FormatUint(ev.Prefix, 16)))
		if ev.Gone {
			o.Set("gone", a.NewTrue())
		}
		list.SetArrayItem(n, o)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(list.MarshalTo(nil))
}

// order takes an order to load or change something. An engine that checks
// fencing numbers refuses one older than the newest it has seen.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil || v.GetUint64("fence") == 0 || len(v.GetStringBytes("kind")) == 0 {
		refuseStart(ctx, fasthttp.StatusBadRequest, false, "want kind and fence")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := v.GetUint64("fence")
	if e.cfg.Fencing && fence < e.fence {
		refuseStart(ctx, fasthttp.StatusConflict, false, fmt.Sprintf("fencing number %d is older than %d", fence, e.fence))
		return
	}
	e.fence = max(e.fence, fence)
	e.counts.Orders++
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
