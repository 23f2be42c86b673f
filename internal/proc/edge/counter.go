package edge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"umberladder/internal/route/task"
)

// counter turns the end of each call into a log line and metrics.
type counter struct {
	log *zap.Logger
	set *metrics.Set
}

// Ended implements task.Counter.
func (c *counter) Ended(e *task.End) {
	kind, reason, ran := "", "", ""
	if e.Route != nil {
		kind = e.Route.Kind.String()
	}
	if e.Refusal != nil {
		reason, ran = e.Refusal.Reason.String(), e.Refusal.Ran.String()
	}
	labels := fmt.Sprintf(`{service=%q,kind=%q}`, e.Service, kind)
	c.set.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,kind=%q,status="%d",reason=%q,ran=%q}`,
		metricCalls, e.Service, kind, e.Status, reason, ran)).Inc()
	c.set.GetOrCreateHistogram(metricFirst + labels).Update(e.First.Seconds())
	c.set.GetOrCreateHistogram(metricWhole + labels).Update(e.Total.Seconds())
	c.set.GetOrCreateHistogram(metricGap + labels).Update(e.Gap.Seconds())
	c.set.GetOrCreateCounter(metricMoves + labels).Add(e.Moves)
	c.set.GetOrCreateCounter(metricSent + labels).Add(e.Sent)
	c.write(e, kind, reason, ran)
}

// write logs the end; that of a call that failed is not routine.
func (c *counter) write(e *task.End, kind, reason, ran string) {
	level := zap.InfoLevel
	if e.Refusal != nil || e.Status >= fasthttp.StatusInternalServerError {
		level = zap.WarnLevel
	}
	ce := c.log.Check(level, "call ended")
	if ce == nil {
		return
	}
	route := ""
	if e.Route != nil {
		route = e.Route.Name
	}
	fields := []zap.Field{
		zap.String("request", string(e.Call.ID)),
		zap.Stringer("fingerprint", e.Fingerprint),
		zap.String("route", route),
		zap.String("kind", kind),
		zap.String("service", string(e.Service)),
		zap.String("server", string(e.Server)),
		zap.Int("status", e.Status),
		zap.Duration("queued", e.Queued),
		zap.Duration("first", e.First),
		zap.Duration("total", e.Total),
		zap.Int("sent", e.Sent),
		zap.Int("moves", e.Moves),
		zap.Int("events", e.Events),
		zap.Duration("gap", e.Gap),
		zap.Uint64("settings-version", e.Version),
		zap.Duration("settings-age", e.Age),
	}
	if r := e.Refusal; r != nil {
		fields = append(fields, zap.String("reason", reason), zap.String("ran", ran),
			zap.String("detail", r.Detail), zap.Duration("retry-after", r.RetryAfter))
	}
	ce.Write(fields...)
}

// httpLog takes the HTTP library's lines, which tell of broken connections.
type httpLog struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLog) Printf(format string, args ...any) {
	l.log.Debug("http", zap.String("line", fmt.Sprintf(format, args...)))
}
