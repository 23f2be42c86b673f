// Package tally turns the record of each finished request into a log line and
// metrics. It writes no prompt text and no key.
package tally

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"umberladder/internal/core/final"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
)

// Tally records finished requests. It is safe for use by several goroutines.
type Tally struct {
	log  *zap.Logger
	set  *metrics.Set
	gaps *metrics.Histogram
	next final.Recorder
}

// New makes a tally that logs to log and counts in set, and exports the
// violations in book. Records go on to next, if that is not nil.
func New(log *zap.Logger, set *metrics.Set, book *invar.Book, next final.Recorder) *Tally {
	for _, n := range invar.All() {
		name := fmt.Sprintf(`umberladder_invariant_violations_total{invariant=%q}`, n)
		set.NewGauge(name, func() float64 { return float64(book.Count(n)) })
	}
	return &Tally{
		log:  log,
		set:  set,
		gaps: set.NewHistogram("umberladder_token_gap_seconds"),
		next: next,
	}
}

// Gap implements final.Recorder.
func (t *Tally) Gap(d time.Duration) {
	t.gaps.Update(d.Seconds())
	if t.next != nil {
		t.next.Gap(d)
	}
}

// Done implements final.Recorder.
func (t *Tally) Done(r *final.Record) {
	t.count(r)
	t.write(r)
	if t.next != nil {
		t.next.Done(r)
	}
}

func (t *Tally) count(r *final.Record) {
	reason := ""
	ran := ""
	if r.Refusal != nil {
		reason, ran = r.Refusal.Reason.String(), r.Refusal.Ran.String()
	}
	labels := fmt.Sprintf(`{workspace=%q,service=%q,class=%q`, r.Workspace, r.Service, r.Class)
	t.set.GetOrCreateCounter(fmt.Sprintf(`umberladder_requests_total%s,outcome=%q,reason=%q,ran=%q}`,
		labels, r.Outcome, reason, ran)).Inc()
	t.set.GetOrCreateFloatCounter("umberladder_stall_seconds_total" + labels + "}").Add(r.Stall.Seconds())
	t.set.GetOrCreateCounter("umberladder_preemptions_total" + labels + "}").Add(r.Preemptions)
	t.set.GetOrCreateCounter("umberladder_tokens_total" + labels + "}").Add(r.Tokens)
	t.set.GetOrCreateHistogram("umberladder_first_seconds" + labels + "}").Update(r.First.Seconds())
}

func (t *Tally) write(r *final.Record) {
	fields := []zap.Field{
		zap.String("request", string(r.Request)),
		zap.String("workspace", string(r.Workspace)),
		zap.String("service", string(r.Service)),
		zap.String("class", string(r.Class)),
		zap.String("server", string(r.Server)),
		zap.Stringer("outcome", r.Outcome),
		zap.Duration("total", r.Total),
		zap.Duration("queued", r.Queued),
		zap.Duration("first", r.First),
		zap.Duration("stall", r.Stall),
		zap.Int("preemptions", r.Preemptions),
		zap.Int("resumes", r.Resumes),
		zap.Int("reruns", r.Reruns),
		zap.Int("tokens", r.Tokens),
		zap.Int("bytes", r.Bytes),
	}
	if r.Refusal != nil {
		fields = append(fields, refusal(r.Refusal)...)
	}
	t.log.Info("request", fields...)
}

func refusal(r *refuse.Refusal) []zap.Field {
	return []zap.Field{
		zap.Stringer("reason", r.Reason),
		zap.String("detail", r.Detail),
		zap.Stringer("ran", r.Ran),
		zap.String("limit-path", r.Rule.Path),
		zap.Uint64("limit-version", r.Rule.Version),
		zap.Duration("retry-after", r.RetryAfter),
	}
}
