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

// RecordResult implements task.Recorder.
func (r *recorder) RecordResult(res *task.Result) {
	kind, reason, ran := "", "", ""
	if res.Route != nil {
		kind = res.Route.Kind.String()
	}
	if res.Refusal != nil {
		reason, ran = res.Refusal.Reason.String(), res.Refusal.Ran.String()
	}
	labels := fmt.Sprintf(`{service=%q,kind=%q}`, res.Service, kind)
	r.metricSet.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,kind=%q,status="%d",reason=%q,ran=%q}`,
		metricCalls, res.Service, kind, res.Status, reason, ran)).Inc()
	r.metricSet.GetOrCreateHistogram(metricTimeToFirst + labels).Update(res.TimeToFirst.Seconds())
	r.metricSet.GetOrCreateHistogram(metricDuration + labels).Update(res.Total.Seconds())
	r.metricSet.GetOrCreateHistogram(metricMaxEventGap + labels).Update(res.MaxEventGap.Seconds())
	r.metricSet.GetOrCreateCounter(metricMigrations + labels).Add(res.Migrations)
	r.metricSet.GetOrCreateCounter(metricAttempts + labels).Add(res.Attempts)
	if res.Origin != "" {
		r.metricSet.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,source=%q}`, metricTakenUp, res.Service, res.Origin)).Inc()
	}
	if res.CloseDelimited {
		r.metricSet.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,kind=%q,delivered="%t"}`, metricCloseDelimited, res.Service, kind, res.Refusal == nil)).Inc()
	}
	r.logEnd(res, kind, reason, ran)
}

// logEnd logs the end of a call: at warn level if the call was refused or failed
// with a 5xx status, so that the line is not dropped first under load like routine
// lines, and at info level otherwise.
func (r *recorder) logEnd(res *task.Result, kind, reason, ran string) {
	level := zap.InfoLevel
	if res.Refusal != nil || res.Status >= fasthttp.StatusInternalServerError {
		level = zap.WarnLevel
	}
	ce := r.log.Check(level, "call ended")
	if ce == nil {
		return
	}
	route := ""
	if res.Route != nil {
		route = res.Route.Name
	}
	fields := []zap.Field{
		zap.String("request", string(res.Call.ID)),
		zap.Stringer("fingerprint", res.Fingerprint),
		zap.String("route", route),
		zap.String("kind", kind),
		zap.String("service", string(res.Service)),
		zap.String("server", string(res.Server)),
		zap.String("version", string(res.Version)),
		zap.String("resumes", string(res.Call.Resumes)),
		zap.String("via", string(res.Via)),
		zap.Int("status", res.Status),
		zap.Duration("queued", res.QueueTime),
		zap.Duration("first", res.TimeToFirst),
		zap.Duration("total", res.Total),
		zap.Int("sent", res.Attempts),
		zap.Int("moves", res.Migrations),
		zap.Int("events", res.Events),
		zap.Duration("gap", res.MaxEventGap),
		zap.Bool("close-delimited", res.CloseDelimited),
		zap.Uint64("settings-version", res.SettingsVersion),
		zap.Duration("settings-age", res.SettingsAge),
	}
	if refusal := res.Refusal; refusal != nil {
		fields = append(fields, zap.String("reason", reason), zap.String("ran", ran),
			zap.String("detail", refusal.Detail), zap.Duration("retry-after", refusal.RetryAfter))
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
