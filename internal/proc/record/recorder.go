// Package record writes a log line and updates metrics for each finished request.
// Neither contains prompt text or keys.
package record

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/result"
)

// Recorder records finished requests. It is safe for concurrent use.
type Recorder struct {
	log  *zap.Logger
	set  *metrics.Set
	gaps *metrics.Histogram
	next result.Recorder
}

// New returns a Recorder that logs to log, counts in set, and exports the invariant
// violations counted by invariants. It also passes records to next, unless that is
// nil.
func New(log *zap.Logger, set *metrics.Set, invariants *invar.Checker, next result.Recorder) *Recorder {
	for _, n := range invar.All() {
		name := fmt.Sprintf(`umberladder_invariant_violations_total{invariant=%q}`, n)
		set.NewGauge(name, func() float64 { return float64(invariants.Count(n)) })
	}
	return &Recorder{
		log:  log,
		set:  set,
		gaps: set.NewHistogram("umberladder_token_gap_seconds"),
		next: next,
	}
}

// RecordGap implements result.Recorder.
func (r *Recorder) RecordGap(d time.Duration) {
	r.gaps.Update(d.Seconds())
	if r.next != nil {
		r.next.RecordGap(d)
	}
}

// RecordRequest implements result.Recorder.
func (r *Recorder) RecordRequest(rec *result.Record) {
	r.count(rec)
	r.logRecord(rec)
	if r.next != nil {
		r.next.RecordRequest(rec)
	}
}

func (r *Recorder) count(rec *result.Record) {
	reason := ""
	ran := ""
	if rec.Refusal != nil {
		reason, ran = rec.Refusal.Reason.String(), rec.Refusal.Ran.String()
	}
	labels := fmt.Sprintf(`{workspace=%q,service=%q,class=%q`, rec.Workspace, rec.Service, rec.Class)
	r.set.GetOrCreateCounter(fmt.Sprintf(`umberladder_requests_total%s,outcome=%q,reason=%q,ran=%q}`,
		labels, rec.Outcome, reason, ran)).Inc()
	r.set.GetOrCreateFloatCounter("umberladder_stall_seconds_total" + labels + "}").Add(rec.Stall.Seconds())
	r.set.GetOrCreateCounter("umberladder_preemptions_total" + labels + "}").Add(rec.Preemptions)
	r.set.GetOrCreateCounter("umberladder_tokens_total" + labels + "}").Add(rec.Tokens)
	r.set.GetOrCreateHistogram("umberladder_first_seconds" + labels + "}").Update(rec.TimeToFirst.Seconds())
}

func (r *Recorder) logRecord(rec *result.Record) {
	fields := []zap.Field{
		zap.String("request", string(rec.Request)),
		zap.String("workspace", string(rec.Workspace)),
		zap.String("service", string(rec.Service)),
		zap.String("class", string(rec.Class)),
		zap.String("server", string(rec.Server)),
		zap.Stringer("outcome", rec.Outcome),
		zap.Duration("total", rec.Total),
		zap.Duration("queued", rec.QueueTime),
		zap.Duration("first", rec.TimeToFirst),
		zap.Duration("stall", rec.Stall),
		zap.Int("preemptions", rec.Preemptions),
		zap.Int("resumes", rec.Resumes),
		zap.Int("reruns", rec.Reruns),
		zap.Int("tokens", rec.Tokens),
		zap.Int("bytes", rec.Bytes),
	}
	if rec.Refusal != nil {
		fields = append(fields, refusalFields(rec.Refusal)...)
	}
	r.log.Info("request", fields...)
}

// refusalFields returns the log fields of a refusal.
func refusalFields(r *refuse.Refusal) []zap.Field {
	return []zap.Field{
		zap.Stringer("reason", r.Reason),
		zap.String("detail", r.Detail),
		zap.Stringer("ran", r.Ran),
		zap.String("limit-path", r.Rule.Path),
		zap.Uint64("limit-version", r.Rule.Version),
		zap.Duration("retry-after", r.RetryAfter),
	}
}
