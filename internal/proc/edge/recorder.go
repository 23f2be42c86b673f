package edge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"umberladder/internal/route/task"
)

// recorder writes a log line and updates the metrics for each call that ended.
type recorder struct {
	log       *zap.Logger
	metricSet *metrics.Set
}

// Ended implements task.Counter.
func (c *recorder) Ended(e *task.Result) {
	kind, reason, ran := "", "", ""
	if e.Route != nil {
		kind = e.Route.Kind.String()
	}
	if e.Refusal != nil {
		reason, ran = e.Refusal.Reason.String(), e.Refusal.Ran.String()
	}
	labels := fmt.Sprintf(`{service=%q,kind=%q}`, e.Service, kind)
	c.metricSet.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,kind=%q,status="%d",reason=%q,ran=%q}`,
		metricCalls, e.Service, kind, e.Status, reason, ran)).Inc()
	c.metricSet.GetOrCreateHistogram(metricTimeToFirst + labels).Update(e.First.Seconds())
	c.metricSet.GetOrCreateHistogram(metricDuration + labels).Update(e.Total.Seconds())
	c.metricSet.GetOrCreateHistogram(metricMaxEventGap + labels).Update(e.MaxEventGap.Seconds())
	c.metricSet.GetOrCreateCounter(metricMigrations + labels).Add(e.Moves)
	c.metricSet.GetOrCreateCounter(metricAttempts + labels).Add(e.Attempts)
	c.logEnd(e, kind, reason, ran)
}

// logEnd logs the end of a call: at warn level if the call was refused or failed
// with a 5xx status, at info level otherwise.
func (c *recorder) logEnd(e *task.Result, kind, reason, ran string) {
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
		zap.Int("sent", e.Attempts),
		zap.Int("moves", e.Moves),
		zap.Int("events", e.Events),
		zap.Duration("gap", e.MaxEventGap),
		zap.Uint64("settings-version", e.SettingsVersion),
		zap.Duration("settings-age", e.SettingsAge),
	}
	if r := e.Refusal; r != nil {
		fields = append(fields, zap.String("reason", reason), zap.String("ran", ran),
			zap.String("detail", r.Detail), zap.Duration("retry-after", r.RetryAfter))
	}
	ce.Write(fields...)
}

// httpLog adapts the log to fasthttp. The library's messages are mostly about
// broken connections, so they are logged at debug level.
type httpLog struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLog) Printf(format string, args ...any) {
	l.log.Debug("http", zap.String("line", fmt.Sprintf(format, args...)))
}
