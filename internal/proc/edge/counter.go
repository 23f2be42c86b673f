package edge

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"umberladder/internal/route/relay"
)

// counter turns the end of each call into a log line and metrics.
type counter struct {
	log *zap.Logger
	set *metrics.Set
}

// Ended implements relay.Counter.
func (c *counter) Ended(e *relay.End) {
	route, kind, reason, ran := "", "", "", ""
	if e.Route != nil {
		route, kind = e.Route.Name, e.Route.Kind.String()
	}
	if e.Refusal != nil {
		reason, ran = e.Refusal.Reason.String(), e.Refusal.Ran.String()
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`umberladder_calls_total{service=%q,kind=%q,status="%d",reason=%q,ran=%q}`,
		e.Service, kind, e.Status, reason, ran)).Inc()
	labels := fmt.Sprintf(`{service=%q,kind=%q}`, e.Service, kind)
	c.set.GetOrCreateHistogram("umberladder_first_seconds" + labels).Update(e.First.Seconds())
	c.set.GetOrCreateHistogram("umberladder_call_seconds" + labels).Update(e.Total.Seconds())
	c.set.GetOrCreateHistogram("umberladder_gap_seconds" + labels).Update(e.Gap.Seconds())
	fields := []zap.Field{
		zap.String("request", string(e.Call.ID)),
		zap.String("route", route),
		zap.String("kind", kind),
		zap.String("service", string(e.Service)),
		zap.String("server", string(e.Server)),
		zap.Int("status", e.Status),
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
	c.log.Info("call ended", fields...)
}

// httpLog takes the HTTP library's lines, which tell of broken connections.
type httpLog struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLog) Printf(format string, args ...any) {
	l.log.Debug("http", zap.String("line", fmt.Sprintf(format, args...)))
}
